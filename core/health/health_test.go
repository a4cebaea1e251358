package health

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "2000")
}

var start = time.Unix(1_800_000_000, 0)

// scriptStep is one event of a script, at an offset from the start, with the
// effects expected of it. Eject is compared without its time.
type scriptStep struct {
	at    time.Duration
	event Event
	want  []Effect
}

func runScript(t *testing.T, u *Upstream, steps []scriptStep) {
	t.Helper()
	for i, s := range steps {
		got := []Effect{}
		for _, e := range u.Step(start.Add(s.at), s.event) {
			if _, ok := e.(Eject); ok {
				e = Eject{}
			}
			got = append(got, e)
		}
		want := append([]Effect{}, s.want...)
		require.Equal(t, want, got, "step %d: %T", i, s.event)
	}
}

func probe(n uint64) Effect { return Probe{Number: n, Timeout: time.Second} }

// joinUpstream lists the upstream and reports its first probe as successful at
// time 0.
func joinUpstream(t *testing.T, u *Upstream) {
	t.Helper()
	runScript(t, u, []scriptStep{
		{0, Listed{}, []Effect{SetWeight{0}, probe(1)}},
		{0, ProbeSucceeded{1}, []Effect{SetWeight{1}}},
	})
}

// joinedUpstream returns a joined upstream in a group with others more.
func joinedUpstream(t *testing.T, others int) *Upstream {
	t.Helper()
	g := NewGroup(0.5)
	for range others {
		joinUpstream(t, NewUpstream(DefaultConfig(), g, 1))
	}
	u := NewUpstream(DefaultConfig(), g, 2)
	joinUpstream(t, u)
	return u
}

const (
	second = time.Second
	minute = time.Minute
)

