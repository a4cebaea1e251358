package poison

import (
	"slices"
	"time"
)

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
// have a part in common when one process ends, and many copies of a request may run on it: the more
// processes have crashed, the fewer crashes are kept of each, so that there is room for further ones.
// Those with the lowest hashes are kept, which are the same on all instances.
func (r *crashHistory) insert(c Crash) bool {
	for i := range r.crashes {
		if x := &r.crashes[i]; x.Run == c.Run && x.Process == c.Process {
			return false
		}
	}
	crashes := map[Process]int{c.Process: 0}
	for i := range r.crashes {
		crashes[r.crashes[i].Process]++
	}
	if len(crashes) > maxCrashesEach {
		return false
	}
	limit := min(maxCrashesPerProcess, maxCrashesEach/len(crashes))
	if crashes[c.Process] >= limit && c.hash() > r.crashes[r.highest(c.Process)].hash() {
		return false
	}
	r.crashes = append(r.crashes, c)
	r.digest ^= c.hash()
	crashes[c.Process]++
	for p, n := range crashes {
		for ; n > limit; n-- {
			i := r.highest(p)
			r.digest ^= r.crashes[i].hash()
			r.crashes = slices.Delete(r.crashes, i, i+1)
		}
	}
	r.incidents = nil
	return true
}

// highest returns the index of the crash with the highest hash among those of a process.
func (r *crashHistory) highest(p Process) int {
	highest, hash := -1, uint64(0)
	for i := range r.crashes {
		if r.crashes[i].Process != p {
			continue
		}
		if h := r.crashes[i].hash(); highest < 0 || h > hash {
			highest, hash = i, h
		}
	}
	return highest
}
