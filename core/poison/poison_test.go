package poison

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "2000")
}

const retention = 10 * time.Minute

var start = time.Unix(1_800_000_000, 0)

func print(name string) Fingerprint { return FingerprintOf("m", name) }

func TestFingerprintFrames(t *testing.T) {
	require.Equal(t, FingerprintOf("m", "p", "1"), FingerprintOf("m", "p", "1"))
	require.NotEqual(t, FingerprintOf("m", "p", "1"), FingerprintOf("m", "p1"))
	require.NotEqual(t, FingerprintOf("mp", ""), FingerprintOf("m", "p"))
}

// fleet is a few replicas that run requests; the poison request crashes each
// replica that it reaches, and replica 0 also crashes by itself.
type fleet struct {
	t       *rapid.T
	tracker *Tracker
	now     time.Time
	running map[Fingerprint]string
	seen    []Fingerprint
	// poisoned are the replicas that the poison request crashed.
	poisoned []string
	// own counts the crashes of replica 0 by itself.
	own int
}

// Requests begin on the first few replicas, so that they meet, and are retried on
// all of them.
const (
	replicas      = 48
	firstReplicas = 5
)

var poison = print("poison")

// place runs a request on a replica drawn among those that it need not avoid.
func (w *fleet) place(f Fingerprint, exclude ...string) {
	exclude = append(exclude, w.tracker.Avoid(f)...)
	var free []string
	for i := range replicas {
		id := fmt.Sprint(i)
		if i >= firstReplicas && len(exclude) == 0 {
			break
		}
		if !slices.Contains(exclude, id) {
			free = append(free, id)
		}
	}
	id := rapid.SampledFrom(free).Draw(w.t, "replica")
	w.running[f] = id
	w.tracker.Place(f, []string{id})
	if f == poison {
		w.poisoned = append(w.poisoned, id)
		w.crash(id)
	}
}

func (w *fleet) crash(id string) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "ms")) * time.Millisecond)
	var suspects []Fingerprint
	for _, f := range append(w.seen, poison) {
		if w.running[f] == id {
			suspects = append(suspects, f)
			delete(w.running, f)
		}
	}
	for i, v := range w.tracker.Crash(w.now, id, suspects...) {
		if v == Retry {
			w.place(suspects[i], id)
		}
	}
}

func (w *fleet) complete(f Fingerprint) {
	if _, ok := w.running[f]; ok {
		delete(w.running, f)
		w.tracker.Completed(w.now, f)
	}
}

// TestPoisonIsStoppedAndInnocentsAreNot runs a poison request that its caller
// sends again and again, beside innocent ones and a replica that crashes by
// itself. The poison request crashes no more than two replicas. Once replica 0
// crashed by itself, its crashes may be worthless as evidence and leave doubt about
// one more; then the bound is three besides replica 0. No innocent request is ever
// blocked.
func TestPoisonIsStoppedAndInnocentsAreNot(t *testing.T) {
	blocked := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &fleet{t: t, tracker: NewTracker(retention), now: start, running: make(map[Fingerprint]string)}
		for i := range rapid.IntRange(5, 40).Draw(t, "operations") {
			switch rapid.IntRange(0, 7).Draw(t, "operation") {
			case 0:
				if !w.tracker.Blocked(w.now, poison) {
					w.place(poison)
				}
			case 1:
				w.own++
				w.crash("0")
			case 2:
				if len(w.seen) > 0 {
					w.complete(rapid.SampledFrom(w.seen).Draw(t, "done"))
				}
			default:
				f := print(fmt.Sprint(i))
				w.seen = append(w.seen, f)
				w.place(f)
			}
			for _, f := range w.seen {
				require.False(t, w.tracker.Blocked(w.now, f), "innocent request blocked")
			}
			w.checkPoisoned()
			require.False(t, w.tracker.FailsAlone(w.now, "1"))
		}
		if w.tracker.Blocked(w.now, poison) {
			blocked++
		}
	})
	require.Greater(t, blocked, 1000, "the poison request was hardly ever found")
}

func (w *fleet) checkPoisoned() {
	if w.own == 0 {
		require.LessOrEqual(w.t, len(w.poisoned), stopReplicas)
		return
	}
	others := slices.DeleteFunc(slices.Clone(w.poisoned), func(id string) bool { return id == "0" })
	require.LessOrEqual(w.t, len(others), certainReplicas)
}

