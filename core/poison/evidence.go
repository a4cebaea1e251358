package poison

import (
	"slices"
	"time"
)

// score returns the number of different replicas whose crashes are evidence against f.
func (t *Tracker) score(f Fingerprint) int {
	return t.countReplicas(f, func(c *crash) bool { return t.isEvidence(c, f) })
}

// attributedReplicas returns the number of different replicas whose crashes are attributed
// to f. With alone set, crashes also attributed to other candidates are left out.
func (t *Tracker) attributedReplicas(f Fingerprint, alone bool) int {
	score := t.score(f)
	return t.countReplicas(f, func(c *crash) bool {
		return t.isEvidence(c, f) && t.isHighest(c, f, score, alone)
	})
}

// countReplicas returns the number of different replicas among f's crashes for which accept
// returns true. Crashes older than the retention period at the time of f's last crash are
// ignored.
func (t *Tracker) countReplicas(f Fingerprint, accept func(*crash) bool) int {
	cand, ok := t.candidates[f]
	if !ok {
		return 0
	}
	replicas := make([]string, 0, certainReplicas)
	last := cand.last()
	for _, c := range cand.crashes {
		if last.Sub(c.at) >= t.retention {
			continue
		}
		if accept(c) && !slices.Contains(replicas, c.replica) {
			replicas = append(replicas, c.replica)
		}
	}
	return len(replicas)
}

// isHighest reports whether no other candidate of the crash has a higher score than f. With
// alone set, an equal score disqualifies f as well.
func (t *Tracker) isHighest(c *crash, f Fingerprint, score int, alone bool) bool {
	for _, other := range c.candidates {
		if other == f {
			continue
		}
		otherScore := t.score(other)
		if otherScore > score || alone && otherScore == score {
			return false
		}
	}
	return true
}

// isEvidence reports whether the crash is evidence against f: the replica does not fail
// independently of its requests and a common cause is unlikely.
func (t *Tracker) isEvidence(c *crash, f Fingerprint) bool {
	return !t.failsIndependently(c.replica, c.at) && !t.isBurst(c, f)
}

// failsIndependently reports whether the replica crashed so often around the given time
// that the requests it ran do not explain the crashes.
func (t *Tracker) failsIndependently(replica string, at time.Time) bool {
	n := 0
	for _, c := range t.crashes {
		if c.replica == replica && at.Sub(c.at).Abs() < t.retention {
			n++
		}
	}
	return n >= unrelatedCrashThreshold
}

// isBurst reports whether many other replicas, which were not running f, crashed at about
// the same time.
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
