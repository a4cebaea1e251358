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
	slows, reports, tells, refuses bool

	random  *rand.Rand
	now     time.Time
	waiting []int
}

const (
	// tick is the time between two observations of a run.
	tick = 50 * time.Millisecond
	// reportTicks is the time between two reports, and their lag.
	reportTicks = 20
)

// outcome sums up a run: the mean part of the slots in use, and the mean number of
// sequences beyond the slots, relative to the slots.
type outcome struct{ used, beyond float64 }

func newEngine(slots int, seed uint64, sign func(*engine)) *engine {
	e := &engine{slots: slots, pace: 1, now: start, random: rand.New(rand.NewPCG(seed, 0))}
	sign(e)
	return e
}

func (e *engine) run(l *Limiter, ticks int) outcome {
	var o outcome
	for i := range ticks {
		held := l.Limit()
		e.now = e.now.Add(tick)
		e.observe(l, held)
		e.waiting = append(e.waiting, max(held-e.slots, 0))
		if i%reportTicks == 0 && len(e.waiting) > reportTicks && (e.reports || e.tells) {
			slots := 0
			if e.tells {
				slots = e.slots
			}
			l.Report(e.now, min(held, e.slots), e.waiting[len(e.waiting)-reportTicks], slots)
		}
		o.used += min(float64(held)/float64(e.slots), 1) / float64(ticks)
		o.beyond += max(float64(held)/float64(e.slots)-1, 0) / float64(ticks)
	}
	return o
}

func (e *engine) observe(l *Limiter, held int) {
	fill := float64(held) / float64(e.slots)
	step := e.pace * (0.8 + 0.4*e.random.Float64()) * (1 + 0.25*min(fill, 1))
	l.Observe(e.now, Decode, held, time.Duration(step*20e6))
	if e.slows {
		// A first step beyond the slots waits for a sequence of some hundred steps.
		step *= 1 + 20*max(fill-1, 0)
	}
	l.Observe(e.now, Prefill, held, time.Duration(step*1e5))
	if e.refuses && held > e.slots {
		l.Refused(e.now)
	}
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
			e := newEngine(24, 1, sign)
			l := New()
			for _, change := range []func(){func() {}, func() { e.slots = 6 }, func() { e.pace = 3 }} {
				change()
				e.run(l, 2000)
				o := e.run(l, 2000)
				require.Greater(t, o.used, 0.8)
				require.Less(t, o.beyond, 0.5)
			}
		})
	}
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
				slots = max(slots, rapid.IntRange(0, 40).Draw(t, "slots"))
				l.Report(now, rapid.IntRange(0, 10).Draw(t, "running"), rapid.IntRange(0, 1).Draw(t, "waiting"), slots)
			case 1:
				l.Refused(now)
			default:
				d := time.Duration(rapid.IntRange(0, 50).Draw(t, "took")) * time.Millisecond
				l.Observe(now, Kind(rapid.IntRange(0, 1).Draw(t, "kind")), l.Limit(), d)
			}
			require.GreaterOrEqual(t, l.Limit(), lowest)
			require.True(t, slots == 0 || l.Limit() <= slots)
		}
	})
}

// However many refusals one moment brings, they lower the first report's limit once.
func TestRefusalsOfOneMomentCountOnce(t *testing.T) {
	l := New()
	l.Report(start, 0, 0, 40)
	require.Equal(t, 40, l.Limit())
	for range 100 {
		l.Refused(start.Add(windowTime))
	}
	require.Equal(t, int(40*aimdDecrease), l.Limit())
}

// feed observes windows of steps with the given times in milliseconds, each ended
// by a report without slots, from a limit of 100.
func feed(l *Limiter, waiting int, windows ...int) {
	now := start
	l.limit = 100
	l.Report(now, 0, 0, 0)
	for _, took := range windows {
		for range windowSamples + 1 {
			now = now.Add(windowTime / windowSamples)
			l.Observe(now, Decode, 100, time.Duration(took)*time.Millisecond)
		}
		l.Report(now, 50, waiting, 0)
	}
}

// Slow windows are no change of pace when they become faster, if seldom, or while
// steps wait.
func TestSlowSpells(t *testing.T) {
	faster, waiting := New(), New()
	feed(faster, 0, 100, 500, 500, 500, 450, 450, 450, 400, 400)
	require.Less(t, faster.Limit(), 50)
	feed(waiting, 1, 100, 500, 500, 500, 500, 500, 500, 500, 500)
	require.Less(t, waiting.Limit(), 50)
}

// The limit rises without reports once these stop, and only while it is used.
func TestLimitRises(t *testing.T) {
	used, unused := New(), New()
	used.Report(start, 0, 0, 0)
	for i := range 1000 {
		now := start.Add(time.Duration(i) * tick)
		used.Observe(now, Decode, used.Limit(), time.Millisecond)
		unused.Observe(now, Decode, 2, time.Millisecond)
	}
	require.Greater(t, used.Limit(), 2*initial)
	require.Equal(t, initial, unused.Limit())
}

// TestTimesDoNotCountBesideKnownSlots slows steps of a replica that reports its
// slots tenfold.
func TestTimesDoNotCountBesideKnownSlots(t *testing.T) {
	l := New()
	for i := range 200 {
		now := start.Add(time.Duration(i) * windowTime / windowSamples)
		took := 20 * time.Millisecond
		if i > 50 {
			took *= 10
		}
		l.Observe(now, Prefill, 8, took)
		l.Report(now, 8, 0, 8)
	}
	require.Equal(t, 8, l.Limit())
}

// TestWaitingWhileFullKeepsTheLimit reports steps that wait although every slot
// is held, as when several instances dispatch to one replica at once.
func TestWaitingWhileFullKeepsTheLimit(t *testing.T) {
	l := New()
	for i := range 100 {
		now := start.Add(time.Duration(i) * windowTime)
		l.Report(now, 8, 3, 8)
		l.Observe(now, Decode, 8, 20*time.Millisecond)
	}
	require.Equal(t, 8, l.Limit())
}