func TestTwoReplicasStopAndBlock(t *testing.T) {
	tr := NewTracker(retention)
	a, b := print("a"), print("b")
	require.Equal(t, []Verdict{Retry, Retry}, tr.Crash(start, "x", a, b))
	require.Equal(t, []Verdict{Retry}, tr.Crash(start.Add(time.Second), "x", a), "the same crash")
	require.Equal(t, []Verdict{Retry}, tr.Crash(start.Add(time.Minute), "x", a), "the same replica")
	require.Equal(t, []Verdict{Stop}, tr.Crash(start.Add(time.Minute), "y", a))
	require.True(t, tr.Blocked(start.Add(time.Minute), a))
	require.False(t, tr.Blocked(start.Add(time.Minute), b))
	require.Empty(t, tr.Recent(start.Add(time.Minute)), "not shared before the crash is complete")
	end := start.Add(time.Minute + retention)
	require.Equal(t, []Block{{Fingerprint: a, Expiry: end}}, tr.Recent(end.Add(-1)))
	require.True(t, tr.Blocked(end.Add(-1), a))
	require.False(t, tr.Blocked(end, a))
	require.Equal(t, []Verdict{Retry}, tr.Crash(end, "z", a), "forgotten crashes must not count")
}

// Two requests that shared both crashes cannot be told apart: both stop, neither
// is blocked, until one of them completes or a third replica crashed.
func TestSharedCrashesLeaveDoubt(t *testing.T) {
	tr := NewTracker(retention)
	a, b := print("a"), print("b")
	tr.Crash(start, "x", a, b)
	require.Equal(t, []Verdict{Stop, Stop}, tr.Crash(start.Add(time.Second), "y", a, b))
	require.False(t, tr.Blocked(start.Add(time.Second), a))
	require.False(t, tr.Blocked(start.Add(time.Second), b))
	tr.Crash(start.Add(time.Minute), "z", a, b)
	require.True(t, tr.Blocked(start.Add(time.Minute), a))
	require.True(t, tr.Blocked(start.Add(time.Minute), b))
	tr.Completed(start.Add(time.Minute), b)
	require.True(t, tr.Blocked(start.Add(time.Minute), a))
	require.False(t, tr.Blocked(start.Add(time.Minute), b))
}

// Copies that crash many replicas at once are no common cause for one another.
func TestCopiesAtOnce(t *testing.T) {
	tr := NewTracker(retention)
	a := print("a")
	for i := range 2 * burstReplicas {
		tr.Crash(start, fmt.Sprint(i), a, print(fmt.Sprint(i)))
	}
	require.True(t, tr.Blocked(start, a))
	require.False(t, tr.Blocked(start, print("0")))
}

func TestSuspectsRunApart(t *testing.T) {
	tr := NewTracker(retention)
	a, b := print("a"), print("b")
	tr.Place(a, []string{"x"})
	require.Empty(t, tr.Avoid(a))
	tr.Crash(start, "x", a, b)
	tr.Place(a, []string{"y", "w"})
	require.Equal(t, []string{"w", "x", "y"}, tr.Avoid(b))
	require.Equal(t, []string{"x"}, tr.Avoid(a))
	tr.Crash(start, "y", a)
	require.Equal(t, []string{"x"}, tr.Avoid(b), "a runs no more")
}

// When many replicas crash together, what they ran is no explanation, and a third
// crash stops a request all the same.
func TestBurstMarksNobody(t *testing.T) {
	tr := NewTracker(retention)
	for i := range burstReplicas {
		tr.Crash(start, fmt.Sprintf("rack-%d", i), print(fmt.Sprint(i)))
	}
	a := print("a")
	require.Equal(t, []Verdict{Retry}, tr.Crash(start, "x", a))
	require.Equal(t, []Verdict{Retry}, tr.Crash(start.Add(time.Second), "y", a))
	require.False(t, tr.Blocked(start.Add(time.Second), a))
	require.Equal(t, []Verdict{Stop}, tr.Crash(start.Add(2*time.Second), "z", a))
	require.False(t, tr.Blocked(start.Add(2*time.Second), a))
	b, after := print("b"), start.Add(2*time.Second+burstWindow+1)
	tr.Crash(after, "x", b)
	require.Equal(t, []Verdict{Stop}, tr.Crash(after, "y", b), "long after the others")
}

