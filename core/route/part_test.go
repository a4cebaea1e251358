package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestLimitSharesAddUpToTheLimit checks that the shares of all instances add up
// to the limit of a replica and that none exceeds an equal share by more than
// 1.
func TestLimitSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		var live []string
		for i := range rapid.IntRange(1, 12).Draw(t, "instances") {
			live = append(live, fmt.Sprint("e", i))
		}
		sum, most := 0, 0
		for _, self := range live {
			tab := NewTable(1, PolicyCost)
			require.NoError(t, tab.Upsert(Replica{ID: "r"}))
			tab.SetLimit("r", limit)
			tab.SetMembers(self, live)
			part := tab.limitShare(tab.replicas["r"])
			sum += part
			most = max(most, part)
		}
		require.Equal(t, limit, sum)
		require.LessOrEqual(t, most, limit/len(live)+1)
	})
}

// TestStaleReportsDoNotFillTheSameSlots guards against instances that dispatch
// into the same free slots because they choose by the same stale reports and do
// not see each other. Three instances choose as often as their shares allow;
// every replica must end up exactly at its limit.
func TestStaleReportsDoNotFillTheSameSlots(t *testing.T) {
	const replicas, limit = 6, 8
	live := []string{"a", "b", "c"}
	held := map[string]int{}
	for _, self := range live {
		tab := NewTable(1, PolicyCost)
		for i := range replicas {
			id := fmt.Sprint("r", i)
			require.NoError(t, tab.Upsert(Replica{ID: id}))
			tab.SetLimit(id, limit)
			tab.Report(start, id, Load{Slots: limit})
		}
		tab.SetMembers(self, live)
		parts := 0
		for _, r := range tab.replicas {
			parts += tab.limitShare(r)
		}
		for i := range parts {
			d := tab.Choose(start.Add(time.Millisecond), Request{PromptTokens: 1, OutputTokens: 1}, uint64(i)*0x9e3779b97f4a7c15)
			require.Equal(t, Chosen, d.Outcome)
			tab.Begin(d.Chain.Hops[0].ReplicaID, 1)
			held[d.Chain.Hops[0].ReplicaID]++
		}
	}
	for id, n := range held {
		require.Equal(t, limit, n, id)
	}
}
