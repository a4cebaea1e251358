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

func fingerprint(name string) Fingerprint { return FingerprintOf("m", name) }

func TestFingerprintSeparatesFields(t *testing.T) {
	require.Equal(t, FingerprintOf("m", "p", "1"), FingerprintOf("m", "p", "1"))
	require.NotEqual(t, FingerprintOf("m", "p", "1"), FingerprintOf("m", "p1"))
	require.NotEqual(t, FingerprintOf("mp", ""), FingerprintOf("m", "p"))
}

// fleet simulates replicas that run requests. The poison request crashes every replica it
// runs on; replica 0 also crashes independently.
type fleet struct {
	t        *rapid.T
	tracker  *Tracker
	now      time.Time
	running  map[Fingerprint]string
	harmless []Fingerprint
	// poisonedReplicas lists the replicas that the poison request crashed.
	poisonedReplicas []string
	// unrelatedCrashes counts the independent crashes of replica 0.
	unrelatedCrashes int
}

// New requests start on the first few replicas, so that they run concurrently; retries may
// go to any replica.
const (
	replicaCount  = 48
	firstReplicas = 5
)

var poison = fingerprint("poison")

// run places a request on a random replica that it need not avoid.
func (w *fleet) run(f Fingerprint, exclude ...string) {
	exclude = append(exclude, w.tracker.ReplicasToAvoid(f)...)
	var free []string
	for i := range replicaCount {
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
	w.tracker.SetPlacement(f, []string{id})
	if f == poison {
		w.poisonedReplicas = append(w.poisonedReplicas, id)
		w.crash(id)
	}
}

func (w *fleet) crash(id string) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "ms")) * time.Millisecond)
	var candidates []Fingerprint
	for _, f := range append(w.harmless, poison) {
		if w.running[f] == id {
			candidates = append(candidates, f)
			delete(w.running, f)
		}
	}
	for i, v := range w.tracker.RecordCrash(w.now, id, candidates...) {
		if v == Retry {
			w.run(candidates[i], id)
		}
	}
}

func (w *fleet) complete(f Fingerprint) {
	if _, ok := w.running[f]; ok {
		delete(w.running, f)
		w.tracker.RecordCompletion(w.now, f)
	}
}

// TestPoisonIsStoppedAndHarmlessRequestsAreNot runs a poison request that its client sends
// repeatedly, together with harmless requests and a replica that crashes independently. The
// poison request may crash at most two replicas. Once replica 0 has crashed independently,
// its crashes may not count as evidence and may leave the cause of one more crash
// undecided, so the bound is then three besides replica 0. No harmless request is ever
// blocked.
func TestPoisonIsStoppedAndHarmlessRequestsAreNot(t *testing.T) {
	blocked := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &fleet{t: t, tracker: NewTracker(retention), now: start, running: make(map[Fingerprint]string)}
		for i := range rapid.IntRange(5, 40).Draw(t, "operations") {
			switch rapid.IntRange(0, 7).Draw(t, "operation") {
			case 0:
				if !w.tracker.IsBlocked(w.now, poison) {
					w.run(poison)
				}
			case 1:
				w.unrelatedCrashes++
				w.crash("0")
			case 2:
				if len(w.harmless) > 0 {
					w.complete(rapid.SampledFrom(w.harmless).Draw(t, "done"))
				}
			default:
				f := fingerprint(fmt.Sprint(i))
				w.harmless = append(w.harmless, f)
				w.run(f)
			}
			for _, f := range w.harmless {
				require.False(t, w.tracker.IsBlocked(w.now, f), "harmless request blocked")
			}
			w.checkPoisonedReplicas()
			require.False(t, w.tracker.FailsIndependently(w.now, "1"))
		}
		if w.tracker.IsBlocked(w.now, poison) {
			blocked++
		}
	})
	require.Greater(t, blocked, 1000, "the poison request was rarely detected")
}

func (w *fleet) checkPoisonedReplicas() {
	if w.unrelatedCrashes == 0 {
		require.LessOrEqual(w.t, len(w.poisonedReplicas), stopReplicas)
		return
	}
	others := slices.DeleteFunc(slices.Clone(w.poisonedReplicas), func(id string) bool { return id == "0" })
	require.LessOrEqual(w.t, len(others), certainReplicas)
}

