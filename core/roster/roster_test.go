package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/roster"
)

var start = time.Unix(1000, 0)

const heartbeat = 1200 * time.Millisecond

func entry(id string, sequence int64) roster.Entry {
	return roster.Entry{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "a", StartTime: 100, Sequence: sequence}
}

func usable(r *roster.Roster) []string {
	var ids []string
	for _, e := range r.Available("s") {
		ids = append(ids, e.ID)
	}
	return ids
}

func TestLeavingReplicasGetNoNewWork(t *testing.T) {
	r := roster.New(heartbeat)
	require.Equal(t, roster.Joined, r.Put(entry("a", 1)))
	e := entry("a", 2)
	e.State = roster.Draining
	require.Equal(t, roster.Left, r.Put(e))
	require.Empty(t, usable(r))
	require.Equal(t, roster.Unchanged, r.Put(entry("a", 3)), "a leaving replica accepts no work until it restarts")
	require.Empty(t, usable(r))
	again := entry("a", 1)
	again.StartTime = 200
	require.Equal(t, roster.Joined, r.Put(again))
	require.Equal(t, []string{"a"}, usable(r))
}

func TestOlderEntriesAreIgnored(t *testing.T) {
	r := roster.New(heartbeat)
	e := entry("a", 5)
	e.Layers = &roster.Layers{From: 0, To: 4}
	r.Put(e)
	require.Equal(t, roster.Unchanged, r.Put(entry("a", 4)))
	old := entry("a", 9)
	old.StartTime = 50
	require.Equal(t, roster.Unchanged, r.Put(old))
	got, _, _ := r.Get("a")
	require.NotNil(t, got.Layers)
}

func TestHeartbeatsAloneChangeNothing(t *testing.T) {
	r := roster.New(heartbeat)
	r.Put(entry("a", 1))
	require.Equal(t, roster.Unchanged, r.Put(entry("a", 2)))
}

func TestLayersAreAnUpdate(t *testing.T) {
	r := roster.New(heartbeat)
	r.Put(entry("a", 1))
	e := entry("a", 2)
	e.Layers = &roster.Layers{From: 0, To: 4}
	require.Equal(t, roster.Updated, r.Put(e))
}

func TestRemovalIsLeaving(t *testing.T) {
	r := roster.New(heartbeat)
	r.Put(entry("a", 1))
	require.Equal(t, roster.Left, r.Remove(start, "a"))
	require.Empty(t, usable(r))
	require.Equal(t, roster.Unchanged, r.Remove(start, "a"))
}

func TestEntriesExpiredInAnOutageMayBeRestored(t *testing.T) {
	r := roster.New(heartbeat)
	r.Put(entry("a", 1))
	r.Put(entry("b", 1))
	r.SetStoreUnavailable()
	r.SetStoreAvailable(start)
	require.Equal(t, roster.Expired, r.Remove(start.Add(time.Second), "a"))
	require.Equal(t, roster.Expired, r.Remove(start.Add(time.Second), "b"))
	require.Equal(t, []string{"a", "b"}, usable(r))
	require.Equal(t, roster.Updated, r.Put(entry("a", 2)))
	require.Empty(t, r.Expire(start.Add(2*time.Second)))
	require.Equal(t, []string{"b"}, r.Expire(start.Add(3*time.Second)))
	require.Equal(t, []string{"a"}, usable(r))
}

func TestLeavingInAnOutageIsFinal(t *testing.T) {
	r := roster.New(heartbeat)
	e := entry("a", 1)
	e.State = roster.Draining
	r.Put(e)
	r.SetStoreUnavailable()
	require.Equal(t, roster.Left, r.Remove(start, "a"))
	require.Zero(t, r.Len())
}

func TestFullListRemovesMissingEntries(t *testing.T) {
	r := roster.New(heartbeat)
	r.Put(entry("a", 1))
	r.Put(entry("b", 1))
	changes, _ := r.Replace(start, []roster.Entry{entry("b", 2), entry("c", 1)}, nil)
	require.Equal(t, map[string]roster.Change{"a": roster.Left, "c": roster.Joined}, changes)
	require.Equal(t, []string{"b", "c"}, usable(r))
}

func TestLeaveReportedByPeer(t *testing.T) {
	r := roster.New(heartbeat)
	r.Put(entry("a", 1))
	require.False(t, r.MarkLeaving(roster.Process{ID: "a", StartTime: 99}), "another process of the replica")
	require.True(t, r.MarkLeaving(roster.Process{ID: "a", StartTime: 100}))
	require.False(t, r.MarkLeaving(roster.Process{ID: "a", StartTime: 100}))
	require.Empty(t, usable(r))
}

