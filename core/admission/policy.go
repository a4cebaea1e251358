package admission

import (
	"masticbank.example/core/config"
)

// Config is the part of the configuration that concerns one pool. It must not
// be changed once it was handed to an Admitter.
type Config struct {
	// Ranks holds the policy of each rank, the most urgent first.
	Ranks []RankPolicy
	// Workspaces holds the policy by workspace. A workspace that is missing
	// gets weight 1 and only the pool's own bound.
	Workspaces map[string]WorkspacePolicy
	// MaxQueued bounds the waiting requests of all workspaces.
	MaxQueued int
	// UrgentReserve is the largest fraction of the slots, 0 to 1, kept free for
	// rank 0 as far as its recent load needs them.
	UrgentReserve float64
}

// RankPolicy is the policy of one rank.
type RankPolicy struct {
	// MinShare is the fraction of the dispatched cost that the rank keeps while
	// it has work. The shares of all ranks add up to at most 1.
	MinShare float64
}

// WorkspacePolicy is the policy of one workspace in one pool.
type WorkspacePolicy struct {
	// Weight is the share of a rank relative to other workspaces.
	Weight float64
	// MaxQueued bounds the waiting requests; 0 means no bound of its own.
	MaxQueued int
	// MaxInFlight bounds the running requests; 0 means no bound. A workspace at
	// this bound waits and is not refused.
	MaxInFlight int
}

// FromConfig returns the admission policy of c.
func FromConfig(c *config.Config) Config {
	out := Config{
		Workspaces:    make(map[string]WorkspacePolicy, len(c.Workspaces)),
		MaxQueued:     c.Limits.MaxQueued,
		UrgentReserve: c.Limits.UrgentReserve,
	}
	for _, r := range c.Ranks {
		out.Ranks = append(out.Ranks, RankPolicy{MinShare: r.MinShare})
	}
	for name, w := range c.Workspaces {
		out.Workspaces[name] = WorkspacePolicy{Weight: w.Weight, MaxQueued: w.MaxQueued, MaxInFlight: w.MaxInFlight}
	}
	return out
}

// policy returns the policy of a workspace, with a usable weight.
func (c *Config) policy(workspace string) WorkspacePolicy {
	p := c.Workspaces[workspace]
	if !(p.Weight > 0) {
		p.Weight = 1
	}
	return p
}
