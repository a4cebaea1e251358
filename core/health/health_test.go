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

// scriptStep is one event of a script, sent at an offset from the start, and the
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

// join lists the upstream and answers its first probe at time 0.
func join(t *testing.T, u *Upstream) {
	t.Helper()
	runScript(t, u, []scriptStep{
		{0, Listed{}, []Effect{SetWeight{0}, probe(1)}},
		{0, ProbeAnswered{1}, []Effect{SetWeight{1}}},
	})
}

// groupOf returns a joined upstream in a group with more members.
func groupOf(t *testing.T, others int) *Upstream {
	t.Helper()
	g := NewGroup(0.5)
	for range others {
		join(t, NewUpstream(DefaultConfig(), g, 1))
	}
	u := NewUpstream(DefaultConfig(), g, 2)
	join(t, u)
	return u
}

const (
	second = time.Second
	minute = time.Minute
)

func TestScripts(t *testing.T) {
	scripts := map[string][]scriptStep{
		"an answered probe convicts the connection only": {
			{second, Silent{7}, []Effect{probe(2)}},
			{second, Silent{7}, nil},
			{second, Lost{8}, nil},
			{second, ProbeAnswered{1}, nil}, // a late answer to an older probe
			{second, ProbeAnswered{2}, []Effect{ReplaceConnection{7}, ReplaceConnection{8}}},
		},
		"a connection that moves on is kept": {
			{second, Silent{7}, []Effect{probe(2)}},
			{second, Progress{7}, nil},
			{second, ProbeAnswered{2}, nil},
		},
		"progress outweighs a failed probe": {
			{second, Silent{7}, []Effect{probe(2)}},
			{second + 1, Progress{9}, nil},
			{2 * second, ProbeFailed{2}, []Effect{ReplaceConnection{7}}},
		},
		"a failed probe ejects, and the way back is slow": {
			{second, Silent{7}, []Effect{probe(2)}},
			{2 * second, Tick{}, []Effect{FailAttempts{}, SetWeight{0}, Eject{}}},
			{3 * second, Tick{}, []Effect{probe(3)}},
			{3 * second, ProbeAnswered{3}, []Effect{SetWeight{0.1}}},
			{4 * second, Tick{}, nil},
			{5 * second, Tick{}, []Effect{SetWeight{0.25}}},
			{7 * second, Tick{}, []Effect{SetWeight{0.5}}},
			{9 * second, Tick{}, []Effect{SetWeight{1}}},
		},
		"faults in a row eject despite answered probes": {
			{second, Silent{1}, []Effect{probe(2)}},
			{second, ProbeAnswered{2}, []Effect{ReplaceConnection{1}}},
			{second, Silent{2}, []Effect{probe(3)}},
			{second, ProbeAnswered{3}, []Effect{ReplaceConnection{2}}},
			{second, Lost{3}, []Effect{probe(4)}},
			{second, ProbeAnswered{4}, []Effect{ReplaceConnection{3}}},
			{second, Lost{4}, []Effect{probe(5)}},
			{second, ProbeAnswered{5}, []Effect{FailAttempts{}, SetWeight{0}, Eject{}}},
			{2 * second, Tick{}, []Effect{probe(6)}},
			{2 * second, ProbeAnswered{6}, []Effect{SetWeight{0.1}}},
			{2 * second, Silent{5}, []Effect{probe(7)}},
			{2 * second, ProbeAnswered{7}, []Effect{ReplaceConnection{5}}},
		},
		"an ejected upstream that is unlisted goes": {
			{second, Silent{7}, []Effect{probe(2)}},
			{2 * second, ProbeFailed{2}, []Effect{FailAttempts{}, SetWeight{0}, Eject{}}},
			{2 * second, Unlisted{}, []Effect{Remove{}}},
		},
		"connections that fail together are one fault": {
			{second, Silent{1}, []Effect{probe(2)}},
			{second, Silent{2}, nil},
			{second, Lost{3}, nil},
			{second, Lost{4}, nil},
			{second, ProbeAnswered{2}, []Effect{
				ReplaceConnection{1}, ReplaceConnection{2}, ReplaceConnection{3}, ReplaceConnection{4},
			}},
		},
		"progress ends the row of faults": {
			{second, Silent{1}, []Effect{probe(2)}},
			{second, ProbeAnswered{2}, []Effect{ReplaceConnection{1}}},
			{second, Silent{2}, []Effect{probe(3)}},
			{second, ProbeAnswered{3}, []Effect{ReplaceConnection{2}}},
			{second, Silent{3}, []Effect{probe(4)}},
			{second, ProbeAnswered{4}, []Effect{ReplaceConnection{3}}},
			{second, Progress{5}, nil},
			{second, Silent{4}, []Effect{probe(5)}},
			{second, ProbeAnswered{5}, []Effect{ReplaceConnection{4}}},
		},
		"the upstream's own sign of leaving outlasts the list": {
			{second, Leaving{FromUpstream}, []Effect{SetWeight{0}, AnnounceLeaving{}}},
			{second, Listed{}, nil},
			{second, Leaving{FromPeer}, nil},
			{second, Leaving{FromUpstream}, nil},
			{second, Silent{7}, []Effect{probe(2)}},
			{second, ProbeAnswered{2}, []Effect{ReplaceConnection{7}}},
			{second, Silent{8}, []Effect{probe(3)}},
			{second, ProbeFailed{3}, []Effect{FailAttempts{}}},
			{minute, Tick{}, nil},
			{minute, Listed{}, nil},
			{minute, Unlisted{}, []Effect{Remove{}}},
			{minute, Listed{}, nil},
		},
		"a peer's word is enough": {
			{second, Leaving{FromPeer}, []Effect{SetWeight{0}}},
			{second, ProbeAnswered{1}, nil},
		},
		"the list's word is enough": {
			{second, Listed{Leaving: true}, []Effect{SetWeight{0}}},
			{second, Listed{}, nil},
		},
		"an unlisted upstream that answers stays for a while": {
			{second, Unlisted{}, []Effect{probe(2)}},
			{second, ProbeAnswered{2}, nil},
			{30 * second, Unlisted{}, nil},
			{31 * second, Tick{}, []Effect{SetWeight{0}, Remove{}}},
		},
		"an upstream listed again stays": {
			{second, Unlisted{}, []Effect{probe(2)}},
			{second, ProbeAnswered{2}, nil},
			{2 * second, Listed{}, nil},
			{31 * second, Tick{}, nil},
		},
		"an unlisted upstream that is silent goes": {
			{second, Unlisted{}, []Effect{probe(2)}},
			{2 * second, ProbeFailed{2}, []Effect{FailAttempts{}, SetWeight{0}, Remove{}}},
		},
	}
	for name, steps := range scripts {
		t.Run(name, func(t *testing.T) {
			runScript(t, groupOf(t, 3), steps)
		})
	}
}

