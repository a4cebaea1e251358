package router

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/core/attempt"
	"masticbank.example/core/config"
	"masticbank.example/core/execution"
	"masticbank.example/node/service"
)

type discardSink struct{}

func (discardSink) Token(attempt.Token) error { return nil }

// A request that waits for a replica must be refused, not left waiting, when a
// configuration replaces or removes its pool.
func TestReplacedPoolRefusesWaitingRequests(t *testing.T) {
	changes := map[string]func(c *config.Config){
		"layers changed": func(c *config.Config) { c.Models["m"] = config.ModelConfig{Layers: 9, Version: "1", MaxOutput: 16} },
		"model removed":  func(c *config.Config) { delete(c.Models, "m") },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			r, _ := newPlainRouter(t)
			waiting := make(chan struct{}, 1)
			r.pools["m"].queue.onWait = func() { waiting <- struct{}{} }
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			result := make(chan Result, 1)
			go func() {
				now := time.Now()
				result <- r.Generate(ctx, &Request{
					ID: "r", Workspace: "w", Model: "m", Prompt: "p", MaxTokens: 1, Arrived: now, Deadline: now.Add(time.Minute),
				}, discardSink{})
			}()
			<-waiting
			c := plainConfig()
			change(c)
			r.Configure(c)
			res := <-result
			require.Equal(t, CodeRefused, res.Code)
			require.Equal(t, execution.NotRun, res.Execution)
			require.Positive(t, res.RetryAfter)
			require.Contains(t, res.Message, "replaced")
		})
	}
}

// A pool created by the first configuration must use that configuration's retry ratio:
// a first attempt credits that ratio to an empty budget.
func TestRetryRatioOfFirstRevision(t *testing.T) {
	e := &upstreamEvents{}
	r := newRouter(Options{Engines: stubEngines{}, Services: service.New(), Metrics: e, Logger: zap.NewNop()})
	t.Cleanup(r.Close)
	c := plainConfig()
	c.Limits.RetryRatio = 0.5
	r.Configure(c)
	require.InDelta(t, 0.5, r.pools["m"].ratio, 0)
	p := r.pools["m"]
	for p.spendRetry() { // exhaust the budget
	}
	before := p.budget.Available(time.Now())
	p.recordFirstAttempt()
	require.GreaterOrEqual(t, p.budget.Available(time.Now())-before, 0.5)
}
