// Package route chooses the replicas that run one request of one model. A model
// has layers 0 to L-1 and each replica holds a contiguous range of them. A path
// is a list of stages, one per replica, whose ranges tile the layers exactly:
// whole ranges, in order, without gap or overlap. The ranges of different
// replicas may overlap partially.
//
// The package has no clock, random source or locks of its own: callers pass
// times and random numbers in, and must serialize access to a Table.
package route

import (
	"fmt"
	"time"
)

// Replica describes an engine that holds a range of a model's layers.
type Replica struct {
	ID string
	// First and Last are the first and last layer held, both inclusive.
	First int
	Last  int
	// Zone is the availability zone.
	Zone string
	// Accelerator is the accelerator type. Replicas of one type share estimates
	// of prefill and decode time until a replica has enough samples of its own.
	Accelerator string
}

// Load is a replica's report of its own load. It may be out of date.
type Load struct {
	// Running is the number of sequences held.
	Running int
	// Waiting is the number of steps that wait for a slot.
	Waiting int
	// Slots is the largest number of sequences in a batch; 0 means unknown.
	Slots int
	// Step is the recent mean duration of a decode step; 0 means unknown.
	Step time.Duration
	// PrefillTokensPerSecond is the recent prefill throughput; 0 means unknown.
	PrefillTokensPerSecond float64
}

// Request describes the request that a path is chosen for.
type Request struct {
	// PromptTokens is the number of tokens that the prefill step processes.
	PromptTokens int
	// OutputTokens is the expected number of generated tokens.
	OutputTokens int
	// Blocks are the hashes of prefixes of the prompt, shortest first. The
	// prefix lengths grow by a constant step up to the whole prompt.
	Blocks []uint64
	// Exclude lists the IDs of replicas that must not be used.
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

// Stage is one stage of a path: a replica and the layers that it runs.
type Stage struct {
	ReplicaID string
	First     int
	Last      int
}

// Path is the list of stages chosen for a request. Their layers tile the model
// exactly.
type Path struct {
	Stages []Stage
	// Expected is the estimated time from dispatch to the last token.
	Expected time.Duration
}

// Outcome is the result class of a choice.
type Outcome int

const (
	// Chosen means that a path was found; the decision contains it.
	Chosen Outcome = iota
	// AllAtLimit means that paths exist, but each needs a range of layers whose
	// replicas have all reached their limit of requests in flight.
	// Decision.Missing is the smallest such range. A later attempt can succeed.
	AllAtLimit
	// OnlyExcluded means that every path needs a replica that the request
	// excludes. Decision.Missing is the smallest range that is missing without
	// the excluded replicas.
	OnlyExcluded
	// NoTiling means that the replicas with a weight above 0 cannot tile the
	// layers. Decision.Missing is the smallest range that is missing.
	NoTiling
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Chosen:
		return "chosen"
	case AllAtLimit:
		return "full"
	case OnlyExcluded:
		return "only_excluded"
	case NoTiling:
		return "no_tiling"
	default:
		return fmt.Sprintf("outcome(%d)", int(o))
	}
}

// Decision is the result of Choose.
type Decision struct {
	Outcome Outcome
	// Path is set when Outcome is Chosen.
	Path Path
	// Missing is set when Outcome is not Chosen. One more replica with this
	// range would complete a path.
	Missing Range
}

// RangeError reports a replica whose range of layers does not fit the model.
type RangeError struct {
	Replica Replica
	Layers  int
}

// Error implements the error interface.
func (e *RangeError) Error() string {
	return fmt.Sprintf("replica %q holds layers %d-%d, the model has %d layers",
		e.Replica.ID, e.Replica.First, e.Replica.Last, e.Layers)
}
