package routing

import (
	"sort"
	"strings"
)

// Table indexes one version of the configuration. It is immutable after
// NewTable and therefore safe for concurrent use.
type Table struct {
	config   *Config
	hosts    map[string][]*Route // longest prefix first
	keys     map[string]*Workspace
	services map[string]*Service
}

// NewTable returns a table of the configuration.
func NewTable(c *Config) *Table {
	t := &Table{
		config:   c,
		hosts:    map[string][]*Route{},
		keys:     map[string]*Workspace{},
		services: map[string]*Service{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == "" || r.PathPrefix == "" {
			continue // an empty prefix would match all paths, an empty host all requests without one
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	for i := range c.Workspaces {
		if c.Workspaces[i].Name == "" {
			continue // a replica could not be told whose request it runs
		}
		for _, key := range c.Workspaces[i].Keys {
			if key != "" { // that is what a request without a key has
				t.keys[key] = &c.Workspaces[i]
			}
		}
	}
	for i := range c.Services {
		if name := c.Services[i].Name; name != "" { // PickService returns "" if there is no target
			t.services[name] = &c.Services[i]
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the bounds of what clients may send.
func (t *Table) Limits() Limits { return t.config.Limits }

// RequiresAPIKeys reports whether requests to routes that are not public require
// an API key.
func (t *Table) RequiresAPIKeys() bool { return !t.config.Anonymous }

// Services returns all services.
func (t *Table) Services() []Service { return t.config.Services }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace that the API key belongs to, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// Route returns the route of the host whose path prefix is the longest match,
// or nil. A port in host is ignored.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[withoutPort(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// withoutPort returns the host in lower case and without its port.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// PickService returns the service of a target chosen by weight, or "" if no
// target has a weight above 0. draw is a random number in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total <= 0 {
		return ""
	}
	remaining := draw * total
	last := ""
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		last = t.Service
		if remaining -= t.Weight; remaining < 0 {
			break
		}
	}
	return last // rounding may leave a remainder after the last target
}
