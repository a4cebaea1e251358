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
// limiter allows. Its batch slows steps down by up to a quarter; the prefill of
// sequences in excess of its slots waits. Reports lag by one second.
type engine struct {
	slots int
	// stepTimeRatio multiplies all times.
	stepTimeRatio float64
	// slowsPrefill, reportsWaiting, reportsSlots and refuses select the signals of
	// congestion that the engine gives: slower prefills, load reports without slots,
	// load reports with slots, and refusals.
	slowsPrefill, reportsWaiting, reportsSlots, refuses bool

	random  *rand.Rand
	now     time.Time
	waiting []int
}

const (
	// tick is the time between two observations.
	tick = 50 * time.Millisecond
	// reportTicks is the number of ticks between two reports, and their lag.
	reportTicks = 20
)

// outcome summarizes a run: the mean fraction of the slots in use, and the mean number
// of sequences in excess of the slots, relative to the slots.
type outcome struct{ used, excess float64 }

func newEngine(slots int, seed uint64, signal func(*engine)) *engine {
	e := &engine{slots: slots, stepTimeRatio: 1, now: start, random: rand.New(rand.NewPCG(seed, 0))}
	signal(e)
	return e
}

func (e *engine) run(l *Limiter, ticks int) outcome {
	var o outcome
	for i := range ticks {
		held := l.Limit()
		e.now = e.now.Add(tick)
		e.observe(l, held)
		e.waiting = append(e.waiting, max(held-e.slots, 0))
		if i%reportTicks == 0 && len(e.waiting) > reportTicks && (e.reportsWaiting || e.reportsSlots) {
			slots := 0
			if e.reportsSlots {
				slots = e.slots
			}
			l.Report(e.now, min(held, e.slots), e.waiting[len(e.waiting)-reportTicks], slots)
		}
		o.used += min(float64(held)/float64(e.slots), 1) / float64(ticks)
		o.excess += max(float64(held)/float64(e.slots)-1, 0) / float64(ticks)
	}
	return o
}

func (e *engine) observe(l *Limiter, held int) {
	fill := float64(held) / float64(e.slots)
	step := e.stepTimeRatio * (0.8 + 0.4*e.random.Float64()) * (1 + 0.25*min(fill, 1))
	l.Observe(e.now, Decode, held, time.Duration(step*20e6))
	if e.slowsPrefill {
		// The prefill of an excess sequence waits until another sequence, of a few
		// hundred steps, ends.
		step *= 1 + 20*max(fill-1, 0)
	}
	l.Observe(e.now, Prefill, held, time.Duration(step*1e5))
	if e.refuses && held > e.slots {
		l.Refused(e.now)
	}
}

// With any single signal of congestion, the limit converges to the slots, follows them
// when they change, and recovers from a lasting change of the step time.
func TestLimitConvergesToSlots(t *testing.T) {
	for name, signal := range map[string]func(*engine){
		"times":    func(e *engine) { e.slowsPrefill = true },
		"waiting":  func(e *engine) { e.reportsWaiting = true },
		"slots":    func(e *engine) { e.reportsSlots = true },
		"refusals": func(e *engine) { e.refuses = true },
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(24, 1, signal)
			l := New()
			for _, change := range []func(){func() {}, func() { e.slots = 6 }, func() { e.stepTimeRatio = 3 }} {
				change()
				e.run(l, 2000)
				o := e.run(l, 2000)
				require.Greater(t, o.used, 0.8)
				require.Less(t, o.excess, 0.5)
			}
		})
	}
}

// The limit stays between 1 and the reported slots for any reports and observations.
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
			require.GreaterOrEqual(t, l.Limit(), minLimit)
			require.True(t, slots == 0 || l.Limit() <= slots)
		}
	})
}

// Any number of simultaneous refusals lowers the limit only once.
func TestSimultaneousRefusalsCountOnce(t *testing.T) {
	l := New()
	l.Report(start, 0, 0, 40)
	require.Equal(t, 40, l.Limit())
	for range 100 {
		l.Refused(start.Add(windowTime))
	}
	require.Equal(t, int(40*aimdDecrease), l.Limit())
}

// observeWindows feeds windows of steps with the given times in milliseconds, each
// ended by a report without slots, starting from a limit of 100.
func observeWindows(l *Limiter, waiting int, windows ...int) {
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

// Slow windows do not change the baseline if steps become faster, even rarely, or if
// steps wait.
func TestSlowPeriods(t *testing.T) {
	faster, waiting := New(), New()
	observeWindows(faster, 0, 100, 500, 500, 500, 450, 450, 450, 400, 400)
	require.Less(t, faster.Limit(), 50)
	observeWindows(waiting, 1, 100, 500, 500, 500, 500, 500, 500, 500, 500)
	require.Less(t, waiting.Limit(), 50)
}

// The limit increases without reports once these stop, and only while it is used.
func TestLimitRises(t *testing.T) {
	used, unused := New(), New()
	used.Report(start, 0, 0, 0)
	for i := range 1000 {
		now := start.Add(time.Duration(i) * tick)
		used.Observe(now, Decode, used.Limit(), time.Millisecond)
		unused.Observe(now, Decode, 2, time.Millisecond)
	}
	require.Greater(t, used.Limit(), 2*initialLimit)
	require.Equal(t, initialLimit, unused.Limit())
}

// TestTimesAreIgnoredIfSlotsAreKnown makes the steps of a replica that reports its
// slots ten times slower.
func TestTimesAreIgnoredIfSlotsAreKnown(t *testing.T) {
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

// TestWaitingWhileAllSlotsHeldKeepsLimit reports waiting steps while every slot is
// held, as when several instances dispatch to one replica at the same time.
func TestWaitingWhileAllSlotsHeldKeepsLimit(t *testing.T) {
	l := New()
	for i := range 100 {
		now := start.Add(time.Duration(i) * windowTime)
		l.Report(now, 8, 3, 8)
		l.Observe(now, Decode, 8, 20*time.Millisecond)
	}
	require.Equal(t, 8, l.Limit())
}
