package order_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/order"
	"masticbank.example/core/record"
)

// BenchmarkTable reads a claim and an outcome with an answer of 200 bytes a key.
func BenchmarkTable(b *testing.B) {
	table := order.NewTable(policy)
	now := time.UnixMilli(1_000_000)
	before := heap()
	for n := range b.N {
		key := record.OrderKey{Workspace: "workspace", Service: "service", Key: "017F22E2-79B0-7CC3-98C4-" + strconv.Itoa(n)}
		claim := record.ID("919108f7-52d1-4320-9bac-" + strconv.Itoa(n))
		records := []record.Record{
			{ID: claim, Claim: &record.Claim{Key: key, Fingerprint: "f", Claimant: "i", Expiry: time.Second}},
			{ID: claim + "/outcome", Outcome: &record.Outcome{Key: key, Claim: claim, Known: true, Answer: record.Answer{Status: 200, Body: make([]byte, 200)}}},
		}
		batch := record.Batch{}
		for i, r := range records {
			data, err := record.Encode(r)
			require.NoError(b, err)
			batch.Entries = append(batch.Entries, record.Entry{Offset: uint64(2*n + i), Data: data})
		}
		table.Apply(now, batch)
	}
	b.ReportMetric(float64(heap()-before)/float64(b.N), "held-B/key")
	runtime.KeepAlive(table)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
