// Package route chooses the replicas that run one request of one model. A model
// has layers 0 to L-1, a replica holds a contiguous range of them, and a chain
// tiles all layers exactly: whole ranges, in order, without gap or overlap.
// Ranges of different replicas may cross each other.
//
// The package holds no clock, no random source and no locks: a Table is not safe
// for concurrent use, and times and random numbers come from the caller.
package route

import (
	"fmt"
	"time"
)

// Replica describes one engine that holds a range of layers.
type Replica struct {
	ID string
	// First and Last are the layers held, both inclusive.
	First int
	Last  int
	// Zone is the availability zone.
	Zone string
	// Accelerator is the kind of accelerator; replicas of one kind share an
	// estimate of pace until their own is known.
	Accelerator string
}

// Load is a replica's report of its own load, which may lag.
type Load struct {
	// Running is the number of sequences held.
	Running int
	// Waiting is the number of steps that wait for a slot.
	Waiting int
	// Slots is the number of sequences batched at once; 0 means unknown.
	Slots int
	// Step is the recent mean time of one decode step; 0 means unknown.
	Step time.Duration
	// PrefillTokensPerSecond is the recent prefill speed; 0 means unknown.
	PrefillTokensPerSecond float64
}

// Request is what a chain is chosen for.
type Request struct {
	// PromptTokens is the number of tokens that the first step runs.
	PromptTokens int
	// OutputTokens is the expected number of generated tokens.
	OutputTokens int
	// Blocks are the hashes of the prompt's prefixes, shortest first, in equal
	// steps up to the whole prompt.
	Blocks []uint64
	// Exclude names replicas that must not be used.
	Exclude []string
}

// Range is a contiguous range of layers, both ends inclusive.
type Range struct {
	First int
	Last  int
}

// String returns the range as "first-last".
func (r Range) String() string {
	return fmt.Sprintf("%d-%d", r.First, r.Last)
}

// Hop is one stage of a chain.
type Hop struct {
	ReplicaID string
	First     int
	Last      int
}

// Chain is an exact tiling of the model's layers.
type Chain struct {
	Hops []Hop
	// Expected is the estimated time from dispatch to the last token.
	Expected time.Duration
}

// Outcome tells how a choice ended.
type Outcome int

const (
	// Chosen means that Decision.Chain is set.
	Chosen Outcome = iota
	// Full means that chains exist, and each needs a range whose replicas all
	// hold as many requests as they take; Decision.Missing names the smallest
	// such range. Trying later can succeed.
	Full
	// OnlyExcluded means that every chain needs a replica that the request
	// excludes; Decision.Missing names the smallest range lacking without them.
	OnlyExcluded
	// NoTiling means that the replicas in use cannot tile the layers;
	// Decision.Missing names the smallest range lacking.
	NoTiling
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Chosen:
		return "chosen"
	case Full:
		return "full"
	case OnlyExcluded:
		return "only_excluded"
	case NoTiling:
		return "no_tiling"
	default:
		return fmt.Sprintf("outcome(%d)", int(o))
	}
}

// Decision is the result of a choice.
type Decision struct {
	Outcome Outcome
	// Chain is set when Outcome is Chosen.
	Chain Chain
	// Missing is set when Outcome is not Chosen. A replica of this range would
	// complete a chain.
	Missing Range
}

// RangeError reports a replica whose layers do not fit the model.
type RangeError struct {
	Replica Replica
	Layers  int
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("replica %q holds layers %d-%d, the model has %d layers",
		e.Replica.ID, e.Replica.First, e.Replica.Last, e.Layers)
}
