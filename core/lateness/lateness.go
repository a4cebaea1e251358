// Package lateness says what delayed an event of a stream most. The router measures what it did itself
// (it waited for a path, sent the request again); what happened within a run on the replicas is split by
// what was expected there.
package lateness

import (
	"slices"
	"time"

	"masticbank.example/core/pipeline"
)

// Cause is what took most of the time to an event.
type Cause int

// Causes of a late event. Those up to Moved are phases that the router measures.
const (
	// None means that nothing was measured.
	None Cause = iota
	// Handler is the wait for a handler of the router.
	Handler
	// Path is the wait for a path with room.
	Path
	// Rejected is the time of runs that replicas rejected, and Retry the wait for another one.
	Rejected
	Retry
	// Lost is the time of lost runs, and of the prefill that they made necessary again.
	Lost
	// Moved is the time until a failed stage was found, and of the prefill on its replacement.
	Moved
	// Prefill is that of the request's own prompt.
	Prefill
	// Backlog is the prefill of other prompts on the path.
	Backlog
	// Step is the time of steps that no other request shares, Batch what others add to them.
	Step
	Batch
	// Parts is what the passes at several parts add, and Links the transfers between zones.
	Parts
	Links
	// Slow is what replicas add that are slower than usual.
	Slow
	// Full is the time that was not expected on a path with a full replica, Uninformed that on a path of
	// which no load of other instances was known, Unexpected that on any other path.
	Full
	Uninformed
	Unexpected
	causes
)

// phases is the number of causes that the router measures.
const phases = Moved + 1

// String returns the text in logs.
func (c Cause) String() string {
	return [...]string{
		"", "waited for its handler", "waited for a path", "a stage rejected the request", "waited for a retry",
		"sent again after a lost run", "moved off a failed stage", "its own prompt", "prompts before it", "steps",
		"steps shared with other streams", "several parts", "links between zones", "slow replica", "full replica",
		"load of other instances not known", "longer than expected",
	}[c]
}

// Clock divides the time between two events of a stream into phases. The zero Clock is not valid; see
// NewClock.
type Clock struct {
	mark  time.Time
	spent Spent
}

// Spent is the time of each phase, with the rest that the present run took.
type Spent struct {
	phases [phases]time.Duration
	// Run is the time of the run that made the event.
	Run time.Duration
	// Rejections is the number of rejections.
	Rejections int
}

// Of returns the time of a phase.
func (s Spent) Of(c Cause) time.Duration { return s.phases[c] }

// NewClock returns a Clock of a request that arrived at the given time and waited for its handler.
func NewClock(arrival time.Time, handler time.Duration) Clock {
	c := Clock{mark: arrival}
	c.End(arrival.Add(handler), Handler)
	return c
}

// End ends a phase, which began with the end of the last one.
func (c *Clock) End(now time.Time, phase Cause) {
	c.spent.phases[phase] += max(0, now.Sub(c.mark))
	if phase == Rejected {
		c.spent.Rejections++
	}
	c.mark = now
}

// Event ends the time to an event and returns its phases.
func (c *Clock) Event(now time.Time) Spent {
	s := c.spent
	s.Run = max(0, now.Sub(c.mark))
	c.mark, c.spent = now, Spent{}
	return s
}

// FirstEvent returns what took most of the time to the first event, and how much of it. e is what was
// expected of the path when it was chosen.
func FirstEvent(s Spent, e pipeline.Expected) (Cause, time.Duration) {
	return s.largest(e, func(times *[causes]time.Duration) {
		times[Prefill], times[Backlog], times[Links], times[Slow] = e.Prefill, e.Backlog, e.LinkPrefill, e.SlowPrefill
	})
}

// Pause returns what took most of the time between two events, and how much of it. e is what is expected
// of the path at the end of the pause. A run that begins in a pause has to prefill the prompt again,
// which is put down to what ended the one before.
func Pause(s Spent, e pipeline.Expected) (Cause, time.Duration) {
	for _, c := range []Cause{Moved, Lost, Rejected, Path} {
		if s.phases[c] > 0 {
			s.phases[c] += s.Run
			s.Run = 0
			break
		}
	}
	return s.largest(e, func(times *[causes]time.Duration) {
		times[Step], times[Batch], times[Parts], times[Links], times[Slow] = e.Step, e.Batch, e.Parts, e.Links, e.SlowStep
		times[Backlog] = e.Backlog
	})
}

// largest returns the largest share of the time. expect sets what is expected of the run. What the run
// took beyond it is put down to a replica so full that it holds requests until others end, if there is one
// on the path, or to load that was not known; if it took less, all that is expected counts for less.
func (s Spent) largest(e pipeline.Expected, expect func(*[causes]time.Duration)) (Cause, time.Duration) {
	var times [causes]time.Duration
	expect(&times)
	sum := time.Duration(0)
	for _, d := range times {
		sum += d
	}
	switch {
	case sum > s.Run:
		for c := range times {
			times[c] = time.Duration(float64(times[c]) * float64(s.Run) / float64(sum))
		}
	case e.Utilization >= pipeline.FullUtilization:
		times[Full] = s.Run - sum
	case e.Shared && e.Remote == 0:
		times[Uninformed] = s.Run - sum
	default:
		times[Unexpected] = s.Run - sum
	}
	copy(times[:], s.phases[:])
	longest := slices.Max(times[:])
	if longest == 0 {
		return None, 0
	}
	return Cause(slices.Index(times[:], longest)), longest
}