func TestScripts(t *testing.T) {
	scripts := map[string][]scriptStep{
		"a successful probe replaces the connection only": {
			{second, Unresponsive{7}, []Effect{probe(2)}},
			{second, Unresponsive{7}, nil},
			{second, ConnectionFailed{8}, nil},
			{second, ProbeSucceeded{1}, nil}, // a late response to an older probe
			{second, ProbeSucceeded{2}, []Effect{ReplaceConnection{7}, ReplaceConnection{8}}},
		},
		"a connection that makes progress is kept": {
			{second, Unresponsive{7}, []Effect{probe(2)}},
			{second, Progress{7}, nil},
			{second, ProbeSucceeded{2}, nil},
		},
		"progress after the probe was sent overrides its failure": {
			{second, Unresponsive{7}, []Effect{probe(2)}},
			{second + 1, Progress{9}, nil},
			{2 * second, ProbeFailed{2}, []Effect{ReplaceConnection{7}}},
		},
		"a failed probe ejects, and recovery goes through the slow start": {
			{second, Unresponsive{7}, []Effect{probe(2)}},
			{2 * second, Tick{}, []Effect{FailAttempts{}, SetWeight{0}, Eject{}}},
			{3 * second, Tick{}, []Effect{probe(3)}},
			{3 * second, ProbeSucceeded{3}, []Effect{SetWeight{0.1}}},
			{4 * second, Tick{}, nil},
			{5 * second, Tick{}, []Effect{SetWeight{0.25}}},
			{7 * second, Tick{}, []Effect{SetWeight{0.5}}},
			{9 * second, Tick{}, []Effect{SetWeight{1}}},
		},
		"consecutive faults eject despite successful probes": {
			{second, Unresponsive{1}, []Effect{probe(2)}},
			{second, ProbeSucceeded{2}, []Effect{ReplaceConnection{1}}},
			{second, Unresponsive{2}, []Effect{probe(3)}},
			{second, ProbeSucceeded{3}, []Effect{ReplaceConnection{2}}},
			{second, ConnectionFailed{3}, []Effect{probe(4)}},
			{second, ProbeSucceeded{4}, []Effect{ReplaceConnection{3}}},
			{second, ConnectionFailed{4}, []Effect{probe(5)}},
			{second, ProbeSucceeded{5}, []Effect{FailAttempts{}, SetWeight{0}, Eject{}}},
			{2 * second, Tick{}, []Effect{probe(6)}},
			{2 * second, ProbeSucceeded{6}, []Effect{SetWeight{0.1}}},
			{2 * second, Unresponsive{5}, []Effect{probe(7)}},
			{2 * second, ProbeSucceeded{7}, []Effect{ReplaceConnection{5}}},
		},
		"an ejected upstream that is unlisted is removed": {
			{second, Unresponsive{7}, []Effect{probe(2)}},
			{2 * second, ProbeFailed{2}, []Effect{FailAttempts{}, SetWeight{0}, Eject{}}},
			{2 * second, Unlisted{}, []Effect{Remove{}}},
		},
		"connections that fail together count as one fault": {
			{second, Unresponsive{1}, []Effect{probe(2)}},
			{second, Unresponsive{2}, nil},
			{second, ConnectionFailed{3}, nil},
			{second, ConnectionFailed{4}, nil},
			{second, ProbeSucceeded{2}, []Effect{
				ReplaceConnection{1}, ReplaceConnection{2}, ReplaceConnection{3}, ReplaceConnection{4},
			}},
		},
		"progress resets the consecutive faults": {
			{second, Unresponsive{1}, []Effect{probe(2)}},
			{second, ProbeSucceeded{2}, []Effect{ReplaceConnection{1}}},
			{second, Unresponsive{2}, []Effect{probe(3)}},
			{second, ProbeSucceeded{3}, []Effect{ReplaceConnection{2}}},
			{second, Unresponsive{3}, []Effect{probe(4)}},
			{second, ProbeSucceeded{4}, []Effect{ReplaceConnection{3}}},
			{second, Progress{5}, nil},
			{second, Unresponsive{4}, []Effect{probe(5)}},
			{second, ProbeSucceeded{5}, []Effect{ReplaceConnection{4}}},
		},
		"the list does not revoke the upstream's own report of leaving": {
			{second, Leaving{FromUpstream}, []Effect{SetWeight{0}, AnnounceLeaving{}}},
			{second, Listed{}, nil},
			{second, Leaving{FromPeer}, nil},
			{second, Leaving{FromUpstream}, nil},
			{second, Unresponsive{7}, []Effect{probe(2)}},
			{second, ProbeSucceeded{2}, []Effect{ReplaceConnection{7}}},
			{second, Unresponsive{8}, []Effect{probe(3)}},
			{second, ProbeFailed{3}, []Effect{FailAttempts{}}},
			{minute, Tick{}, nil},
			{minute, Listed{}, nil},
			{minute, Unlisted{}, []Effect{Remove{}}},
			{minute, Listed{}, nil},
		},
		"a peer's report of leaving is accepted": {
			{second, Leaving{FromPeer}, []Effect{SetWeight{0}}},
			{second, ProbeSucceeded{1}, nil},
		},
		"the list's report of leaving is accepted": {
			{second, Listed{Leaving: true}, []Effect{SetWeight{0}}},
			{second, Listed{}, nil},
		},
		"an unlisted upstream that responds stays for the grace period": {
			{second, Unlisted{}, []Effect{probe(2)}},
			{second, ProbeSucceeded{2}, nil},
			{30 * second, Unlisted{}, nil},
			{31 * second, Tick{}, []Effect{SetWeight{0}, Remove{}}},
		},
		"an upstream that is listed again stays": {
			{second, Unlisted{}, []Effect{probe(2)}},
			{second, ProbeSucceeded{2}, nil},
			{2 * second, Listed{}, nil},
			{31 * second, Tick{}, nil},
		},
		"an unlisted upstream that is unresponsive is removed": {
			{second, Unlisted{}, []Effect{probe(2)}},
			{2 * second, ProbeFailed{2}, []Effect{FailAttempts{}, SetWeight{0}, Remove{}}},
		},
	}
	for name, steps := range scripts {
		t.Run(name, func(t *testing.T) {
			runScript(t, joinedUpstream(t, 3), steps)
		})
	}
}

// TestNoWorkBeforeFirstProbeResponse checks that an upstream that has never
// responded gets no work and is probed again later.
func TestNoWorkBeforeFirstProbeResponse(t *testing.T) {
	u := NewUpstream(DefaultConfig(), NewGroup(1), 1)
	runScript(t, u, []scriptStep{
		{0, Listed{}, []Effect{SetWeight{0}, probe(1)}},
		{second, ProbeFailed{1}, nil},
		{second, Listed{}, nil},
		{2 * second, Tick{}, []Effect{probe(2)}},
		{2 * second, ProbeSucceeded{2}, []Effect{SetWeight{1}}},
	})
}

// TestDegradedWhenGroupAllowsNoEjection checks that an upstream that fails its
// probes keeps a low weight, and is probed again, if its group allows no more
// ejections.
func TestDegradedWhenGroupAllowsNoEjection(t *testing.T) {
	u := joinedUpstream(t, 0)
	runScript(t, u, []scriptStep{
		{second, Unresponsive{7}, []Effect{probe(2)}},
		{2 * second, ProbeFailed{2}, []Effect{FailAttempts{}, SetWeight{0.1}}},
		{3 * second, Tick{}, []Effect{probe(3)}},
		{3 * second, ProbeSucceeded{3}, nil},
		{5 * second, Tick{}, []Effect{SetWeight{0.25}}},
	})
}

