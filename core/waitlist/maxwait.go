package waitlist

import "time"

// Clients give up on a stream, before the first event too, after a gap without events
// of minClientTimeout, objectiveFactor times the objective for the first event, or
// gapFactor times the objective for the gap between events, whichever is longest. The
// platform specifies these values.
const (
	minClientTimeout = 2 * time.Second
	objectiveFactor  = 4
	gapFactor        = 8
)

// firstEventReserve is the part of the client's timeout that is reserved for
// transmission, the prefill and the first event.
const firstEventReserve = 500 * time.Millisecond

// Patience returns how long a client waits for the first event, and for each further one.
func Patience(objective, gap time.Duration) time.Duration {
	return max(minClientTimeout, objectiveFactor*objective, gapFactor*gap)
}

// MaxWait returns how long a stream that has received no event, or none for a
// while, may wait for free capacity or for a retry. After a longer wait the client
// would give up before the next event. Objective and gap are the objectives of the
// route for the first event and for the gap between events, 0 if it has none.
func MaxWait(objective, gap time.Duration) time.Duration {
	return Patience(objective, gap) - firstEventReserve
}
