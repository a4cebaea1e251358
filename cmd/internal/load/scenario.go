// Package load generates open-loop load from a scenario and measures the
// answers. Arrivals follow a Poisson process with a fixed seed, whatever the
// answers do, and every time counts from the intended arrival, so that a slow
// answer does not hide the waiting of the requests behind it (coordinated
// omission).
package load

import (
	"time"

	"masticbank.example/standin/fault"
)

// Kind is what a flow sends.
type Kind string

// Kinds of flows.
const (
	// Chat sends POST /v1/chat/completions.
	Chat Kind = "chat"
	// Text sends POST /v1/completions.
	Text Kind = "text"
	// Order sends POST to a plain service, with an idempotency key.
	Order Kind = "order"
	// Query sends GET to a plain service.
	Query Kind = "query"
)

// Scenario describes one run.
type Scenario struct {
	Name string
	// Seed determines arrivals, prompts and lengths.
	Seed uint64
	// Targets are the entry addresses, host:port, used in turn.
	Targets []string
	// Control is the control address of the stand-ins; empty means none.
	Control string
	Model   string
	// Fleet is the stand-in fleet, "dev", "asistente" or "apuntador"; it gives
	// the expected answers and the bound on throughput. Empty means unknown.
	Fleet string
	// Timeout bounds a request that has no deadline.
	Timeout time.Duration
	// MaxInFlight bounds the requests in progress; arrivals above it are not
	// sent and count as unsent.
	MaxInFlight int
	Workspaces  []Workspace
	Flows       []Flow
	Phases      []Phase
	Faults      []TimedFault
}

// Workspace is a caller.
type Workspace struct {
	Name string
	Key  string
}

// Flow is a stream of similar requests.
type Flow struct {
	Name string
	Kind Kind
	// Rank is sent as a header; empty leaves the rank to the key.
	Rank string
	// Shares spreads the flow over workspaces by weight.
	Shares []Share
	// PromptBytes and MaxTokens are drawn uniformly for each request.
	PromptBytes Range
	MaxTokens   Range
	// SharedPrefix is the part of the prompt that a workspace's requests share,
	// in bytes.
	SharedPrefix int
	Stream       bool
	// Deadline is sent as a header and decides what counts as goodput; 0 means
	// none.
	Deadline time.Duration
	// Service and Path are the target of orders and queries.
	Service string
	Path    string
	// Repeat is the fraction of orders that are sent again with the same key.
	Repeat float64
}

// Share is a workspace's part of a flow.
type Share struct {
	Workspace string
	Weight    float64
}

// Range is an inclusive range of whole numbers.
type Range struct {
	Min int
	Max int
}

// Phase is a part of the run with constant rates.
type Phase struct {
	Name     string
	Duration time.Duration
	// Rates holds requests a second by flow.
	Rates []Rate
	// Warmup phases are left out of the summary of the whole run.
	Warmup bool
}

// Rate is the rate of one flow in a phase, in requests a second.
type Rate struct {
	Flow      string
	PerSecond float64
}

// TimedFault is a fault of a stand-in.
type TimedFault struct {
	Name string
	// At is the time from the start of the run.
	At    time.Duration
	Fault fault.Fault
}

// Duration returns the length of all phases.
func (s *Scenario) Duration() time.Duration {
	var d time.Duration
	for _, p := range s.Phases {
		d += p.Duration
	}
	return d
}

// Arrivals returns the expected number of requests.
func (s *Scenario) Arrivals() float64 {
	n := 0.0
	for _, p := range s.Phases {
		for _, r := range p.Rates {
			n += r.PerSecond * p.Duration.Seconds()
		}
	}
	return n
}

func (s *Scenario) flow(name string) *Flow {
	for i := range s.Flows {
		if s.Flows[i].Name == name {
			return &s.Flows[i]
		}
	}
	return nil
}

func (s *Scenario) key(workspace string) string {
	for _, w := range s.Workspaces {
		if w.Name == workspace {
			return w.Key
		}
	}
	return ""
}
