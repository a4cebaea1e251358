// Package pause tracks the replicas that have asked this instance to send them no
// requests for some time. An overloaded replica rejects requests and states when it can
// accept more; requests sent before that would only add to its load. The package does
// no I/O and reads no clock.
package pause

import "time"

const (
	// MaxDuration bounds one pause. A replica that needs a longer one asks again when it
	// receives a request after it.
	MaxDuration = time.Minute
	// jitterFraction and maxJitter bound the random extension of a pause, so that the
	// instances do not all resume at the same moment.
	jitterFraction = 0.1
	maxJitter      = 250 * time.Millisecond
)

// List holds the pauses of replicas. It is not safe for concurrent use.
type List struct {
	pauses map[string]pause
}

type pause struct {
	startTime int64
	end       time.Time
}

// New returns a List without pauses.
func New() *List { return &List{pauses: map[string]pause{}} }

// Add records that the process of a replica that started at startTime asked for a pause
// of the given duration. Random, 0 to 1, scales the random extension. Add returns the
// end of the pause, which is never earlier than the end of a previous pause of the same
// process.
func (l *List) Add(now time.Time, replica string, startTime int64, duration time.Duration, random float64) time.Time {
	duration = min(duration, MaxDuration)
	spread := min(time.Duration(float64(duration)*jitterFraction), maxJitter)
	end := now.Add(duration + time.Duration(random*float64(spread)))
	if previous := l.pauses[replica]; previous.startTime == startTime && previous.end.After(end) {
		return previous.end
	}
	l.pauses[replica] = pause{startTime: startTime, end: end}
	return end
}

// Until returns the end of the pause of a replica, or false if it has none. A pause
// does not apply to a later process of the replica.
func (l *List) Until(now time.Time, replica string, startTime int64) (time.Time, bool) {
	p, ok := l.pauses[replica]
	if !ok {
		return time.Time{}, false
	}
	if !now.Before(p.end) || startTime > p.startTime {
		delete(l.pauses, replica)
		return time.Time{}, false
	}
	return p.end, true
}

// Empty reports whether the list holds no pauses. Ended pauses count until they are
// pruned or looked up.
func (l *List) Empty() bool { return len(l.pauses) == 0 }

// Prune deletes the pauses that have ended.
func (l *List) Prune(now time.Time) {
	for id, p := range l.pauses {
		if !now.Before(p.end) {
			delete(l.pauses, id)
		}
	}
}
