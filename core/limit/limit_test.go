package limit

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "200")
}

var start = time.Unix(1_800_000_000, 0)

// engine is a replica under full demand: it always holds as many sequences as the
// limiter allows. Its batch slows it by up to a quarter; beyond its slots, first
// steps wait. Reports lag by a second.
type engine struct {
	slots int
	// pace multiplies all times.
	pace float64
	// slows, reports, tells and refuses are which signs of congestion it gives:
	// slower first steps, load reports without slots, their slots, and refusals.
	slows   bool
	reports bool
	tells   bool
	refuses bool

	random  *rand.Rand
	now     time.Time
	lagging []int
}

// tick is the time between two observations of a run.
const tick = 50 * time.Millisecond

// outcome sums up a run: the mean part of the slots in use, and the mean number of
// sequences beyond the slots, relative to the slots.
type outcome struct{ used, beyond float64 }

func (e *engine) run(l *Limiter, ticks int) outcome {
	var o outcome
	for i := range ticks {
		held := l.Limit()
		e.now = e.now.Add(tick)
		e.observe(l, held)
		e.lagging = append(e.lagging, max(held-e.slots, 0))
		if i%20 == 19 && len(e.lagging) > 20 && (e.reports || e.tells) {
			slots := 0
			if e.tells {
				slots = e.slots
			}
			l.Report(e.now, e.lagging[len(e.lagging)-20], slots)
		}
		o.used += float64(min(held, e.slots)) / float64(e.slots) / float64(ticks)
		o.beyond += float64(max(held-e.slots, 0)) / float64(e.slots) / float64(ticks)
	}
	return o
}

func (e *engine) observe(l *Limiter, held int) {
	fill := min(float64(held)/float64(e.slots), 1)
	wait := 0.0
	if e.slows {
		wait = max(float64(held)/float64(e.slots)-1, 0)
	}
	noise := 0.8 + 0.4*e.random.Float64()
	step := e.pace * noise * (1 + 0.25*fill)
	l.Observe(e.now, Decode, held, time.Duration(step*20e6))
	// A first step beyond the slots waits for a sequence of some hundred steps.
	l.Observe(e.now, Prefill, held, time.Duration(step*(1+20*wait)*1e5))
	if e.refuses && held > e.slots {
		l.Refused(e.now)
	}
}

func newEngine(slots int, seed uint64) *engine {
	return &engine{slots: slots, pace: 1, now: start, random: rand.New(rand.NewPCG(seed, 0))}
}

// The limit never leaves 1 to the reported slots, whatever is reported and observed.
func TestLimitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		now, slots := start, 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				if s := rapid.IntRange(0, 40).Draw(t, "slots"); s > 0 {
					slots = s
				}
				l.Report(now, rapid.IntRange(0, 1).Draw(t, "waiting"), slots)
			case 1:
				l.Refused(now)
			default:
				d := time.Duration(rapid.IntRange(0, 50).Draw(t, "took")) * time.Millisecond
				l.Observe(now, Kind(rapid.IntRange(0, 1).Draw(t, "kind")), l.Limit(), d)
			}
			require.GreaterOrEqual(t, l.Limit(), lowest)
			if slots > 0 {
				require.LessOrEqual(t, l.Limit(), slots)
			}
		}
	})
}

// From each sign of congestion alone, the limit finds the slots, follows them when
// they change, and outlives a lasting change of pace.
func TestLimitFindsTheSlots(t *testing.T) {
	for name, sign := range map[string]func(*engine){
		"times":    func(e *engine) { e.slows = true },
		"waiting":  func(e *engine) { e.reports = true },
		"slots":    func(e *engine) { e.tells = true },
		"refusals": func(e *engine) { e.refuses = true },
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(24, 1)
			sign(e)
			l := New()
			e.run(l, 1000)
			requireFit(t, e.run(l, 2000))
			e.slots = 6
			e.run(l, 1000)
			requireFit(t, e.run(l, 2000))
			e.pace = 3
			e.run(l, 3000)
			requireFit(t, e.run(l, 2000))
		})
	}
}

func TestFirstReportSetsTheLimit(t *testing.T) {
	l := New()
	l.Report(start, 0, 40)
	require.Equal(t, 40, l.Limit())
}

// However many refusals one moment brings, they lower the limit once.
func TestRefusalsOfOneMomentCountOnce(t *testing.T) {
	l := New()
	l.Report(start, 0, 40)
	for range 100 {
		l.Refused(start.Add(windowTime))
	}
	require.Equal(t, int(40*aimdDecrease), l.Limit())
}

// Windows that become faster, if seldom, are no change of pace.
func TestSlowSpellEndsWhenStepsBecomeFaster(t *testing.T) {
	l := New()
	l.Report(start, 0, 100)
	now := start
	for _, slowdown := range []int{100, 500, 500, 500, 450, 450, 450, 400, 400} {
		for range windowSamples + 1 {
			now = now.Add(windowTime / windowSamples)
			l.Observe(now, Decode, 100, time.Duration(slowdown)*time.Millisecond)
		}
		l.Report(now, 0, 100)
	}
	require.Less(t, l.Limit(), 50)
}

func requireFit(t *testing.T, o outcome) {
	t.Helper()
	require.Greater(t, o.used, 0.8)
	require.Less(t, o.beyond, 0.5)
}

// When reports stop, the limit follows what else is observed.
func TestReportsThatStop(t *testing.T) {
	l := New()
	l.Report(start, 0, 0)
	for i := range 1000 {
		l.Observe(start.Add(time.Duration(i)*tick), Decode, l.Limit(), time.Millisecond)
	}
	require.Greater(t, l.Limit(), 2*initial)
}

// While steps wait, steady slow times are not taken for the replica's pace.
func TestWaitingIsNoChangeOfPace(t *testing.T) {
	l := New()
	l.Report(start, 0, 100)
	for i := range 400 {
		now := start.Add(time.Duration(i) * tick)
		took := 100 * time.Millisecond
		if i >= 20 {
			took *= 5
		}
		l.Observe(now, Decode, 100, took)
		if i > 0 && i%20 == 0 {
			l.Report(now, 1, 100)
		}
	}
	require.Less(t, l.Limit(), 20)
}

// Without demand the limit does not rise.
func TestUnusedLimitStays(t *testing.T) {
	l := New()
	for i := range 1000 {
		l.Observe(start.Add(time.Duration(i)*tick), Decode, 2, time.Millisecond)
	}
	require.Equal(t, initial, l.Limit())
}