func TestReplicaThatFailsAlone(t *testing.T) {
	tr := NewTracker(retention)
	now := start
	for i := range ownCrashes {
		require.False(t, tr.FailsAlone(now, "x"))
		now = now.Add(time.Minute)
		tr.Crash(now, "x", print(fmt.Sprint(i)))
	}
	require.True(t, tr.FailsAlone(now, "x"))
	require.Equal(t, []Verdict{Retry}, tr.Crash(now, "y", print("0")))
	require.False(t, tr.FailsAlone(now.Add(retention), "x"))
}

// A peer's block holds for its time, at most the own retention period, and not
// against a request that completed here.
func TestLearn(t *testing.T) {
	tr := NewTracker(retention)
	a, b := print("a"), print("b")
	tr.Learn(start, a, start)
	require.False(t, tr.Blocked(start, a))
	tr.Learn(start, a, start.Add(24*time.Hour))
	tr.Learn(start, a, start.Add(time.Second))
	tr.Learn(start, b, start.Add(time.Minute))
	require.True(t, tr.Blocked(start.Add(retention-1), a))
	require.False(t, tr.Blocked(start.Add(retention), a))
	require.Equal(t, []Block{{a, start.Add(retention)}, {b, start.Add(time.Minute)}}, tr.Recent(start))
	require.Equal(t, []Verdict{Stop}, tr.Crash(start, "x", a))
	tr.Completed(start, a)
	tr.Learn(start, a, start.Add(retention))
	require.False(t, tr.Blocked(start, a))
}

func TestMemoryIsBounded(t *testing.T) {
	tr := NewTracker(retention)
	for i := range 3 * maxBlocks {
		f := print(fmt.Sprint(i))
		tr.Crash(start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i%(2*maxCrashes)), f)
		tr.Learn(start, f, start.Add(retention))
		tr.Completed(start, f)
		tr.Learn(start, print(fmt.Sprint("told", i)), start.Add(retention))
		tr.Crash(start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i%(2*maxCrashes)), f)
	}
	require.LessOrEqual(t, len(tr.crashes), maxCrashes)
	require.LessOrEqual(t, len(tr.suspects), maxCrashes*maxSuspects)
	require.LessOrEqual(t, len(tr.told), maxBlocks)
	require.LessOrEqual(t, len(tr.cleared), maxBlocks)
	require.Len(t, tr.Recent(start), MaxShared)
	require.Empty(t, tr.Recent(start.Add(3*retention)))
	require.Empty(t, tr.crashes)
	require.Empty(t, tr.suspects)
	require.Empty(t, tr.told)
}

// Two instances that each saw one crash know together that the request is to blame, and
// which suspects of a crash they have in common.
func TestEvidenceOfAnotherInstanceCounts(t *testing.T) {
	here, there := NewTracker(retention), NewTracker(retention)
	a, b, c := print("a"), print("b"), print("c")
	here.Crash(start, "x", a, b)
	there.Crash(start.Add(time.Second), "x", c)
	there.LearnEvidence(start.Add(time.Second), here.News())
	here.LearnEvidence(start.Add(time.Second), there.News())
	require.Equal(t, []Verdict{Stop}, there.Crash(start.Add(time.Minute), "y", a))
	require.True(t, there.Blocked(start.Add(time.Minute), a))
	here.LearnEvidence(start.Add(time.Minute), there.News())
	require.True(t, here.Blocked(start.Add(time.Minute), a))
	require.Len(t, here.crashes, 2, "one crash seen by both is one")
	require.False(t, here.Blocked(start.Add(time.Minute), b))
	require.False(t, here.Blocked(start.Add(time.Minute), c))

	there.Completed(start.Add(time.Minute), a)
	here.LearnEvidence(start.Add(time.Minute), there.News())
	require.False(t, here.Blocked(start.Add(time.Minute), a))
	require.True(t, here.News().Empty() || len(here.News().Clears) == 0, "what was learnt is not told again")
}