func TestTwoReplicasStopAndBlock(t *testing.T) {
	tr := NewTracker(retention)
	a, b := fingerprint("a"), fingerprint("b")
	require.Equal(t, []Decision{Retry, Retry}, tr.RecordCrash(start, "x", a, b))
	require.Equal(t, []Decision{Retry}, tr.RecordCrash(start.Add(time.Second), "x", a), "the same crash")
	require.Equal(t, []Decision{Retry}, tr.RecordCrash(start.Add(time.Minute), "x", a), "the same replica")
	require.Equal(t, []Decision{Stop}, tr.RecordCrash(start.Add(time.Minute), "y", a))
	require.True(t, tr.IsBlocked(start.Add(time.Minute), a))
	require.False(t, tr.IsBlocked(start.Add(time.Minute), b))
	require.Empty(t, tr.BlocksToShare(start.Add(time.Minute)), "not shared before the crash is complete")
	end := start.Add(time.Minute + retention)
	require.Equal(t, []Block{{Fingerprint: a, Expiry: end}}, tr.BlocksToShare(end.Add(-1)))
	require.True(t, tr.IsBlocked(end.Add(-1), a))
	require.False(t, tr.IsBlocked(end, a))
	require.Equal(t, []Decision{Retry}, tr.RecordCrash(end, "z", a), "expired crashes must not count")
}

// Two requests that were running during both crashes can't be distinguished: both are
// stopped and neither is blocked until one of them completes or a third replica crashes.
func TestSharedCrashesAreUndecided(t *testing.T) {
	tr := NewTracker(retention)
	a, b := fingerprint("a"), fingerprint("b")
	tr.RecordCrash(start, "x", a, b)
	require.Equal(t, []Decision{Stop, Stop}, tr.RecordCrash(start.Add(time.Second), "y", a, b))
	require.False(t, tr.IsBlocked(start.Add(time.Second), a))
	require.False(t, tr.IsBlocked(start.Add(time.Second), b))
	tr.RecordCrash(start.Add(time.Minute), "z", a, b)
	require.True(t, tr.IsBlocked(start.Add(time.Minute), a))
	require.True(t, tr.IsBlocked(start.Add(time.Minute), b))
	tr.RecordCompletion(start.Add(time.Minute), b)
	require.True(t, tr.IsBlocked(start.Add(time.Minute), a))
	require.False(t, tr.IsBlocked(start.Add(time.Minute), b))
}

// Copies of one request that crash many replicas at once must not pass for a common cause.
func TestConcurrentCopiesAreNoCommonCause(t *testing.T) {
	tr := NewTracker(retention)
	a := fingerprint("a")
	for i := range 2 * burstReplicas {
		tr.RecordCrash(start, fmt.Sprint(i), a, fingerprint(fmt.Sprint(i)))
	}
	require.True(t, tr.IsBlocked(start, a))
	require.False(t, tr.IsBlocked(start, fingerprint("0")))
}

func TestCandidatesRunOnDifferentReplicas(t *testing.T) {
	tr := NewTracker(retention)
	a, b := fingerprint("a"), fingerprint("b")
	tr.SetPlacement(a, []string{"x"})
	require.Empty(t, tr.ReplicasToAvoid(a))
	tr.RecordCrash(start, "x", a, b)
	tr.SetPlacement(a, []string{"y", "w"})
	require.Equal(t, []string{"w", "x", "y"}, tr.ReplicasToAvoid(b))
	require.Equal(t, []string{"x"}, tr.ReplicasToAvoid(a))
	tr.RecordCrash(start, "y", a)
	require.Equal(t, []string{"x"}, tr.ReplicasToAvoid(b), "a is not running any more")
}

// When many replicas crash together, the requests that they ran are no explanation. A third
// crash still stops a request.
func TestBurstBlocksNoRequest(t *testing.T) {
	tr := NewTracker(retention)
	for i := range burstReplicas {
		tr.RecordCrash(start, fmt.Sprintf("rack-%d", i), fingerprint(fmt.Sprint(i)))
	}
	a := fingerprint("a")
	require.Equal(t, []Decision{Retry}, tr.RecordCrash(start, "x", a))
	require.Equal(t, []Decision{Retry}, tr.RecordCrash(start.Add(time.Second), "y", a))
	require.False(t, tr.IsBlocked(start.Add(time.Second), a))
	require.Equal(t, []Decision{Stop}, tr.RecordCrash(start.Add(2*time.Second), "z", a))
	require.False(t, tr.IsBlocked(start.Add(2*time.Second), a))
	b, after := fingerprint("b"), start.Add(2*time.Second+burstWindow+1)
	tr.RecordCrash(after, "x", b)
	require.Equal(t, []Decision{Stop}, tr.RecordCrash(after, "y", b), "long after the others")
}

