package health

import (
	"slices"
	"time"
)

// connectionFault handles a connection that failed or made no progress: the
// upstream is probed before anything else is concluded.
func (u *Upstream) connectionFault(now time.Time, connection uint64) {
	if u.phase == joining || u.phase == ejected {
		u.emit(ReplaceConnection{Connection: connection})
		return
	}
	if slices.Contains(u.suspectedConnections, connection) {
		return
	}
	u.suspectedConnections = append(u.suspectedConnections, connection)
	u.sendProbe(now)
}

func (u *Upstream) sendProbe(now time.Time) {
	if u.probe.open {
		return
	}
	u.probe = openProbe{number: u.probe.number + 1, open: true, sentAt: now}
	u.emit(Probe{Number: u.probe.number, Timeout: u.config.ProbeTimeout})
}

// closeProbe closes the open probe. It returns false if number is not that of
// the open probe.
func (u *Upstream) closeProbe(number uint64) bool {
	if !u.probe.open || number != u.probe.number {
		return false
	}
	u.probe.open = false
	return true
}

func (u *Upstream) probeDeadline() time.Time {
	return u.probe.sentAt.Add(u.config.ProbeTimeout)
}

// probeSucceeded handles a probe that the upstream responded to.
func (u *Upstream) probeSucceeded(now time.Time) {
	switch u.phase {
	case joining:
		u.group.join()
		u.activate(now)
	case ejected:
		u.group.restore()
		u.beginSlowStart(now)
	case degraded:
		u.beginSlowStart(now)
	case active, recovering:
		if u.countFault() {
			u.eject(now)
			return
		}
	case leaving, removed:
	}
	u.replaceSuspectedConnections()
}

// countFault counts a fault whose probe succeeded and reports whether the limit
// is reached. Connections that fail together count as one fault, as they may
// have one cause.
func (u *Upstream) countFault() bool {
	if len(u.suspectedConnections) > 0 {
		u.consecutiveFaults++
	}
	return u.consecutiveFaults >= u.config.MaxConsecutiveFaults
}

// probeFailed handles a failed probe. Progress after the probe was sent shows
// that the upstream works nevertheless.
func (u *Upstream) probeFailed(now time.Time) {
	if u.lastProgress.After(u.probe.sentAt) {
		u.probeSucceeded(now)
		return
	}
	if !u.removeAt.IsZero() {
		u.emit(FailAttempts{})
		u.remove()
		return
	}
	switch u.phase {
	case joining:
		u.consecutiveFailures++
		u.nextActionAt = now.Add(u.backoff())
	case leaving:
		u.emit(FailAttempts{})
		u.suspectedConnections = u.suspectedConnections[:0]
	case active, recovering, degraded, ejected:
		u.eject(now)
	case removed:
	}
}

func (u *Upstream) replaceSuspectedConnections() {
	for _, c := range u.suspectedConnections {
		u.emit(ReplaceConnection{Connection: c})
	}
	u.suspectedConnections = u.suspectedConnections[:0]
}
