package health

import (
	"slices"
	"time"
)

func (u *Upstream) fault(now time.Time, connection uint64) {
	if u.phase == joining || u.phase == ejected {
		u.add(ReplaceConnection{Connection: connection})
		return
	}
	if slices.Contains(u.suspects, connection) {
		return
	}
	u.suspects = append(u.suspects, connection)
	u.sendProbe(now)
}

func (u *Upstream) sendProbe(now time.Time) {
	if u.probe.open {
		return
	}
	u.probe = openProbe{number: u.probe.number + 1, open: true, sentAt: now}
	u.add(Probe{Number: u.probe.number, Timeout: u.config.ProbeTimeout})
}

// closeProbe returns false for an answer that is not the open probe's.
func (u *Upstream) closeProbe(number uint64) bool {
	if !u.probe.open || number != u.probe.number {
		return false
	}
	u.probe.open = false
	return true
}

func (u *Upstream) probeEnd() time.Time {
	return u.probe.sentAt.Add(u.config.ProbeTimeout)
}

// answered acts on a probe that the upstream answered.
func (u *Upstream) answered(now time.Time) {
	switch u.phase {
	case joining:
		u.group.join()
		u.useFully(now)
	case ejected:
		u.group.restore()
		u.startSlowly(now)
	case held:
		u.startSlowly(now)
	case inUse, returning:
		if u.isFaulty() {
			u.eject(now)
			return
		}
	case departing, removed:
	}
	u.replaceSuspects()
}

// isFaulty counts a fault whose probe was answered. Connections that fail together
// are one fault, as one cause may have taken them all.
func (u *Upstream) isFaulty() bool {
	if len(u.suspects) > 0 {
		u.faults++
	}
	return u.faults >= u.config.MaxFaults
}

// unanswered acts on a probe that failed. Progress after the probe was sent proves
// that the upstream works all the same.
func (u *Upstream) unanswered(now time.Time) {
	if u.lastProgress.After(u.probe.sentAt) {
		u.answered(now)
		return
	}
	if !u.removeAt.IsZero() {
		u.add(FailAttempts{})
		u.remove()
		return
	}
	switch u.phase {
	case joining:
		u.failures++
		u.nextAt = now.Add(u.backoff())
	case departing:
		u.add(FailAttempts{})
		u.suspects = u.suspects[:0]
	case inUse, returning, held, ejected:
		u.eject(now)
	case removed:
	}
}

func (u *Upstream) replaceSuspects() {
	for _, c := range u.suspects {
		u.add(ReplaceConnection{Connection: c})
	}
	u.suspects = u.suspects[:0]
}
