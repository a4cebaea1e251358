package waitlist

import "time"

// Callers leave a stream after a gap of leastPatience, targetPatience times the objective
// for the first event, or gapPatience times that for a pause, whichever is longest. They do
// so before the first event too. The platform states these figures.
const (
	leastPatience  = 2 * time.Second
	targetPatience = 4
	gapPatience    = 8
)

// firstEventTime is kept of a caller's patience for the way there, for reading the prompt
// and for the first event.
const firstEventTime = 500 * time.Millisecond

// LongestWait returns how long a stream that has no event yet, or has had none for a
// while, may wait for room or for a retry: the caller would leave before it ends if it
// waited longer. Objective and gap are those of its route; 0 if it has none.
func LongestWait(objective, gap time.Duration) time.Duration {
	return max(leastPatience, targetPatience*objective, gapPatience*gap) - firstEventTime
}
