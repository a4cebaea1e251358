package health

import (
	"math/rand/v2"
	"slices"
	"time"
)

// phase is what an upstream is used for.
type phase int

const (
	// joining upstreams have not answered yet and get no work.
	joining phase = iota
	// inUse upstreams get their full share.
	inUse
	// returning upstreams pass through Config.SlowStart.
	returning
	// held upstreams fail their probes and are not ejected for the group's sake.
	held
	// ejected upstreams get no work until a probe is answered.
	ejected
	// departing upstreams finish what they have and get no new work.
	departing
	// removed upstreams are forgotten.
	removed
)

// unset is a weight that differs from every weight given.
const unset = -1

// Upstream is the state machine of one upstream. It is not safe for concurrent
// use.
type Upstream struct {
	config Config
	group  *Group
	random *rand.Rand

	phase  phase
	weight float64
	// suspects are the connections that wait for the open probe.
	suspects     []uint64
	probe        openProbe
	lastProgress time.Time
	// faults counts answered probes of faulty connections since the last progress.
	faults int
	// failures counts ejections, and probes failed meanwhile, in a row.
	failures  int
	fullSince time.Time
	// step is the position in Config.SlowStart.
	step int
	// nextAt is the time of the next probe or of the next step of the slow start.
	nextAt time.Time
	// removeAt is set while the upstream is missing from the list.
	removeAt time.Time

	effects []Effect
}

// openProbe is the probe under way. number counts all probes of the upstream.
type openProbe struct {
	number uint64
	open   bool
	sentAt time.Time
}

// NewUpstream returns the state machine of an upstream that has not been listed
// yet. The seed is for the jitter of its backoff.
func NewUpstream(config Config, group *Group, seed uint64) *Upstream {
	return &Upstream{
		config: config,
		group:  group,
		random: rand.New(rand.NewPCG(seed, 0)),
		weight: unset,
	}
}

// Weight returns the share of new work, 0 to 1.
func (u *Upstream) Weight() float64 {
	return max(u.weight, 0)
}

// Leaving tells whether a sign of leaving was seen.
func (u *Upstream) Leaving() bool {
	return u.phase == departing
}

// Step takes an event at time now and returns what is to be done. The returned
// slice is valid until the next call.
func (u *Upstream) Step(now time.Time, event Event) []Effect {
	u.effects = u.effects[:0]
	if u.phase == removed {
		return nil
	}
	switch e := event.(type) {
	case Listed:
		u.listed(now, e.Leaving)
	case Unlisted:
		u.unlisted(now)
	case Leaving:
		u.depart(e.Source)
	case Progress:
		u.progress(now, e.Connection)
	case Silent:
		u.fault(now, e.Connection)
	case Lost:
		u.fault(now, e.Connection)
	case ProbeAnswered:
		if u.closeProbe(e.Probe) {
			u.answered(now)
		}
	case ProbeFailed:
		if u.closeProbe(e.Probe) {
			u.unanswered(now)
		}
	case Tick:
		u.tick(now)
	}
	return u.effects
}

// Deadline returns the time at which a Tick is due, and false when none is.
func (u *Upstream) Deadline() (time.Time, bool) {
	var first time.Time
	consider := func(at time.Time) {
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	consider(u.removeAt)
	if u.probe.open {
		consider(u.probeEnd())
	} else {
		consider(u.nextAt)
	}
	return first, !first.IsZero()
}

func (u *Upstream) listed(now time.Time, leaving bool) {
	u.removeAt = time.Time{}
	if leaving {
		u.depart(FromList)
		return
	}
	if u.phase == joining && !u.probe.open && u.nextAt.IsZero() {
		u.setWeight(0)
		u.sendProbe(now)
	}
}

// unlisted removes an upstream without use at once. One in use is probed and goes
// on for a while, as the list may be wrong.
func (u *Upstream) unlisted(now time.Time) {
	switch u.phase {
	case joining, ejected, departing:
		u.remove()
		return
	case inUse, returning, held, removed:
	}
	if !u.removeAt.IsZero() {
		return
	}
	u.removeAt = now.Add(u.config.UnlistedUse)
	u.sendProbe(now)
}

func (u *Upstream) depart(source Source) {
	if u.phase == departing {
		return
	}
	u.quitGroup()
	u.phase = departing
	u.nextAt = time.Time{}
	u.setWeight(0)
	if source == FromUpstream {
		u.add(AnnounceLeaving{})
	}
}

func (u *Upstream) remove() {
	u.quitGroup()
	u.phase = removed
	u.nextAt = time.Time{}
	u.removeAt = time.Time{}
	u.probe.open = false
	u.setWeight(0)
	u.add(Remove{})
}

func (u *Upstream) quitGroup() {
	switch u.phase {
	case ejected:
		u.group.restore()
		u.group.leave()
	case inUse, returning, held:
		u.group.leave()
	case joining, departing, removed:
	}
}

func (u *Upstream) progress(now time.Time, connection uint64) {
	u.lastProgress = now
	u.faults = 0
	u.suspects = slices.DeleteFunc(u.suspects, func(c uint64) bool { return c == connection })
}

func (u *Upstream) tick(now time.Time) {
	if !u.removeAt.IsZero() && !now.Before(u.removeAt) {
		u.remove()
		return
	}
	if u.probe.open && !now.Before(u.probeEnd()) {
		u.probe.open = false
		u.unanswered(now)
		return
	}
	if u.nextAt.IsZero() || now.Before(u.nextAt) {
		return
	}
	switch u.phase {
	case joining, held, ejected:
		u.sendProbe(now)
	case returning:
		u.speedUp(now)
	case inUse, departing, removed:
	}
}

func (u *Upstream) setWeight(weight float64) {
	if u.weight == weight {
		return
	}
	u.weight = weight
	u.add(SetWeight{Weight: weight})
}

func (u *Upstream) add(e Effect) {
	u.effects = append(u.effects, e)
}
