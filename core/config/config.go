// Package config defines and validates the configuration that operators publish. A Config
// is immutable once validated, so that readers share it without locks.
package config

import (
	"time"
)

// Rank is a priority class: 0 is the most urgent.
type Rank int

// Config is the merged configuration of one deployment.
type Config struct {
	Ranks      []RankConfig               `json:"ranks"`
	Models     map[string]ModelConfig     `json:"models"`
	Services   map[string]ServiceConfig   `json:"services"`
	Workspaces map[string]WorkspaceConfig `json:"workspaces"`
	Limits     Limits                     `json:"limits"`
}

// RankConfig describes one rank. The slice index in Config.Ranks is its Rank.
type RankConfig struct {
	Name string `json:"name"`
	// FirstToken is the target for the time to the first token.
	FirstToken time.Duration `json:"first_token"`
	// Deadline applies to requests that specify no deadline.
	Deadline time.Duration `json:"deadline"`
	// MinShare is the fraction of each pool's capacity, 0 to 1, that is guaranteed to the
	// rank while it has work.
	MinShare float64 `json:"min_share"`
}

// ModelConfig describes one model.
type ModelConfig struct {
	Layers  int    `json:"layers"`
	Version string `json:"version"`
	// MaxOutput is the largest number of output tokens of one request.
	MaxOutput int `json:"max_output"`
}

// ServiceConfig describes one plain service.
type ServiceConfig struct {
	// Timeout bounds one call to the service.
	Timeout time.Duration `json:"timeout"`
	// IdempotentMethods are the HTTP methods of calls that may be repeated.
	IdempotentMethods []string `json:"idempotent_methods"`
}

// WorkspaceConfig describes one workspace.
type WorkspaceConfig struct {
	// KeySHA256 holds the lower-case hex SHA-256 of each API key.
	KeySHA256 []string `json:"key_sha256"`
	// Weight is the workspace's share of a rank relative to other workspaces.
	Weight float64 `json:"weight"`
	// DefaultRank applies to requests that specify no rank.
	DefaultRank string `json:"default_rank"`
	// MaxQueued bounds the workspace's waiting requests on one instance.
	MaxQueued int `json:"max_queued"`
	// MaxInFlight bounds the workspace's running requests on one instance; 0 means no
	// limit.
	MaxInFlight int `json:"max_in_flight"`
}

// Limits bounds the work that one instance accepts, and holds other global settings.
type Limits struct {
	// MaxQueued bounds the waiting requests of all workspaces in one pool.
	MaxQueued int `json:"max_queued"`
	// RetryRatio is the number of retries that each first attempt adds to the retry budget.
	RetryRatio float64 `json:"retry_ratio"`
	// StepTimeout bounds one step of a stage before any progress was observed.
	StepTimeout time.Duration `json:"step_timeout"`
	// UrgentReserve is the maximum fraction of a pool's slots, 0 to 1, that is kept free
	// for the most urgent rank. Its recent load determines how much of it is used.
	UrgentReserve float64 `json:"urgent_reserve"`
	// PoisonTTL is how long the fingerprint of a poison request is retained.
	PoisonTTL time.Duration `json:"poison_ttl"`
}

// RankByName returns the rank with the given name.
func (c *Config) RankByName(name string) (Rank, bool) {
	for i, r := range c.Ranks {
		if r.Name == name {
			return Rank(i), true
		}
	}
	return 0, false
}