// TestEjectionBackoff checks that the time to the next probe doubles with each
// consecutive failure up to its limit, is drawn from the upper half of its
// range, and is short again after BackoffResetAfter at full weight.
func TestEjectionBackoff(t *testing.T) {
	u := joinedUpstream(t, 3)
	longest, now := time.Second, start
	waits := make(map[time.Duration]bool)
	for range 12 {
		now = now.Add(second)
		u.eject(now)
		next, _ := u.Deadline()
		wait := next.Sub(now)
		require.GreaterOrEqual(t, wait, longest/2)
		require.LessOrEqual(t, wait, longest)
		waits[wait] = true
		longest = min(2*longest, minute)
	}
	require.Len(t, waits, 12, "all times differ because of jitter")
	u.group.restore()
	u.activate(now)
	now = now.Add(DefaultConfig().BackoffResetAfter)
	u.eject(now)
	next, _ := u.Deadline()
	require.LessOrEqual(t, next.Sub(now), second)
}

func drawEvent(t *rapid.T, u *Upstream) Event {
	n := u.probe.number
	return rapid.SampledFrom([]Event{
		Unlisted{},
		Listed{},
		Listed{},
		Listed{Leaving: true},
		Leaving{FromUpstream},
		Leaving{FromPeer},
		Progress{1},
		Progress{2},
		Unresponsive{1},
		Unresponsive{2},
		Unresponsive{3},
		ConnectionFailed{3},
		ConnectionFailed{4},
		ConnectionFailed{5},
		Tick{},
		Tick{},
		ProbeSucceeded{n},
		ProbeSucceeded{n},
		ProbeSucceeded{n - 1},
		ProbeFailed{n},
		ProbeFailed{n},
		ProbeFailed{n},
		ProbeFailed{n - 1},
	}).Draw(t, "event")
}

// checkStep sends an event and checks the effects against the state before it.
func checkStep(t *rapid.T, u *Upstream, now time.Time, e Event) {
	before := *u
	responsive := u.lastProgress.After(u.probe.sentAt)
	if _, ok := e.(ProbeSucceeded); ok {
		responsive = true
	}
	for _, effect := range u.Step(now, e) {
		switch effect := effect.(type) {
		case SetWeight:
			require.False(t, before.Leaving() && effect.Weight > 0, "weight while leaving")
		case Eject:
			require.LessOrEqual(t, u.group.Ejected(), u.group.Allowed())
			require.True(t, before.probe.open && !u.probe.open, "ejected without a probe")
			require.True(t, !responsive || before.consecutiveFaults+1 >= u.config.MaxConsecutiveFaults, "ejected although responsive")
		case Probe:
			require.False(t, before.probe.open, "second probe while one is open")
		}
	}
	if before.Leaving() {
		require.Zero(t, u.Weight())
	}
	if u.probe.open || u.phase == ejected || u.phase == recovering || u.phase == degraded {
		at, ok := u.Deadline()
		require.True(t, ok && !at.IsZero(), "no timer in phase %d", u.phase)
	}
}

// TestGroupLimitsEjections sends random events to the upstreams of a group. It
// checks that ejections never exceed the group's share, that none happens
// without a probe or while the upstream is known to respond, and that an
// upstream that is leaving gets no weight.
func TestGroupLimitsEjections(t *testing.T) {
	ejections := 0
	rapid.Check(t, func(t *rapid.T) {
		g := NewGroup(rapid.SampledFrom([]float64{0, 0.34, 0.5, 1}).Draw(t, "share"))
		upstreams := make([]*Upstream, rapid.IntRange(1, 6).Draw(t, "upstreams"))
		for i := range upstreams {
			upstreams[i] = NewUpstream(DefaultConfig(), g, uint64(i))
			checkStep(t, upstreams[i], start, Listed{})
			checkStep(t, upstreams[i], start, ProbeSucceeded{1})
		}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			u := rapid.SampledFrom(upstreams).Draw(t, "upstream")
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			before := g.Ejected()
			checkStep(t, u, now, drawEvent(t, u))
			ejections += max(g.Ejected()-before, 0)
			members, ejectedCount := 0, 0
			for _, u := range upstreams {
				if u.phase >= active && u.phase <= ejected {
					members++
				}
				if u.phase == ejected {
					ejectedCount++
				}
			}
			require.Equal(t, []int{members, ejectedCount}, []int{g.Members(), g.Ejected()})
		}
	})
	require.Greater(t, ejections, 100)
}
