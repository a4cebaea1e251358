// Package load generates open-loop load from a scenario and measures the responses.
// Arrivals follow a Poisson process with a fixed seed, independent of the
// responses. Every latency is measured from the intended arrival time, so that a
// slow response does not hide the queueing delay of the requests behind it
// (coordinated omission).
package load

import (
	"time"

	"masticbank.example/standin/fault"
)

// Kind is the type of request that a flow sends.
type Kind string

// Flow kinds.
const (
	// Chat sends POST /v1/chat/completions.
	Chat Kind = "chat"
	// Completion sends POST /v1/completions.
	Completion Kind = "text"
	// Order sends POST with an idempotency key to a plain service.
	Order Kind = "order"
	// Query sends GET to a plain service.
	Query Kind = "query"
)

// Scenario describes one load run: its workspaces, traffic, phases and faults.
type Scenario struct {
	Name string
	// Seed determines arrival times, prompts and token limits.
	Seed uint64
	// Targets are the entry addresses (host:port), used round-robin.
	Targets []string
	// Control is the control address of the stand-ins; empty if there is none.
	Control string
	Model   string
	// Fleet names the stand-in fleet: "dev", "asistente" or "apuntador". It
	// determines the expected responses and the throughput bound. Empty means that
	// the fleet is unknown.
	Fleet string
	// Timeout applies to requests without a deadline.
	Timeout time.Duration
	// MaxInFlight is the maximum number of requests in progress. Arrivals above it
	// are not sent and are counted as Unsent.
	MaxInFlight int
	Workspaces  []Workspace
	Flows       []Flow
	Phases      []Phase
	Faults      []TimedFault
}

// Workspace is a workspace that sends requests, and its API key.
type Workspace struct {
	Name string
	Key  string
}

// Flow is a series of requests of one kind with common parameters.
type Flow struct {
	Name string
	Kind Kind
	// Rank is sent as a header. If it is empty, the API key determines the rank.
	Rank string
	// Shares distributes the requests of the flow over workspaces by weight.
	Shares []Share
	// PromptBytes and MaxTokens are drawn uniformly for each request.
	PromptBytes Range
	MaxTokens   Range
	// SharedPrefix is the length in bytes of the prompt prefix that all requests of
	// a workspace share.
	SharedPrefix int
	Stream       bool
	// Deadline is sent as a header. A response after it does not count as goodput.
	// 0 means no deadline.
	Deadline time.Duration
	// Service and Path are the target of orders and queries.
	Service string
	Path    string
	// RepeatFraction is the fraction of orders that are sent a second time with the
	// same idempotency key.
	RepeatFraction float64
}

// Share is the weight of one workspace in a flow.
type Share struct {
	Workspace string
	Weight    float64
}

// Range is an inclusive range of integers.
type Range struct {
	Min int
	Max int
}

// Phase is a section of the run with constant request rates.
type Phase struct {
	Name     string
	Duration time.Duration
	// Rates holds the request rate of each flow.
	Rates []Rate
	// Warmup phases are excluded from the summary of the whole run.
	Warmup bool
}

// Rate is the request rate of one flow in a phase.
type Rate struct {
	Flow      string
	PerSecond float64
}

// TimedFault is a fault that is injected into a stand-in at a given time.
type TimedFault struct {
	Name string
	// At is measured from the start of the run.
	At    time.Duration
	Fault fault.Fault
}

// Duration returns the total duration of all phases.
func (s *Scenario) Duration() time.Duration {
	var d time.Duration
	for _, p := range s.Phases {
		d += p.Duration
	}
	return d
}

// Arrivals returns the expected number of requests, not counting repeated orders.
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
