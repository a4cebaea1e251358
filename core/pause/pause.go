// Package pause keeps the replicas that have asked this instance to send them nothing
// for a time. The load that it answers: a replica that is overloaded turns requests away
// and says when it can take more; what comes earlier only adds to its load. It has no I/O
// and no clock.
package pause

import "time"

const (
	// Longest bounds one pause. A replica that wants a longer one says so again when
	// it is asked after that.
	Longest = time.Minute
	// spreadShare and mostSpread bound what is added to a pause at random, so that
	// the instances do not all come back at the same moment.
	spreadShare = 0.1
	mostSpread  = 250 * time.Millisecond
)

// List holds the pauses of replicas. It is not safe for concurrent use.
type List struct {
	until map[string]pause
}

type pause struct {
	born int64
	end  time.Time
}

// New returns a List without pauses.
func New() *List { return &List{until: map[string]pause{}} }

// Add notes that the process of a replica that started at born asked for a pause of d.
// Random, 0 to 1, spreads the instances. It returns the end of the pause, which is never
// earlier than that of another one that the process asked for.
func (l *List) Add(now time.Time, replica string, born int64, d time.Duration, random float64) time.Time {
	d = min(d, Longest)
	spread := min(time.Duration(float64(d)*spreadShare), mostSpread)
	end := now.Add(d + time.Duration(random*float64(spread)))
	if was := l.until[replica]; was.born == born && was.end.After(end) {
		return was.end
	}
	l.until[replica] = pause{born: born, end: end}
	return end
}

// Until returns the end of the pause of a replica, or false if it has none. A later
// process of the replica has asked for nothing.
func (l *List) Until(now time.Time, replica string, born int64) (time.Time, bool) {
	p, ok := l.until[replica]
	if !ok {
		return time.Time{}, false
	}
	if !now.Before(p.end) || born > p.born {
		delete(l.until, replica)
		return time.Time{}, false
	}
	return p.end, true
}

// Empty tells whether no replica has asked for a pause lately.
func (l *List) Empty() bool { return len(l.until) == 0 }

// Prune forgets the pauses that are over.
func (l *List) Prune(now time.Time) {
	for id, p := range l.until {
		if !now.Before(p.end) {
			delete(l.until, id)
		}
	}
}
