package route

import (
	"fmt"
	"testing"
	"time"
)

// benchTable fills a table of 40 layers with n replicas: thirds, quarters and
// ranges that cross them, of three kinds, with reports, observations and cached
// blocks.
func benchTable(b *testing.B, n int) (*Table, Request) {
	const layers = 40
	ranges := []Range{
		{0, 13},
		{14, 26},
		{27, 39},
		{0, 9},
		{10, 19},
		{20, 29},
		{30, 39},
		{10, 26},
		{14, 29},
		{0, 19},
		{20, 39},
	}
	table := NewTable(layers, PolicyCost)
	req := Request{PromptTokens: 1500, OutputTokens: 200}
	for i := range uint64(100) {
		req.Blocks = append(req.Blocks, i+1)
	}
	for i := range n {
		id := fmt.Sprintf("replica-%d", i)
		held := ranges[i%len(ranges)]
		r := Replica{ID: id, First: held.First, Last: held.Last, Accelerator: fmt.Sprintf("kind-%d", i%3)}
		if err := table.Upsert(r); err != nil {
			b.Fatal(err)
		}
		table.Latency(id, time.Duration(250+i)*time.Microsecond)
		table.SetLimit(id, 64)
		step := time.Duration(9000+i%50*20) * time.Microsecond
		table.Report(start, id, Load{Running: i % 16, Slots: 32, Step: step, PrefillTokensPerSecond: 8000})
		table.Observe(id, 0, 1, step+time.Millisecond)
		for _, block := range req.Blocks[:i*7%len(req.Blocks)] {
			table.CacheEvent(start, id, block, false)
		}
	}
	return table, req
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{40, 80, 160, 256, 512} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			table, req := benchTable(b, n)
			b.ReportAllocs()
			i := uint64(0)
			for b.Loop() {
				i++
				if d := table.Choose(start, req, i); d.Outcome != Chosen {
					b.Fatal(d.Outcome)
				}
			}
		})
	}
}

// BenchmarkDispatch adds what the shell does around a choice: count the request
// on each hop, observe a step on each, and end it.
func BenchmarkDispatch(b *testing.B) {
	for _, n := range []int{40, 256} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			table, req := benchTable(b, n)
			b.ReportAllocs()
			i := uint64(0)
			for b.Loop() {
				i++
				d := table.Choose(start, req, i)
				for _, hop := range d.Chain.Hops {
					table.Begin(hop.ReplicaID, req.PromptTokens)
					table.Observe(hop.ReplicaID, 0, 1, 10*time.Millisecond)
					table.End(hop.ReplicaID, req.PromptTokens)
				}
			}
		})
	}
}

func BenchmarkCacheEvent(b *testing.B) {
	table, _ := benchTable(b, 256)
	b.ReportAllocs()
	block := uint64(0)
	for b.Loop() {
		block++
		table.CacheEvent(start.Add(time.Duration(block)), "replica-7", block, false)
	}
}
