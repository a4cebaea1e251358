package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"masticbank.example/node/inifile"
)

// minKeyBytes is the minimum length of the administration key and of the peers'
// shared key.
const minKeyBytes = 16

// settingSpec describes one setting: its section and key, its default value, its help
// text, and a function that parses the text and stores it in Settings.
type settingSpec struct {
	section      string
	key          string
	defaultValue string
	required     bool
	help         string
	set          func(*Settings, string) error
}

// load stores the value of the setting in s: the one in f, or else the default.
func (d settingSpec) load(name string, f *ini.File, s *Settings) error {
	value := d.defaultValue
	if sec, err := f.GetSection(d.section); err == nil && sec.HasKey(d.key) {
		value = strings.TrimSpace(sec.Key(d.key).String())
	}
	switch {
	case value == "" && d.required:
		return &inifile.Error{File: name, Section: d.section, Key: d.key, Reason: "is required"}
	case value == "" && d.defaultValue != "":
		return &inifile.Error{File: name, Section: d.section, Key: d.key, Reason: "must not be empty"}
	case value == "":
		return nil
	}
	if err := d.set(s, value); err != nil {
		return &inifile.Error{File: name, Section: d.section, Key: d.key, Reason: err.Error()}
	}
	return nil
}

// settingSpecs lists all settings in the order of the reference.
var settingSpecs = []settingSpec{
	{"instance", "id", "", true, "Unique ID of the instance.", func(s *Settings, v string) error { return text(&s.Instance.ID, v) }},
	{"instance", "zone", "", true, "Availability zone of the instance.", func(s *Settings, v string) error { return text(&s.Instance.Zone, v) }},
	{"instance", "region", "", false, "Region of the instance.", func(s *Settings, v string) error { return text(&s.Instance.Region, v) }},

	{"listen", "callers", "127.0.0.1:8080", false, "Address for callers.", func(s *Settings, v string) error { return address(&s.Listen.Clients, v) }},
	{"listen", "admin", "127.0.0.1:8081", false, "Address for health, metrics and administration.", func(s *Settings, v string) error { return address(&s.Listen.Admin, v) }},
	{"listen", "peers", "", false, "Address for other entry instances; empty runs the instance alone.", func(s *Settings, v string) error { return address(&s.Listen.Peers, v) }},

	{"platform", "instance_list", "", true, "Base URL of the platform's instance list.", func(s *Settings, v string) error { return baseURL(&s.Platform.InstanceList, v) }},
	{"platform", "instance_period", "1s", false, "Time between two reads of the instance list.", func(s *Settings, v string) error { return duration(&s.Platform.InstancePeriod, v) }},
	{"platform", "log", "", false, "Base URL of the log service; empty reads the configuration from --config and refuses non-idempotent calls with a key.", func(s *Settings, v string) error { return baseURL(&s.Platform.Log, v) }},
	{"platform", "config_stream", "masticbank.config", false, "Log stream of the configuration.", func(s *Settings, v string) error { return text(&s.Platform.ConfigStream, v) }},
	{"platform", "order_stream", "masticbank.orders", false, "Log stream of non-idempotent calls.", func(s *Settings, v string) error { return text(&s.Platform.OrderStream, v) }},
	{"platform", "lease_stream", "masticbank.leases", false, "Log stream of leases.", func(s *Settings, v string) error { return text(&s.Platform.LeaseStream, v) }},
	{"platform", "log_retention", "24h", false, "Time for which the log service keeps a record.", func(s *Settings, v string) error { return duration(&s.Platform.LogRetention, v) }},
	{"platform", "load_models", "false", false, "Whether the instances order engines to load models, through a duty that one of them holds.", func(s *Settings, v string) error { return boolValue(&s.Platform.LoadModels, v) }},
	{"platform", "max_loads", "2", false, "Loads at once that the weight store gives.", func(s *Settings, v string) error { return positiveInt(&s.Platform.MaxLoads, v) }},

	{"peers", "key", "", false, "Shared key by which entry instances authenticate each other.", func(s *Settings, v string) error { return text(&s.Peers.Key, v) }},
	{"peers", "digest_period", "200ms", false, "Least time between two demand digests; without changes, one is sent each second or each period, whichever is longer.", func(s *Settings, v string) error { return duration(&s.Peers.DigestPeriod, v) }},

	{"admin", "key", "", true, "Key that the administration API asks for as a bearer token.", func(s *Settings, v string) error { return secretKey(&s.Admin.Key, v) }},

	{"log", "level", "info", false, "Lowest level logged: debug, info, warn or error.", func(s *Settings, v string) error {
		return oneOf(&s.Log.Level, v, "debug", "info", "warn", "error")
	}},

	{"limits", "max_body_bytes", "1048576", false, "Largest request body in bytes.", func(s *Settings, v string) error { return positiveInt(&s.Limits.MaxBodyBytes, v) }},
	{"limits", "max_buffered_bytes", "33554432", false, "Memory in bytes for all requests that are received or held, with what parsing takes. Beyond it, a connection that holds more than its share, at least 16 KiB, is refused before the end of its request. As many bytes are kept of answers that callers have yet to read. The process needs up to four times as much for them, less with GOMEMLIMIT.", func(s *Settings, v string) error { return positiveInt(&s.Limits.MaxBufferedBytes, v) }},
	{"limits", "max_requests", "8192", false, "Largest number of requests held at once, queued ones included.", func(s *Settings, v string) error { return positiveInt(&s.Limits.MaxRequests, v) }},
	{"limits", "max_connections", "16384", false, "Largest number of open caller connections.", func(s *Settings, v string) error { return positiveInt(&s.Limits.MaxConnections, v) }},
	{"limits", "idle_timeout", "10m", false, "Time after which a caller connection without a new request is closed. Answers are bounded by the deadlines of their requests.", func(s *Settings, v string) error { return duration(&s.Limits.IdleTimeout, v) }},
	{"limits", "shutdown_timeout", "60s", false, "Time that requests in progress get at shutdown.", func(s *Settings, v string) error { return duration(&s.Limits.ShutdownTimeout, v) }},
	{"limits", "unready_delay", "2s", false, "Time between reporting not ready and refusing new connections at shutdown.", func(s *Settings, v string) error { return duration(&s.Limits.UnreadyDelay, v) }},

	{"policy", "route", "cost", false, "Route choice: cost, random, round_robin or least_in_flight.", func(s *Settings, v string) error {
		return oneOf(&s.Policy.Route, v, "cost", "random", "round_robin", "least_in_flight")
	}},
	{"policy", "admission", "fair", false, "Admission: fair or fifo.", func(s *Settings, v string) error {
		return oneOf(&s.Policy.Admission, v, "fair", "fifo")
	}},
}