// The entry of a leaving replica is removed, with and without an outage of the store, and
// an outdated entry is then listed again.
func TestOutdatedEntryDoesNotRestoreALeavingProcess(t *testing.T) {
	for _, unavailable := range []bool{false, true} {
		r := roster.New(heartbeat)
		r.Put(entry("a", 5))
		r.MarkLeaving(roster.Process{ID: "a", StartTime: 100})
		if unavailable {
			r.SetStoreUnavailable()
		}
		r.Remove(start, "a")
		r.SetStoreAvailable(start)
		require.Equal(t, roster.Left, r.Put(entry("a", 6)))
		require.Empty(t, usable(r))
		r.Replace(start, []roster.Entry{entry("a", 7)}, nil)
		require.Empty(t, usable(r))
		again := entry("a", 1)
		again.StartTime = 101
		require.Equal(t, roster.Joined, r.Put(again))
		require.Equal(t, []string{"a"}, usable(r))
	}
}

// On an instance that has just started, a peer's report may arrive before the entry.
func TestLeavingIsKnownBeforeTheEntry(t *testing.T) {
	r := roster.New(heartbeat)
	require.False(t, r.MarkLeaving(roster.Process{ID: "a", StartTime: 100}))
	require.Equal(t, roster.Left, r.Put(entry("a", 1)))
	require.Empty(t, usable(r))
	require.Equal(t, []roster.Process{{ID: "a", StartTime: 100}}, r.Departed())
}

// A later heartbeat cancels the report: the replica was only unresponsive.
func TestRemovalReportedByPeer(t *testing.T) {
	r := roster.New(heartbeat)
	r.Put(entry("a", 1))
	require.True(t, r.MarkRemoved("a"))
	require.False(t, r.MarkRemoved("a"))
	require.Empty(t, usable(r))
	require.Equal(t, roster.Unchanged, r.Put(entry("a", 1)))
	require.Empty(t, usable(r))
	require.Equal(t, roster.Updated, r.Put(entry("a", 2)))
	require.Equal(t, []string{"a"}, usable(r))
}

// Replicas end unannounced by a restart, by another replica at their address, and by the
// removal of their entry.
func TestUnannouncedEnds(t *testing.T) {
	now := time.Unix(0, 0)
	entry := func(id, address string, startTime int64, state roster.State) roster.Entry {
		return roster.Entry{ID: id, Service: "s", Address: address, StartTime: startTime, State: state}
	}
	r := roster.New(heartbeat)
	for _, e := range []roster.Entry{
		entry("restarts", "a", 1, roster.Ready), entry("replaced", "b", 1, roster.Ready), entry("expires", "c", 1, roster.Ready),
		entry("leaves", "d", 1, roster.Draining), entry("leaves-and-restarts", "e", 1, roster.Draining),
	} {
		r.Put(e)
	}
	require.Empty(t, r.DrainEnded())
	r.Put(entry("restarts", "a", 2, roster.Ready))
	r.Put(entry("other", "b", 2, roster.Ready))
	r.Remove(now, "expires")
	r.Remove(now, "leaves")
	r.Put(entry("after", "d", 2, roster.Ready))
	r.Put(entry("leaves-and-restarts", "e", 2, roster.Ready))
	require.Equal(t, []roster.EndedProcess{
		{ID: "restarts", StartTime: 1, Restarted: true, NextStart: 2},
		{ID: "replaced", StartTime: 1, Restarted: true},
		{ID: "expires", StartTime: 1},
	}, r.DrainEnded())
	require.Empty(t, r.DrainEnded())
}

// TestUnreadableEntryIsTakenForARemoval guards against the end of a replica whose entry is listed but
// cannot be read.
func TestUnreadableEntryIsTakenForARemoval(t *testing.T) {
	r := roster.New(heartbeat)
	r.Put(entry("a", 1))
	r.Put(entry("b", 1))
	changes, _ := r.Replace(start, nil, []string{"a", "unknown"})
	require.Equal(t, map[string]roster.Change{"b": roster.Left}, changes)
	_, leaving, ok := r.Get("a")
	require.True(t, ok)
	require.False(t, leaving)
	_, _, ok = r.Get("unknown")
	require.False(t, ok)
	require.Len(t, r.DrainEnded(), 1)
}
