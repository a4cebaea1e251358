package poison

import (
	"slices"
	"time"
)

// score returns the number of different replicas whose crashes count against f.
func (t *Tracker) score(f Fingerprint) int {
	return t.countReplicas(f, func(c *crash) bool { return t.counts(c, f) })
}

// charged returns the number of different replicas whose crashes are charged to f.
// With alone set, crashes charged to others as well are left out.
func (t *Tracker) charged(f Fingerprint, alone bool) int {
	score := t.score(f)
	return t.countReplicas(f, func(c *crash) bool {
		return t.counts(c, f) && t.isHighest(c, f, score, alone)
	})
}

// countReplicas returns the number of different replicas among f's crashes that
// the condition accepts, as of f's last crash.
func (t *Tracker) countReplicas(f Fingerprint, accept func(*crash) bool) int {
	s, ok := t.suspects[f]
	if !ok {
		return 0
	}
	replicas := make([]string, 0, certainReplicas)
	last := s.last()
	for _, c := range s.crashes {
		if last.Sub(c.at) >= t.retention {
			continue
		}
		if accept(c) && !slices.Contains(replicas, c.replica) {
			replicas = append(replicas, c.replica)
		}
	}
	return len(replicas)
}

// isHighest tells whether no other suspect of the crash has a higher score than f.
// With alone set, none may have an equal score either.
func (t *Tracker) isHighest(c *crash, f Fingerprint, score int, alone bool) bool {
	for _, other := range c.suspects {
		if other == f {
			continue
		}
		rival := t.score(other)
		if rival > score || alone && rival == score {
			return false
		}
	}
	return true
}

// counts tells whether the crash is evidence against f: the replica does not fail
// for its own reasons and no common cause is likely.
func (t *Tracker) counts(c *crash, f Fingerprint) bool {
	return !t.failsAlone(c.replica, c.at) && !t.isBurst(c, f)
}

// failsAlone tells whether the replica crashed so often around a time that the
// requests it ran are no explanation.
func (t *Tracker) failsAlone(replica string, at time.Time) bool {
	n := 0
	for _, c := range t.crashes {
		if c.replica == replica && at.Sub(c.at).Abs() < t.retention {
			n++
		}
	}
	return n >= ownCrashes
}

// isBurst tells whether many other replicas crashed at about the same time without
// f.
func (t *Tracker) isBurst(c *crash, f Fingerprint) bool {
	others := make([]string, 0, burstReplicas)
	for _, o := range t.crashes {
		apart := o.at.Sub(c.at).Abs()
		if o.replica == c.replica || apart > burstWindow || o.has(f) {
			continue
		}
		if !slices.Contains(others, o.replica) {
			others = append(others, o.replica)
		}
		if len(others) >= burstReplicas {
			return true
		}
	}
	return false
}
