package membership

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

var start = time.Unix(1_000_000, 0)

// timedEvent is one event of a history.
type timedEvent struct {
	at    time.Time
	event Event
}

// referenceLive computes the live instances from the whole history, directly by the documented
// rules and without incremental state.
func referenceLive(history []timedEvent, self string, now time.Time, timeout time.Duration) []string {
	live := []string{self}
	for _, id := range []string{"a", "b", "c"} {
		if referenceHoldsWork(history, id, now, timeout) {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

func referenceHoldsWork(history []timedEvent, id string, now time.Time, timeout time.Duration) bool {
	var incarnation uint64
	var lastContact, listedSince time.Time
	reported := NeverContacted
	listed, leaving := false, false
	for _, h := range history {
		unresponsive := lastContact.IsZero() || h.at.Sub(lastContact) >= timeout
		if unresponsive && !listed {
			incarnation, lastContact, reported = 0, time.Time{}, NeverContacted
		}
		switch e := h.event.(type) {
		case Listed:
			known := listed || !lastContact.IsZero()
			at := slices.IndexFunc(e.Instances, func(l ListedInstance) bool { return l.ID == id })
			listed = at >= 0
			leaving = listed && e.Instances[at].Leaving
			if listed && !known {
				listedSince = h.at
			}
			if !listed && unresponsive {
				incarnation, lastContact, reported = 0, time.Time{}, NeverContacted
			}
		case Received:
			if e.ID != id || e.Incarnation < incarnation {
				continue
			}
			if e.Incarnation > incarnation {
				reported = NeverContacted
			}
			incarnation, lastContact, reported = e.Incarnation, h.at, max(reported, e.State)
		}
	}
	if lastContact.IsZero() {
		return listed && !leaving && now.Sub(listedSince) < timeout
	}
	return now.Sub(lastContact) < timeout && (reported >= Ready || leaving)
}

func drawEvent(t *rapid.T) Event {
	ids := []string{"a", "b", "c"}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		var list Listed
		for _, id := range ids {
			if rapid.Bool().Draw(t, "listed") {
				list.Instances = append(list.Instances, ListedInstance{ID: id, Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0})
			}
		}
		return list
	case 1:
		return Tick{}
	default:
		return Received{
			ID:          rapid.SampledFrom(ids).Draw(t, "id"),
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			State:       State(rapid.IntRange(int(Joining), int(Leaving)).Draw(t, "state")),
		}
	}
}

func TestLiveMatchesWholeHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := New(Config{Self: "self"})
		var history []timedEvent
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			event := drawEvent(t)
			history = append(history, timedEvent{now, event})
			members.Step(now, event)
			want := referenceLive(history, "self", now, members.Timeout())
			if got := members.Live(now); !slices.Equal(got, want) {
				t.Fatalf("live %v, computed from the whole history %v", got, want)
			}
		}
	})
}

func message(id string, incarnation uint64, state State) Received {
	return Received{ID: id, Incarnation: incarnation, State: state}
}

func TestKilledInstanceIsGoneAfterMissedHeartbeats(t *testing.T) {
	members := New(Config{Self: "self"})
	list := Listed{Instances: []ListedInstance{{ID: "a"}, {ID: "self"}}}
	members.Step(start, list)
	members.Step(start, message("a", 1, Ready))
	last := start.Add(time.Minute)
	members.Step(last, message("a", 1, Ready))
	timeout := last.Add(DefaultMissedHeartbeats * DefaultHeartbeatInterval)
	require.Less(t, timeout.Sub(last), 5*time.Second, "slots of a killed instance are used by others in under 5 s")
	require.Empty(t, members.Step(timeout.Add(-1), list))
	require.Equal(t, []string{"a", "self"}, members.Live(timeout.Add(-1)))
	require.Equal(t, []StateChange{{ID: "a", Incarnation: 1, From: Ready, To: Failed}}, members.Step(timeout, list))
	require.Equal(t, []string{"self"}, members.Live(timeout))
	require.Len(t, members.Candidates(), 1, "still listed, so still a candidate for a session")
	require.Equal(t, []StateChange{{ID: "a", Incarnation: 1, From: Failed, To: Ready}}, members.Step(timeout, message("a", 1, Ready)))
}

func TestLeavingIsAppliedAtOnceAndNotReverted(t *testing.T) {
	members := New(Config{Self: "self"})
	members.Step(start, Listed{Instances: []ListedInstance{{ID: "a"}}})
	members.Step(start, message("a", 5, Ready))
	require.Equal(t, []StateChange{{ID: "a", Incarnation: 5, From: Ready, To: Leaving}}, members.Step(start, message("a", 5, Leaving)))
	require.Len(t, members.Candidates(), 1, "holds slots until its work ends")
	require.Equal(t, []string{"a", "self"}, members.Live(start))
	require.Empty(t, members.Step(start, message("a", 5, Ready)), "an earlier state that arrives late is ignored")
	require.Empty(t, members.Step(start, message("a", 4, Ready)), "earlier incarnation")
	require.Equal(t, []StateChange{{ID: "a", Incarnation: 6, From: Leaving, To: Joining}}, members.Step(start, message("a", 6, Joining)))
	require.Equal(t, []string{"self"}, members.Live(start), "a joining instance accepts no work")
}

func TestReplacedInstanceIsReportedInSameState(t *testing.T) {
	members := New(Config{Self: "self"})
	members.Step(start, message("a", 1, Ready))
	require.Equal(t, []StateChange{{ID: "a", Incarnation: 2, From: Ready, To: Ready}}, members.Step(start, message("a", 2, Ready)))
	require.Equal(t, []StateChange{{ID: "self", From: Joining, To: Ready}}, members.Step(start, SelfChanged{State: Ready}))
}
