package app

import (
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/attempt"
	"masticbank.example/core/config"
	"masticbank.example/node/metrics"
	"masticbank.example/node/router"
)

// observer records the router's events as metrics and logs one line for each
// finished request. It logs neither prompts nor keys.
type observer struct {
	registry *metrics.Registry
	logger   *zap.Logger
	// announceLeaving informs the peers that an upstream is leaving.
	announceLeaving func(upstream string)
}

var _ router.Metrics = (*observer)(nil)

// ResponseDiscarded implements router.Metrics.
func (o *observer) ResponseDiscarded(attempt.DiscardReason) {
	o.registry.Add(metrics.LateResponses, 1)
}

// ConnectionReplaced implements router.Metrics.
func (o *observer) ConnectionReplaced(string) {
	o.registry.Add(metrics.ReplacedConnections, 1)
}

// Ejected implements router.Metrics.
func (o *observer) Ejected(string) {
	o.registry.Add(metrics.Ejections, 1)
}

// UpstreamLeaving implements router.Metrics.
func (o *observer) UpstreamLeaving(upstream string) {
	o.announceLeaving(upstream)
}

// TokenGap implements router.Metrics.
func (o *observer) TokenGap(workspace string, rank config.Rank, d time.Duration) {
	o.registry.NewRequest(int(rank), workspace).Observe(metrics.BetweenTokens, d)
}

// Finished implements router.Metrics.
func (o *observer) Finished(r *router.Result) {
	q := o.registry.NewRequest(int(r.Rank), r.Workspace)
	if r.Attempts > 0 {
		q.Observe(metrics.QueueWait, r.QueueWait)
	}
	if r.FirstToken > 0 {
		q.Observe(metrics.FirstToken, r.FirstToken)
	}
	q.Observe(metrics.Total, r.Total)
	q.Finish(outcomeOf(r), r.Execution)
	o.registry.Add(metrics.Attempts, uint64(r.Attempts))
	o.registry.Add(metrics.Retries, uint64(r.Retries))
	if !r.Complete {
		o.registry.CountRefusal(string(r.Code))
	}
	if r.Code == router.CodePoison && r.Attempts == 0 {
		o.registry.Add(metrics.PoisonRefusals, 1)
	}
	o.logResult(r)
}

func outcomeOf(r *router.Result) metrics.Outcome {
	switch {
	case r.Complete:
		return metrics.Completed
	case r.Code == router.CodeDeadlinePassed:
		return metrics.Expired
	case r.Code == router.CodeCancelled:
		return metrics.Cancelled
	case r.Attempts == 0:
		return metrics.Refused
	default:
		return metrics.Failed
	}
}

func (o *observer) logResult(r *router.Result) {
	o.logger.Info("request finished",
		zap.String("request", r.RequestID),
		zap.String("workspace", r.Workspace),
		zap.Int("rank", int(r.Rank)),
		zap.String("target", r.Model),
		zap.Bool("complete", r.Complete),
		zap.String("code", string(r.Code)),
		zap.String("execution", r.Execution.String()),
		zap.Strings("route", r.Route),
		zap.Int("attempts", r.Attempts),
		zap.Int("retries", r.Retries),
		zap.Int("dropped", r.DiscardedResponses),
		zap.Int("tokens", r.Tokens),
		zap.Duration("queue_wait", r.QueueWait),
		zap.Duration("first_token", r.FirstToken),
		zap.Duration("total", r.Total),
	)
}
