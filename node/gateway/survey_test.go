package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/roster"
	"masticbank.example/core/routing"
	"masticbank.example/node/exchange"
)

// countingControl is a ReplicaControl that counts the report requests.
type countingControl struct {
	ReplicaControl
	mu sync.Mutex
	n  int
}

func (c *countingControl) Report(context.Context, Replica) (Report, error) {
	c.mu.Lock()
	c.n++
	c.mu.Unlock()
	time.Sleep(reportTime)
	return Report{StepTimeRatio: 1, HasLayers: true, From: 0, To: 4}, nil
}

func (c *countingControl) reset() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.n
	c.n = 0
	return n
}

// reportTime is how long it takes to read reports if some replicas do not respond.
const reportTime = 250 * time.Millisecond

// Forty instances start at the same moment and none is the leader. Only the two standby
// instances read reports, so the load on replicas does not grow with the number of
// instances.
func TestReportLoadIsIndependentOfInstanceCount(t *testing.T) {
	const instances, replicas, seconds = 40, 10, 10
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		reports := &countingControl{}
		model := newPool().fleet.Model()
		var all []*Gateway
		var wg sync.WaitGroup
		for range instances {
			g := New(Options{Client: exchange.New(exchange.Options{}), Logger: zap.NewNop(), Metrics: NewMetrics(), Control: reports})
			g.Configure(routing.NewTable(&routing.Config{Version: 1, Services: []routing.Service{{Name: "s", Model: model}}}), func(string) []roster.Entry {
				var out []roster.Entry
				for i := range replicas {
					out = append(out, roster.Entry{
						ID: string(rune('a' + i)), Service: "s", Address: string(rune('a' + i)), Kind: "k", StartTime: 1,
						Layers: &roster.Layers{From: 0, To: 4},
					})
				}
				return out
			})
			all = append(all, g)
		}
		for i, g := range all {
			isStandby := func() bool { return i < 2 }
			publish := func(published map[string]pipeline.Report) {
				for id, o := range published {
					if o.HasLayers {
						t.Errorf("layers of %s published by an instance that is not the leader", id)
					}
				}
				time.Sleep(reportTime)
				for _, other := range all {
					if other != g {
						other.RecordReports(func(string) (pipeline.Report, bool) { return pipeline.Report{}, false })
					}
				}
			}
			wg.Go(func() { g.Survey(ctx, func() bool { return false }, isStandby, publish) })
		}
		time.Sleep(seconds * time.Second)
		got := reports.reset()
		require.LessOrEqual(t, got, seconds*replicas, "at most one report per replica and second")
		require.GreaterOrEqual(t, got, seconds/5*replicas, "at least one report per replica in five seconds")
		cancel()
		wg.Wait()
	})
}
