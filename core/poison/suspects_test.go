package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// prompt is a request with its own content and parts that it shares with others.
type prompt struct {
	content Fingerprint
	parts   []Fingerprint
}

func newPrompt(content string, parts ...string) prompt {
	p := prompt{content: fingerprint(content)}
	for _, part := range parts {
		p.parts = append(p.parts, FingerprintOfPart("service", part))
	}
	return p
}

func (p prompt) refused(l *Ledger, now time.Time) bool {
	return l.Admit(now, p.content, 1, p.parts...) != nil
}

// crashUnder reports that a process ended under requests.
func crashUnder(l *Ledger, now time.Time, r Process, prompts ...prompt) {
	for _, p := range prompts {
		run := lostRun(p.content, now, r)
		run.Parts = p.parts
		l.RecordLostRun(now, run)
	}
	l.RecordEnd(now, r)
}

// Different requests have one deadly part, and each crash also hits sound requests, which are sent
// again to the next replica that crashes. Only requests with the deadly part may be refused, wherever
// in the prompt it is, although those with the part that always comes with it crashed as often.
func TestDeadlyPartIsBlockedAndItsNeighborsAreNot(t *testing.T) {
	for _, deadly := range [][]string{{"shared", "dead"}, {"dead", "shared"}} {
		l := NewLedger(retention)
		for i := range 3 {
			crashUnder(l, start.Add(time.Duration(i)*100*time.Millisecond), process(fmt.Sprint(i), 1),
				newPrompt("sound", "other"), newPrompt("sound too", "shared"),
				newPrompt(fmt.Sprint("deadly", i), deadly...))
		}
		now := start.Add(time.Second)
		require.True(t, newPrompt("deadly4", deadly...).refused(l, now))
		require.False(t, newPrompt("sound", "other").refused(l, now))
		require.False(t, newPrompt("sound too", "shared").refused(l, now))
		require.True(t, l.MayRetry(fingerprint("sound"), 1, FingerprintOfPart("service", "shared")))
		require.False(t, l.MayRetry(fingerprint("deadly5"), 1, newPrompt("", deadly...).parts...))
	}
}

// While two parts always came together, a request with one of them must not be refused for what
// the other one may have done. One more crash tells them apart.
func TestPartsThatAlwaysCameTogetherAreRefusedTogether(t *testing.T) {
	l := NewLedger(retention)
	for i := range 3 {
		crashUnder(l, start, process(fmt.Sprint(i), 1), newPrompt(fmt.Sprint("deadly", i), "shared", "dead"))
	}
	require.True(t, newPrompt("a", "shared", "dead").refused(l, start))
	require.False(t, newPrompt("b", "shared").refused(l, start))
	require.False(t, newPrompt("c", "dead").refused(l, start))
	now := start.Add(time.Second)
	crashUnder(l, now, process("3", 1), newPrompt("c", "dead"))
	require.True(t, newPrompt("d", "dead").refused(l, now))
	require.True(t, newPrompt("e", "dead", "new").refused(l, now))
	require.False(t, newPrompt("b", "shared").refused(l, now))
}

// A request that is deadly by its own content must not block others with its parts.
func TestDeadlyContentDoesNotBlockItsParts(t *testing.T) {
	l := NewLedger(retention)
	for i := range 3 {
		crashUnder(l, start, process(fmt.Sprint(i), 1), newPrompt("deadly", "session"))
	}
	require.True(t, newPrompt("deadly", "session").refused(l, start))
	require.False(t, newPrompt("another", "session").refused(l, start))
}

// A success with a part, also a recent one, disproves that the part crashes each replica.
func TestSuccessClearsAPart(t *testing.T) {
	l := NewLedger(retention)
	part := FingerprintOfPart("service", "popular")
	l.RecordSuccess(start, fingerprint("sound"), part)
	for i := range 4 {
		crashUnder(l, start.Add(time.Second), process(fmt.Sprint(i), 1), newPrompt(fmt.Sprint(i), "popular"))
	}
	require.False(t, newPrompt("x", "popular").refused(l, start.Add(time.Second)))
}

// Instances receive the evidence in different orders. All must block the deadly part and none of the
// sound requests and parts that each crash hit as well.
func TestBlocksDoNotDependOnTheOrderOfEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewLedger(retention)
		for i := range 4 {
			hit := []prompt{newPrompt(fmt.Sprint("deadly", i), "shared", "dead")}
			for k := range rapid.IntRange(0, 4).Draw(t, "sound") {
				hit = append(hit, newPrompt(fmt.Sprint("sound", k), fmt.Sprint("part", k)))
			}
			crashUnder(source, start.Add(time.Duration(i)*50*time.Millisecond), process(fmt.Sprint(i), 1), hit...)
		}
		evidence := source.DrainUpdates()
		crashes := rapid.Permutation(evidence.Crashes).Draw(t, "order")
		l := NewLedger(retention)
		for _, c := range crashes {
			l.Merge(start.Add(time.Second), Evidence{Crashes: []Crash{c}})
			l.BlockedCount()
		}
		now := start.Add(time.Second)
		require.True(t, newPrompt("deadly9", "shared", "dead").refused(l, now))
		for k := range 4 {
			require.False(t, newPrompt(fmt.Sprint("sound", k), fmt.Sprint("part", k)).refused(l, now))
		}
	})
}

// Many requests with the deadly part ran on the first process that ended. Their crashes filled the
// part's history, and those of further processes were not counted.
func TestManyRunsOnOneProcessLeaveRoomForOthers(t *testing.T) {
	l := NewLedger(retention)
	for i := range 3 {
		var hit []prompt
		for k := range 40 {
			hit = append(hit, newPrompt(fmt.Sprint("deadly", i, k), "shared", "dead"))
		}
		crashUnder(l, start, process(fmt.Sprint(i), 1), hit...)
	}
	require.True(t, newPrompt("a", "shared", "dead").refused(l, start))
}

// Requests with a popular part were hit by each crash before one of them was complete, and as often as
// those with the deadly part. The popular part was taken for the cause, and the deadly one went on.
func TestPopularPartIsNotTakenForTheDeadlyOne(t *testing.T) {
	l := NewLedger(retention)
	popular := func(i, k int) prompt { return newPrompt(fmt.Sprint("sound", i, k), "popular") }
	for i := range 4 {
		crashUnder(l, start.Add(time.Duration(i)*300*time.Millisecond), process(fmt.Sprint(i), 1),
			popular(i, 0), popular(i, 1), newPrompt(fmt.Sprint("deadly", i%2), "shared", "dead"))
	}
	now := start.Add(2 * time.Second)
	require.True(t, newPrompt("deadly3", "shared", "dead").refused(l, now))
	l.RecordProgress(now, popular(0, 0).parts...)
	require.False(t, popular(9, 9).refused(l, now))
	require.True(t, newPrompt("deadly3", "shared", "dead").refused(l, now))
}
