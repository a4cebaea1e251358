package health

import "time"

// eject takes the upstream out of use until its next probe, or holds it at a low
// weight when the group allows no more ejections. An ejected upstream is counted
// anew, as members may have left meanwhile.
func (u *Upstream) eject(now time.Time) {
	if u.phase == inUse && now.Sub(u.fullSince) >= u.config.ForgetAfter {
		u.failures = 0
	}
	if u.phase == ejected {
		u.group.restore()
	} else {
		u.add(FailAttempts{})
	}
	u.failures++
	u.faults = 0
	u.suspects = u.suspects[:0]
	u.nextAt = now.Add(u.backoff())
	if !u.group.eject() {
		u.phase = held
		u.setWeight(u.config.HeldWeight)
		return
	}
	u.phase = ejected
	u.setWeight(0)
	u.add(Eject{Until: u.nextAt})
}

// backoff returns the time to the next probe after failures in a row, drawn from
// the upper half of its range.
func (u *Upstream) backoff() time.Duration {
	longest := u.config.MinEjection
	for range u.failures - 1 {
		longest = min(2*longest, u.config.MaxEjection)
	}
	half := longest / 2
	return half + time.Duration(u.random.Float64()*float64(half))
}

func (u *Upstream) startSlowly(now time.Time) {
	u.phase = returning
	u.step = -1
	u.speedUp(now)
}

func (u *Upstream) speedUp(now time.Time) {
	u.step++
	if u.step >= len(u.config.SlowStart) {
		u.useFully(now)
		return
	}
	u.nextAt = now.Add(u.config.SlowStartStep)
	u.setWeight(u.config.SlowStart[u.step])
}

func (u *Upstream) useFully(now time.Time) {
	u.phase = inUse
	u.fullSince = now
	u.nextAt = time.Time{}
	u.setWeight(1)
}