// An upstream that never answered gets no work and is asked again later.
func TestNoWorkBeforeTheFirstAnswer(t *testing.T) {
	u := NewUpstream(DefaultConfig(), NewGroup(1), 1)
	runScript(t, u, []scriptStep{
		{0, Listed{}, []Effect{SetWeight{0}, probe(1)}},
		{second, ProbeFailed{1}, nil},
		{second, Listed{}, nil},
		{2 * second, Tick{}, []Effect{probe(2)}},
		{2 * second, ProbeAnswered{2}, []Effect{SetWeight{1}}},
	})
}

// With no ejection left in the group, an upstream that fails its probes keeps a
// low weight, and is asked again.
func TestHeldForTheGroup(t *testing.T) {
	u := groupOf(t, 0)
	runScript(t, u, []scriptStep{
		{second, Silent{7}, []Effect{probe(2)}},
		{2 * second, ProbeFailed{2}, []Effect{FailAttempts{}, SetWeight{0.1}}},
		{3 * second, Tick{}, []Effect{probe(3)}},
		{3 * second, ProbeAnswered{3}, nil},
		{5 * second, Tick{}, []Effect{SetWeight{0.25}}},
	})
}

// The time to the next probe doubles with each failure in a row up to its bound, is
// drawn from its upper half, and is short again after a good while.
func TestEjectionBackoff(t *testing.T) {
	u := groupOf(t, 3)
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
	require.Len(t, waits, 12, "without jitter, equal times recur")
	u.group.restore()
	u.useFully(now)
	now = now.Add(DefaultConfig().ForgetAfter)
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
		Silent{1},
		Silent{2},
		Silent{3},
		Lost{3},
		Lost{4},
		Lost{5},
		Tick{},
		Tick{},
		ProbeAnswered{n},
		ProbeAnswered{n},
		ProbeAnswered{n - 1},
		ProbeFailed{n},
		ProbeFailed{n},
		ProbeFailed{n},
		ProbeFailed{n - 1},
	}).Draw(t, "event")
}

// check sends an event and compares the effects with what happened before it.
func check(t *rapid.T, u *Upstream, now time.Time, e Event) {
	before := *u
	alive := u.lastProgress.After(u.probe.sentAt)
	if _, ok := e.(ProbeAnswered); ok {
		alive = true
	}
	for _, effect := range u.Step(now, e) {
		switch effect := effect.(type) {
		case SetWeight:
			require.False(t, before.Leaving() && effect.Weight > 0, "weight after a sign of leaving")
		case Eject:
			require.LessOrEqual(t, u.group.Ejected(), u.group.Allowed())
			require.True(t, before.probe.open && !u.probe.open, "ejection without a probe")
			require.True(t, !alive || before.faults+1 >= u.config.MaxFaults, "ejected though alive")
		case Probe:
			require.False(t, before.probe.open, "two probes at once")
		}
	}
	if before.Leaving() {
		require.Zero(t, u.Weight())
	}
	if u.probe.open || u.phase == ejected || u.phase == returning || u.phase == held {
		at, ok := u.Deadline()
		require.True(t, ok && !at.IsZero(), "no timer in phase %d", u.phase)
	}
}

// TestGroupKeepsItsShare sends random events to the upstreams of a group. It
// checks that no ejection exceeds the group's share, that none happens without a
// probe or against signs of life, and that no weight follows a sign of leaving.
func TestGroupKeepsItsShare(t *testing.T) {
	ejections := 0
	rapid.Check(t, func(t *rapid.T) {
		g := NewGroup(rapid.SampledFrom([]float64{0, 0.34, 0.5, 1}).Draw(t, "share"))
		upstreams := make([]*Upstream, rapid.IntRange(1, 6).Draw(t, "upstreams"))
		for i := range upstreams {
			upstreams[i] = NewUpstream(DefaultConfig(), g, uint64(i))
			check(t, upstreams[i], start, Listed{})
			check(t, upstreams[i], start, ProbeAnswered{1})
		}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			u := rapid.SampledFrom(upstreams).Draw(t, "upstream")
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			before := g.Ejected()
			check(t, u, now, drawEvent(t, u))
			ejections += max(g.Ejected()-before, 0)
			members, out := 0, 0
			for _, u := range upstreams {
				if u.phase >= inUse && u.phase <= ejected {
					members++
				}
				if u.phase == ejected {
					out++
				}
			}
			require.Equal(t, []int{members, out}, []int{g.Members(), g.Ejected()})
		}
	})
	require.Greater(t, ejections, 100)
}
