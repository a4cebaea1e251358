package health

import "time"

// eject ejects the upstream until its next probe, or keeps it at a low weight
// if the group allows no more ejections. An upstream that is ejected already is
// first taken out of the group's count, as the group may have become smaller
// meanwhile.
func (u *Upstream) eject(now time.Time) {
	if u.phase == active && now.Sub(u.activeSince) >= u.config.BackoffResetAfter {
		u.consecutiveFailures = 0
	}
	if u.phase == ejected {
		u.group.restore()
	} else {
		u.emit(FailAttempts{})
	}
	u.consecutiveFailures++
	u.consecutiveFaults = 0
	u.suspectedConnections = u.suspectedConnections[:0]
	u.nextActionAt = now.Add(u.backoff())
	if !u.group.eject() {
		u.phase = degraded
		u.setWeight(u.config.DegradedWeight)
		return
	}
	u.phase = ejected
	u.setWeight(0)
	u.emit(Eject{Until: u.nextActionAt})
}

// backoff returns the time to the next probe, which grows with the number of
// consecutive failures. It is drawn from the upper half of its range.
func (u *Upstream) backoff() time.Duration {
	maxBackoff := u.config.MinEjection
	for range u.consecutiveFailures - 1 {
		maxBackoff = min(2*maxBackoff, u.config.MaxEjection)
	}
	half := maxBackoff / 2
	return half + time.Duration(u.random.Float64()*float64(half))
}

// beginSlowStart starts the sequence of rising weights after a successful
// probe.
func (u *Upstream) beginSlowStart(now time.Time) {
	u.phase = recovering
	u.slowStartIndex = -1
	u.advanceSlowStart(now)
}

// advanceSlowStart sets the next weight of the slow start.
func (u *Upstream) advanceSlowStart(now time.Time) {
	u.slowStartIndex++
	if u.slowStartIndex >= len(u.config.SlowStart) {
		u.activate(now)
		return
	}
	u.nextActionAt = now.Add(u.config.SlowStartStep)
	u.setWeight(u.config.SlowStart[u.slowStartIndex])
}

// activate gives the upstream its full weight.
func (u *Upstream) activate(now time.Time) {
	u.phase = active
	u.activeSince = now
	u.nextActionAt = time.Time{}
	u.setWeight(1)
}
