package order_test

import (
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/order"
	"masticbank.example/core/record"
)

// BenchmarkTable applies, for each key, a claim and an outcome with a response of 200
// bytes.
func BenchmarkTable(b *testing.B) {
	batches := make([]record.Batch, b.N)
	size := 0
	for n := range batches {
		batches[n] = finishedOrder(b, n)
		size += len(batches[n].Entries[0].Data) + len(batches[n].Entries[1].Data)
	}
	table := order.NewTable(policy)
	now := time.UnixMilli(1_000_000)
	before := heap()
	b.ResetTimer()
	for _, batch := range batches {
		table.Apply(now, batch)
	}
	b.StopTimer()
	b.ReportMetric(float64(heap()-before)/float64(b.N), "held-B/key")
	b.ReportMetric(float64(size)/float64(b.N), "log-B/key")
	runtime.KeepAlive(table)
	runtime.KeepAlive(batches)
}

func finishedOrder(b *testing.B, n int) record.Batch {
	key := record.OrderKey{Workspace: "workspace", Service: "service", Key: "017F22E2-79B0-7CC3-98C4-" + strconv.Itoa(n)}
	claim := record.ID("919108f7-52d1-4320-9bac-" + strconv.Itoa(n))
	fingerprint := strings.Repeat("f", 64)
	batch := record.Batch{}
	for i, r := range []record.Record{
		{ID: claim, Claim: &record.Claim{Key: key, Fingerprint: fingerprint, Claimant: "instance-1", Expiry: time.Second}},
		{ID: claim + "/outcome", Outcome: &record.Outcome{
			Key: key, Claim: claim, Known: true,
			Response: record.Response{Status: 200, ContentType: "application/json", Body: make([]byte, 200)},
		}},
	} {
		data, err := record.Encode(r)
		require.NoError(b, err)
		batch.Entries = append(batch.Entries, record.Entry{Offset: uint64(2*n + i), Data: data})
	}
	return batch
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
