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
			table := NewTable(1, PolicyCost)
			require.NoError(t, table.Upsert(Replica{ID: "r"}))
			table.SetLimit("r", limit)
			table.SetMembers(self, live)
			share := table.limitShare(table.replicas["r"])
			sum += share
			most = max(most, share)
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
		table := NewTable(1, PolicyCost)
		for i := range replicas {
			id := fmt.Sprint("r", i)
			require.NoError(t, table.Upsert(Replica{ID: id}))
			table.SetLimit(id, limit)
			table.ApplyLoad(start, id, Load{Slots: limit})
		}
		table.SetMembers(self, live)
		shares := 0
		for _, r := range table.replicas {
			shares += table.limitShare(r)
		}
		for i := range shares {
			d := table.Choose(start.Add(time.Millisecond), Request{PromptTokens: 1, OutputTokens: 1}, uint64(i)*0x9e3779b97f4a7c15)
			require.Equal(t, Chosen, d.Outcome)
			table.RecordDispatch(d.Path.Stages[0].ReplicaID, 1)
			held[d.Path.Stages[0].ReplicaID]++
		}
	}
	for id, n := range held {
		require.Equal(t, limit, n, id)
	}
}
