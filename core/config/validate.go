package config

import (
	"fmt"
	"maps"
	"slices"
)

const (
	maxLayers    = 1024
	keyHexDigits = 64
)

// FieldError identifies one invalid value by section and key.
type FieldError struct {
	Section string
	Key     string
	Reason  string
}

// Error returns the section, key and reason in one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("section [%s] key %q: %s", e.Section, e.Key, e.Reason)
}

// Validate returns the first error in section order, or nil. The result is the same on
// every instance for the same Config.
func (c *Config) Validate() error {
	checks := []func() error{c.checkRanks, c.checkModels, c.checkServices, c.checkWorkspaces, c.checkLimits}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkRanks() error {
	if len(c.Ranks) == 0 {
		return &FieldError{Section: "rank.*", Key: "priority", Reason: "no rank is defined"}
	}
	total := 0.0
	seen := map[string]bool{}
	for _, r := range c.Ranks {
		section := "rank." + r.Name
		if seen[r.Name] {
			return &FieldError{Section: section, Key: "priority", Reason: "rank is defined twice"}
		}
		seen[r.Name] = true
		if r.MinShare < 0 || r.MinShare > 1 {
			return &FieldError{Section: section, Key: "min_share", Reason: "must lie between 0 and 1"}
		}
		if r.Deadline <= 0 {
			return &FieldError{Section: section, Key: "deadline", Reason: "must be positive"}
		}
		if r.FirstToken <= 0 {
			return &FieldError{Section: section, Key: "first_token", Reason: "must be positive"}
		}
		total += r.MinShare
	}
	if total > 1 {
		return &FieldError{Section: "rank.*", Key: "min_share", Reason: "shares add up to more than 1"}
	}
	return nil
}

func (c *Config) checkModels() error {
	for _, name := range slices.Sorted(maps.Keys(c.Models)) {
		m := c.Models[name]
		section := "model." + name
		if m.Layers < 1 || m.Layers > maxLayers {
			return &FieldError{Section: section, Key: "layers", Reason: fmt.Sprintf("must lie between 1 and %d", maxLayers)}
		}
		if m.MaxOutput < 1 {
			return &FieldError{Section: section, Key: "max_output", Reason: "must be positive"}
		}
	}
	return nil
}

func (c *Config) checkServices() error {
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		if c.Services[name].Timeout <= 0 {
			return &FieldError{Section: "service." + name, Key: "timeout", Reason: "must be positive"}
		}
	}
	return nil
}

func (c *Config) checkWorkspaces() error {
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Workspaces)) {
		w := c.Workspaces[name]
		section := "workspace." + name
		if !(w.Weight > 0) {
			return &FieldError{Section: section, Key: "weight", Reason: "must be positive"}
		}
		if _, ok := c.RankByName(w.DefaultRank); !ok {
			return &FieldError{Section: section, Key: "default_rank", Reason: fmt.Sprintf("unknown rank %q", w.DefaultRank)}
		}
		if w.MaxQueued < 1 {
			return &FieldError{Section: section, Key: "max_queued", Reason: "must be positive"}
		}
		if w.MaxInFlight < 0 {
			return &FieldError{Section: section, Key: "max_in_flight", Reason: "must not be negative"}
		}
		for _, k := range w.KeySHA256 {
			if len(k) != keyHexDigits {
				return &FieldError{Section: section, Key: "key_sha256", Reason: "must be 64 hex digits"}
			}
			if other, ok := owner[k]; ok {
				return &FieldError{Section: section, Key: "key_sha256", Reason: "key already belongs to " + other}
			}
			owner[k] = name
		}
	}
	return nil
}

func (c *Config) checkLimits() error {
	switch {
	case c.Limits.MaxQueued < 1:
		return &FieldError{Section: "limits", Key: "max_queued", Reason: "must be positive"}
	case c.Limits.RetryRatio < 0 || c.Limits.RetryRatio > 1:
		return &FieldError{Section: "limits", Key: "retry_ratio", Reason: "must lie between 0 and 1"}
	case !(c.Limits.UrgentReserve >= 0 && c.Limits.UrgentReserve <= 1):
		return &FieldError{Section: "limits", Key: "urgent_reserve", Reason: "must lie between 0 and 1"}
	case c.Limits.StepTimeout <= 0:
		return &FieldError{Section: "limits", Key: "step_timeout", Reason: "must be positive"}
	case c.Limits.PoisonTTL <= 0:
		return &FieldError{Section: "limits", Key: "poison_ttl", Reason: "must be positive"}
	}
	return nil
}