func TestReplicaThatFailsIndependently(t *testing.T) {
	tr := NewTracker(retention)
	now := start
	for i := range unrelatedCrashThreshold {
		require.False(t, tr.FailsIndependently(now, "x"))
		now = now.Add(time.Minute)
		tr.RecordCrash(now, "x", fingerprint(fmt.Sprint(i)))
	}
	require.True(t, tr.FailsIndependently(now, "x"))
	require.Equal(t, []Decision{Retry}, tr.RecordCrash(now, "y", fingerprint("0")))
	require.False(t, tr.FailsIndependently(now.Add(retention), "x"))
}

// A block from a peer lasts until its expiry, at most the retention period, and does not
// apply to a request that completed here.
func TestBlockOfPeer(t *testing.T) {
	tr := NewTracker(retention)
	a, b := fingerprint("a"), fingerprint("b")
	tr.AddPeerBlock(start, a, start)
	require.False(t, tr.IsBlocked(start, a))
	tr.AddPeerBlock(start, a, start.Add(24*time.Hour))
	tr.AddPeerBlock(start, a, start.Add(time.Second))
	tr.AddPeerBlock(start, b, start.Add(time.Minute))
	require.True(t, tr.IsBlocked(start.Add(retention-1), a))
	require.False(t, tr.IsBlocked(start.Add(retention), a))
	require.Equal(t, []Block{{a, start.Add(retention)}, {b, start.Add(time.Minute)}}, tr.BlocksToShare(start))
	require.Equal(t, []Decision{Stop}, tr.RecordCrash(start, "x", a))
	tr.RecordCompletion(start, a)
	tr.AddPeerBlock(start, a, start.Add(retention))
	require.False(t, tr.IsBlocked(start, a))
}

func TestMemoryIsBounded(t *testing.T) {
	tr := NewTracker(retention)
	for i := range 3 * maxBlocks {
		f := fingerprint(fmt.Sprint(i))
		tr.RecordCrash(start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i%(2*maxCrashes)), f)
		tr.AddPeerBlock(start, f, start.Add(retention))
		tr.RecordCompletion(start, f)
		tr.AddPeerBlock(start, fingerprint(fmt.Sprint("peer", i)), start.Add(retention))
		tr.RecordCrash(start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i%(2*maxCrashes)), f)
	}
	require.LessOrEqual(t, len(tr.crashes), maxCrashes)
	require.LessOrEqual(t, len(tr.candidates), maxCrashes*maxCandidates)
	require.LessOrEqual(t, len(tr.peerBlocks), maxBlocks)
	require.LessOrEqual(t, len(tr.cleared), maxBlocks)
	require.Len(t, tr.BlocksToShare(start), MaxShared)
	require.Empty(t, tr.BlocksToShare(start.Add(3*retention)))
	require.Empty(t, tr.crashes)
	require.Empty(t, tr.candidates)
	require.Empty(t, tr.peerBlocks)
}

// Two instances that each observed one crash identify the request together, as well as the
// candidates that their reports of one crash have in common.
func TestEvidenceOfAnotherInstanceCounts(t *testing.T) {
	here, there := NewTracker(retention), NewTracker(retention)
	a, b, c := fingerprint("a"), fingerprint("b"), fingerprint("c")
	here.RecordCrash(start, "x", a, b)
	there.RecordCrash(start.Add(time.Second), "x", c)
	there.Merge(start.Add(time.Second), here.DrainUpdates())
	here.Merge(start.Add(time.Second), there.DrainUpdates())
	require.Equal(t, []Decision{Stop}, there.RecordCrash(start.Add(time.Minute), "y", a))
	require.True(t, there.IsBlocked(start.Add(time.Minute), a))
	here.Merge(start.Add(time.Minute), there.DrainUpdates())
	require.True(t, here.IsBlocked(start.Add(time.Minute), a))
	require.Len(t, here.crashes, 2, "a crash that both observed counts once")
	require.False(t, here.IsBlocked(start.Add(time.Minute), b))
	require.False(t, here.IsBlocked(start.Add(time.Minute), c))

	there.RecordCompletion(start.Add(time.Minute), a)
	here.Merge(start.Add(time.Minute), there.DrainUpdates())
	require.False(t, here.IsBlocked(start.Add(time.Minute), a))
	require.True(t, here.DrainUpdates().Empty() || len(here.DrainUpdates().Clearances) == 0, "received evidence is not sent again")
}
