package admission

import (
	"masticbank.example/core/config"
)

// Config is the configuration of one pool. It must not be changed after it was passed
// to an Admitter.
type Config struct {
	// Ranks holds the policy of each rank, the most urgent first.
	Ranks []RankPolicy
	// Workspaces holds the policy by workspace name. A workspace without an entry gets
	// weight 1 and no limits of its own.
	Workspaces map[string]WorkspacePolicy
	// MaxQueued limits the waiting requests of all workspaces together.
	MaxQueued int
	// UrgentReserve is the maximum fraction of the slots, 0 to 1, that is kept free for
	// rank 0. Its recent load determines how many of them are reserved.
	UrgentReserve float64
}

// RankPolicy is the policy of one rank.
type RankPolicy struct {
	// MinShare is the minimum fraction of the dispatched cost that the rank receives
	// while it has waiting requests. The shares of all ranks add up to at most 1.
	MinShare float64
}

// WorkspacePolicy is the policy of one workspace in one pool.
type WorkspacePolicy struct {
	// Weight is the workspace's weight in fair queueing, relative to the other
	// workspaces of the same rank.
	Weight float64
	// MaxQueued limits the waiting requests; 0 means no limit per workspace.
	MaxQueued int
	// MaxInFlight limits the running requests; 0 means no limit. Requests beyond it
	// wait and are not refused for it.
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

// policy returns the policy of a workspace. A weight that is not positive becomes 1.
func (c *Config) policy(workspace string) WorkspacePolicy {
	p := c.Workspaces[workspace]
	if !(p.Weight > 0) {
		p.Weight = 1
	}
	return p
}
