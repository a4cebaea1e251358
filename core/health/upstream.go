package health

import (
	"math/rand/v2"
	"slices"
	"time"
)

// phase is the state of an upstream.
type phase int

const (
	// joining upstreams have not responded to a probe yet and get no work.
	joining phase = iota
	// active upstreams have weight 1.
	active
	// recovering upstreams go through Config.SlowStart.
	recovering
	// degraded upstreams fail their probes but are not ejected because of the
	// group's limit.
	degraded
	// ejected upstreams get no work until a probe succeeds.
	ejected
	// leaving upstreams finish their work in flight and get no new work.
	leaving
	// removed upstreams ignore all events.
	removed
)

// unsetWeight differs from every weight that can be set.
const unsetWeight = -1

// Upstream is the state machine of one upstream. It is not safe for concurrent
// use.
type Upstream struct {
	config Config
	group  *Group
	random *rand.Rand

	phase  phase
	weight float64
	// suspectedConnections are the faulty connections that wait for the result
	// of the open probe.
	suspectedConnections []uint64
	probe                openProbe
	lastProgress         time.Time
	// consecutiveFaults is the number of faults with a successful probe since
	// the last progress.
	consecutiveFaults int
	// consecutiveFailures is the number of consecutive ejections, including
	// probes that failed while joining or ejected.
	consecutiveFailures int
	activeSince         time.Time
	// slowStartIndex is the index in Config.SlowStart.
	slowStartIndex int
	// nextActionAt is the time of the next probe or of the next step of the
	// slow start.
	nextActionAt time.Time
	// removeAt is set while the upstream is missing from the platform's list.
	removeAt time.Time

	effects []Effect
}

// openProbe is the probe in progress. number counts all probes of the upstream.
type openProbe struct {
	number uint64
	open   bool
	sentAt time.Time
}

// NewUpstream returns the state machine of an upstream that has not been listed
// yet. seed is for the jitter of its backoff.
func NewUpstream(config Config, group *Group, seed uint64) *Upstream {
	return &Upstream{
		config: config,
		group:  group,
		random: rand.New(rand.NewPCG(seed, 0)),
		weight: unsetWeight,
	}
}

// Weight returns the share of new work, 0 to 1.
func (u *Upstream) Weight() float64 {
	return max(u.weight, 0)
}

// Leaving reports whether the upstream is leaving.
func (u *Upstream) Leaving() bool {
	return u.phase == leaving
}

// Step handles an event at time now and returns the effects to perform. The
// returned slice is valid until the next call.
func (u *Upstream) Step(now time.Time, event Event) []Effect {
	u.effects = u.effects[:0]
	if u.phase == removed {
		return nil
	}
	switch e := event.(type) {
	case Listed:
		u.handleListed(now, e.Leaving)
	case Unlisted:
		u.handleUnlisted(now)
	case Leaving:
		u.startLeaving(e.Source)
	case Progress:
		u.recordProgress(now, e.Connection)
	case Unresponsive:
		u.connectionFault(now, e.Connection)
	case ConnectionFailed:
		u.connectionFault(now, e.Connection)
	case ProbeSucceeded:
		if u.closeProbe(e.Probe) {
			u.probeSucceeded(now)
		}
	case ProbeFailed:
		if u.closeProbe(e.Probe) {
			u.probeFailed(now)
		}
	case Tick:
		u.handleTick(now)
	}
	return u.effects
}

// Deadline returns the time at which a Tick is due, or false if there is none.
func (u *Upstream) Deadline() (time.Time, bool) {
	var earliest time.Time
	consider := func(at time.Time) {
		if !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	consider(u.removeAt)
	if u.probe.open {
		consider(u.probeDeadline())
	} else {
		consider(u.nextActionAt)
	}
	return earliest, !earliest.IsZero()
}

func (u *Upstream) handleListed(now time.Time, leaving bool) {
	u.removeAt = time.Time{}
	if leaving {
		u.startLeaving(FromList)
		return
	}
	if u.phase == joining && !u.probe.open && u.nextActionAt.IsZero() {
		u.setWeight(0)
		u.sendProbe(now)
	}
}

// handleUnlisted removes an upstream that gets no new work at once. One that
// gets work is probed and stays for UnlistedGrace, as the list may be wrong.
func (u *Upstream) handleUnlisted(now time.Time) {
	switch u.phase {
	case joining, ejected, leaving:
		u.remove()
		return
	case active, recovering, degraded, removed:
	}
	if !u.removeAt.IsZero() {
		return
	}
	u.removeAt = now.Add(u.config.UnlistedGrace)
	u.sendProbe(now)
}

// startLeaving ends new work on the upstream.
func (u *Upstream) startLeaving(source Source) {
	if u.phase == leaving {
		return
	}
	u.leaveGroup()
	u.phase = leaving
	u.nextActionAt = time.Time{}
	u.setWeight(0)
	if source == FromUpstream {
		u.emit(AnnounceLeaving{})
	}
}

func (u *Upstream) remove() {
	u.leaveGroup()
	u.phase = removed
	u.nextActionAt = time.Time{}
	u.removeAt = time.Time{}
	u.probe.open = false
	u.setWeight(0)
	u.emit(Remove{})
}

func (u *Upstream) leaveGroup() {
	switch u.phase {
	case ejected:
		u.group.restore()
		u.group.leave()
	case active, recovering, degraded:
		u.group.leave()
	case joining, leaving, removed:
	}
}

func (u *Upstream) recordProgress(now time.Time, connection uint64) {
	u.lastProgress = now
	u.consecutiveFaults = 0
	u.suspectedConnections = slices.DeleteFunc(u.suspectedConnections, func(c uint64) bool { return c == connection })
}

func (u *Upstream) handleTick(now time.Time) {
	if !u.removeAt.IsZero() && !now.Before(u.removeAt) {
		u.remove()
		return
	}
	if u.probe.open && !now.Before(u.probeDeadline()) {
		u.probe.open = false
		u.probeFailed(now)
		return
	}
	if u.nextActionAt.IsZero() || now.Before(u.nextActionAt) {
		return
	}
	switch u.phase {
	case joining, degraded, ejected:
		u.sendProbe(now)
	case recovering:
		u.advanceSlowStart(now)
	case active, leaving, removed:
	}
}

func (u *Upstream) setWeight(weight float64) {
	if u.weight == weight {
		return
	}
	u.weight = weight
	u.emit(SetWeight{Weight: weight})
}

func (u *Upstream) emit(e Effect) {
	u.effects = append(u.effects, e)
}
