package poison

import "time"

// crashHistory holds the crashes of one fingerprint and its block.
type crashHistory struct {
	crashes []Crash
	// incidents groups crashes; it is nil after they have changed. digest is the exclusive or of
	// their hashes.
	incidents [][]Crash
	digest    uint64
	blocked   bool
	// trialUntil is set while the attempt trialAttempt runs as a trial on this instance.
	trialUntil   time.Time
	trialAttempt uint64
}

func (r *crashHistory) last() time.Time {
	last := r.crashes[0].At
	for _, c := range r.crashes {
		last = later(last, c.At)
	}
	return last
}

// insert adds a crash and returns false if it is already known or exceeds a limit. Many requests may
// have a part in common when one process ends: of their crashes those with the lowest hashes are kept,
// which are the same on all instances.
func (r *crashHistory) insert(c Crash) bool {
	same, highest := 0, -1
	for i := range r.crashes {
		x := &r.crashes[i]
		if x.Process != c.Process {
			continue
		}
		if x.Run == c.Run {
			return false
		}
		if same++; highest < 0 || x.hash() > r.crashes[highest].hash() {
			highest = i
		}
	}
	switch {
	case same < maxCrashesPerProcess && len(r.crashes) < maxCrashesEach:
		r.crashes = append(r.crashes, c)
	case same == maxCrashesPerProcess && c.hash() < r.crashes[highest].hash():
		r.digest ^= r.crashes[highest].hash()
		r.crashes[highest] = c
	default:
		return false
	}
	r.digest ^= c.hash()
	r.incidents = nil
	return true
}
