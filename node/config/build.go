package config

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"masticbank.example/core/config"
	"masticbank.example/node/inifile"
)

// Default values of optional keys.
const (
	defaultMaxOutput      = 1024
	defaultServiceTimeout = 10 * time.Second
	defaultWeight         = 1.0
	defaultMaxQueued      = 256
	defaultPoolMaxQueued  = 4096
	defaultRetryRatio     = 0.1
	defaultUrgentReserve  = 0.5
	defaultStepTimeout    = 2 * time.Second
	defaultPoisonTTL      = 10 * time.Minute
)

// section parses the values of one merged section. It records the keys that were
// read and the first error.
type section struct {
	name   string
	values map[string]fileValue
	used   map[string]bool
	err    error
}

func (s *section) fail(key string, v fileValue, reason string) {
	if s.err == nil {
		s.err = &inifile.Error{File: v.file, Section: s.name, Key: key, Reason: reason}
	}
}

func (s *section) text(key, fallback string) string {
	s.used[key] = true
	if v, ok := s.values[key]; ok {
		return v.text
	}
	return fallback
}

// nonEmptyText is like text, but an empty value is an error.
func (s *section) nonEmptyText(key, fallback string) string {
	value := s.text(key, fallback)
	if v, ok := s.values[key]; ok && value == "" {
		s.fail(key, v, "must not be empty")
	}
	return value
}

func (s *section) number(key string, fallback int) int {
	s.used[key] = true
	v, ok := s.values[key]
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v.text)
	if err != nil {
		s.fail(key, v, strconv.Quote(v.text)+" is not a whole number")
	}
	return n
}

func (s *section) float(key string, fallback float64) float64 {
	s.used[key] = true
	v, ok := s.values[key]
	if !ok {
		return fallback
	}
	f, err := strconv.ParseFloat(v.text, 64)
	if err != nil || f != f {
		s.fail(key, v, strconv.Quote(v.text)+" is not a number")
	}
	return f
}

func (s *section) duration(key string, fallback time.Duration) time.Duration {
	s.used[key] = true
	v, ok := s.values[key]
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v.text)
	if err != nil {
		s.fail(key, v, strconv.Quote(v.text)+" is not a duration such as 500ms or 2s")
	}
	return d
}

func (s *section) list(key string) []string {
	var out []string
	for item := range strings.SplitSeq(s.text(key, ""), ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

// finish returns the first error. A key that was never read is unknown and counts as
// an error.
func (s *section) finish() error {
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if !s.used[key] {
			s.fail(key, s.values[key], "unknown key")
		}
	}
	return s.err
}

// build builds the configuration from the merged sections. Ranks are sorted by
// priority, those of equal priority by name.
func (m *mergedFiles) build() (*config.Config, error) {
	b := configBuilder{
		ranks: map[string]int{},
		cfg: &config.Config{
			Models:     map[string]config.ModelConfig{},
			Services:   map[string]config.ServiceConfig{},
			Workspaces: map[string]config.WorkspaceConfig{},
		},
	}
	b.limits(m.section("limits"))
	for _, name := range slices.Sorted(maps.Keys(m.sections)) {
		if err := b.add(m.section(name)); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(b.cfg.Ranks, func(x, y config.RankConfig) int {
		return cmp.Or(cmp.Compare(b.ranks[x.Name], b.ranks[y.Name]), cmp.Compare(x.Name, y.Name))
	})
	return b.cfg, nil
}

func (m *mergedFiles) section(name string) *section {
	return &section{name: name, values: m.sections[name], used: map[string]bool{}}
}

// configBuilder adds sections to a configuration.
type configBuilder struct {
	cfg   *config.Config
	ranks map[string]int // priority by rank name
}

func (b *configBuilder) add(s *section) error {
	kind, name, _ := strings.Cut(s.name, ".")
	switch {
	case s.name == "limits":
		b.limits(s)
	case name == "":
		return &inifile.Error{File: s.anyFile(), Section: s.name, Key: s.anyKey(), Reason: "unknown section"}
	case kind == "rank":
		b.rank(name, s)
	case kind == "model":
		b.model(name, s)
	case kind == "service":
		b.service(name, s)
	case kind == "workspace":
		b.workspace(name, s)
	default:
		return &inifile.Error{File: s.anyFile(), Section: s.name, Key: s.anyKey(), Reason: "unknown section"}
	}
	return s.finish()
}

// anyKey returns the alphabetically first key, to which an error that concerns the
// whole section is attributed.
func (s *section) anyKey() string {
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		return key
	}
	return ""
}

func (s *section) anyFile() string {
	return s.values[s.anyKey()].file
}

func (b *configBuilder) rank(name string, s *section) {
	b.ranks[name] = s.number("priority", len(b.ranks))
	b.cfg.Ranks = append(b.cfg.Ranks, config.RankConfig{
		Name:       name,
		FirstToken: s.duration("first_token", time.Minute),
		Deadline:   s.duration("deadline", time.Minute),
		MinShare:   s.float("min_share", 0),
	})
}

func (b *configBuilder) model(name string, s *section) {
	b.cfg.Models[name] = config.ModelConfig{
		Layers:    s.number("layers", 0),
		Version:   s.nonEmptyText("version", "1"),
		MaxOutput: s.number("max_output", defaultMaxOutput),
	}
}

func (b *configBuilder) service(name string, s *section) {
	methods := []string{"GET", "HEAD", "OPTIONS"}
	if _, ok := s.values["idempotent_methods"]; ok {
		methods = s.list("idempotent_methods")
	}
	b.cfg.Services[name] = config.ServiceConfig{
		Timeout:           s.duration("timeout", defaultServiceTimeout),
		IdempotentMethods: methods,
	}
}

func (b *configBuilder) workspace(name string, s *section) {
	b.cfg.Workspaces[name] = config.WorkspaceConfig{
		KeySHA256:   s.list("key_sha256"),
		Weight:      s.float("weight", defaultWeight),
		DefaultRank: s.text("default_rank", ""),
		MaxQueued:   s.number("max_queued", defaultMaxQueued),
		MaxInFlight: s.number("max_in_flight", 0),
	}
}

func (b *configBuilder) limits(s *section) {
	b.cfg.Limits = config.Limits{
		MaxQueued:     s.number("max_queued", defaultPoolMaxQueued),
		RetryRatio:    s.float("retry_ratio", defaultRetryRatio),
		UrgentReserve: s.float("urgent_reserve", defaultUrgentReserve),
		StepTimeout:   s.duration("step_timeout", defaultStepTimeout),
		PoisonTTL:     s.duration("poison_ttl", defaultPoisonTTL),
	}
}
