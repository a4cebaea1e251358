package pipeline

import "time"

// ChooseMove chooses the path to which a running request moves off the replicas to avoid, with the same
// first replica; within is how long its client still waits for the next token. It returns false if
// there is no such path, or if the request is better sent again on another one.
//
// All requests through a failed replica move at the same moment, on all instances, so each counts the
// prompts of the others on the links between zones. What these cannot carry in time does not move.
func (f *Fleet) ChooseMove(now time.Time, d Demand, present Path, avoid map[string]bool, within time.Duration) (Choice, bool) {
	first := present[0]
	c := Constraint{
		Avoid: avoid, First: first.ID, FirstTo: first.To, Prefilled: present,
		moving: f.sequencesOn(present, avoid), Begun: true,
	}
	choice, ok := f.Choose(now, d, c)
	if !ok {
		// The replica that takes over may have capacity nevertheless, as reserved load is an estimate.
		c.IgnoreCapacity = true
		choice, ok = f.Choose(now, d, c)
	}
	return choice, ok && f.inTime(choice.FirstToken, within)
}

// sequencesOn returns the number of requests of all instances that pass through the replicas to avoid;
// of several replicas the one with the most counts.
func (f *Fleet) sequencesOn(path Path, avoid map[string]bool) float64 {
	most := 0.0
	for _, stage := range path {
		if m := f.replicas[stage.ID]; m != nil && avoid[stage.ID] {
			most = max(most, m.sequences+m.remoteSequences)
		}
	}
	return most
}

// inTime reports whether to use a path with the given expected time to the next token. A path that is
// too slow because many requests move to it is used at random, by the share of them that it can
// serve in time.
func (f *Fleet) inTime(expected, within time.Duration) bool {
	if expected <= within {
		return true
	}
	return f.sharing.Random != nil && f.sharing.Random() < within.Seconds()/expected.Seconds()
}
