package pipeline

import "time"

// Stage is one stage of a path: a replica and the layers that it runs.
type Stage struct {
	ID       string
	Address  string
	Zone     string
	From, To int
	// StartTime is the start time of the replica's process; it distinguishes the process from
	// an earlier one of the same replica.
	StartTime int64
}

// Path lists the stages that together run all layers, in order.
type Path []Stage

// Uses reports whether the path includes the replica.
func (p Path) Uses(id string) bool {
	for _, stage := range p {
		if stage.ID == id {
			return true
		}
	}
	return false
}

// At returns the stage whose replica had the address when the path was chosen. Another replica may
// have it by now.
func (p Path) At(address string) (Stage, bool) {
	for _, stage := range p {
		if stage.Address == address {
			return stage, true
		}
	}
	return Stage{}, false
}

// Without returns the stages of the path that other does not have, with the same replica and layers.
func (p Path) Without(other Path) Path {
	var out Path
	for _, stage := range p {
		if !other.includes(stage) {
			out = append(out, stage)
		}
	}
	return out
}

// includes reports whether the path has the stage.
func (p Path) includes(stage Stage) bool {
	for _, s := range p {
		if s.ID == stage.ID && s.From == stage.From && s.To == stage.To {
			return true
		}
	}
	return false
}

// Demand holds the number of tokens that one request processes on every replica of its path.
type Demand struct {
	// Prompt is the number of prompt tokens.
	Prompt float64
	// Output is the expected number of output tokens.
	Output float64
	// Rank is the priority class; 0 is the most urgent.
	Rank int
	// PauseObjective is the longest pause within a response that is in time; 0 if none is stated.
	// With one, path choice counts how long the reading of the prompt delays other requests.
	PauseObjective time.Duration
}

// reservedOutputShare is the share of the expected output for which KV cache is reserved: a
// request uses none of it at the start and all of it at the end.
const reservedOutputShare = 0.6

// reservedTokens returns the context length for which KV cache is reserved.
func (d Demand) reservedTokens() float64 { return d.Prompt + d.Output*reservedOutputShare }

// Holds reports whether a path that was chosen earlier still exists: each of its replicas is listed
// at the same address, is the same process, and holds the layers of its stage.
func (f *Fleet) Holds(p Path) bool {
	for _, stage := range p {
		r, ok := f.Replica(stage.ID)
		if !ok || r.Address != stage.Address || r.StartTime != stage.StartTime || stage.From < r.From || stage.To > r.To {
			return false
		}
	}
	return true
}
