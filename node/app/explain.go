package app

import (
	"masticbank.example/core/route"
	"masticbank.example/node/admin"
	"masticbank.example/node/router"
)

// ExplainRequest implements admin.Instance.
func (a *App) ExplainRequest(id string) (*admin.RequestExplanation, bool) {
	e, ok := a.router.ExplainRequest(id)
	if !ok {
		return nil, false
	}
	out := &admin.RequestExplanation{RequestID: id, Pool: e.Pool}
	if e.Waiting != nil {
		out.State = "waiting"
		out.QueuePosition = e.Waiting.Place
		out.TokensAhead = e.Waiting.CostAhead
		if e.Waiting.WaitKnown {
			out.ExpectedWaitSeconds = e.Waiting.Wait.Seconds()
		}
		return out, true
	}
	explainResult(out, e.Finished)
	return out, true
}

func explainResult(out *admin.RequestExplanation, r *router.Result) {
	out.State = "complete"
	if !r.Complete {
		out.State = "failed"
	}
	out.Code = string(r.Code)
	out.Message = r.Message
	out.Execution = r.Execution.String()
	out.Workspace = r.Workspace
	out.Rank = int(r.Rank)
	out.Attempts = r.Attempts
	out.Route = r.Route
	out.QueueSeconds = r.QueueWait.Seconds()
	out.FirstTokenSeconds = r.FirstToken.Seconds()
	out.TotalSeconds = r.Total.Seconds()
	out.EstimatedSeconds = r.Expected.Seconds()
}

// ExplainRoute implements admin.Instance.
func (a *App) ExplainRoute(model string, promptTokens, outputTokens int) (*admin.RouteExplanation, bool) {
	e, ok := a.router.ExplainRoute(model, promptTokens, outputTokens)
	if !ok {
		return nil, false
	}
	return routeExplanation(&e), true
}

// ExplainPrompt implements admin.Instance.
func (a *App) ExplainPrompt(model, prompt string, outputTokens int) (*admin.RouteExplanation, bool) {
	e, ok := a.router.ExplainPrompt(model, prompt, outputTokens)
	if !ok {
		return nil, false
	}
	return routeExplanation(&e), true
}

func routeExplanation(e *route.Explanation) *admin.RouteExplanation {
	out := &admin.RouteExplanation{
		Outcome:          e.Decision.Outcome.String(),
		EstimatedSeconds: e.Decision.Path.Expected.Seconds(),
		LowestSeconds:    e.Lowest.Seconds(),
	}
	for _, stage := range e.Decision.Path.Stages {
		out.Route = append(out.Route, stage.ReplicaID)
	}
	for _, v := range e.Replicas {
		out.Replicas = append(out.Replicas, admin.ReplicaExplanation{
			ID:             v.ID,
			FirstLayer:     v.First,
			LastLayer:      v.Last,
			Status:         v.Status.String(),
			Weight:         v.Weight,
			Occupancy:      v.Occupancy,
			Limit:          v.Limit,
			CachedFraction: v.CachedFraction,
			Seconds:        v.Terms.Total(),
		})
	}
	return out
}