// Reference returns a Markdown table of all settings. It is generated from the same
// list that Load uses.
func Reference() string {
	var b strings.Builder
	b.WriteString("| section | key | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, d := range settingSpecs {
		fallback := "`" + d.defaultValue + "`"
		if d.defaultValue == "" {
			fallback = "empty"
		}
		if d.required {
			fallback = "required"
		}
		fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s |\n", d.section, d.key, fallback, d.help)
	}
	return b.String()
}

func text(dst *string, v string) error {
	*dst = v
	return nil
}

// secretKey accepts keys of at least minKeyBytes.
func secretKey(dst *string, v string) error {
	if len(v) < minKeyBytes {
		return fmt.Errorf("must have at least %d characters", minKeyBytes)
	}
	*dst = v
	return nil
}

func address(dst *string, v string) error {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return fmt.Errorf("%q is not an IP address and port", v)
	}
	*dst = v
	return nil
}

// baseURL accepts http and https URLs and removes a trailing slash.
func baseURL(dst *string, v string) error {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("%q is not an http or https URL", v)
	}
	*dst = strings.TrimSuffix(v, "/")
	return nil
}

func duration(dst *time.Duration, v string) error {
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		return fmt.Errorf("%q is not a positive duration such as 500ms or 2s", v)
	}
	*dst = d
	return nil
}

func positiveInt(dst *int, v string) error {
	n, err := strconv.Atoi(v)
	if err != nil || n < 1 {
		return fmt.Errorf("%q is not a positive number", v)
	}
	*dst = n
	return nil
}

func boolValue(dst *bool, v string) error {
	b, err := strconv.ParseBool(v)
	if err != nil {
		return fmt.Errorf("%q is neither true nor false", v)
	}
	*dst = b
	return nil
}

func oneOf(dst *string, v string, allowed ...string) error {
	if !slices.Contains(allowed, v) {
		return fmt.Errorf("%q is not one of %s", v, strings.Join(allowed, ", "))
	}
	*dst = v
	return nil
}
