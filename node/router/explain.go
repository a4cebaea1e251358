package router

import (
	"time"

	"masticbank.example/core/admission"
	"masticbank.example/core/route"
)

// Explanation describes the state of one request.
type Explanation struct {
	// Finished is set if the request ended recently.
	Finished *Result
	// Waiting is set if the request is in a queue.
	Waiting *admission.Position
	// Pool is the name of the model or service that the request is for.
	Pool string
}

// ExplainRequest looks up a request by its ID among the most recent results and in the
// queues.
func (r *Router) ExplainRequest(id string) (Explanation, bool) {
	if res, ok := r.history.find(id); ok {
		return Explanation{Finished: &res, Pool: res.Model}, true
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for name, p := range r.pools {
		if pos, ok := p.queue.position(id); ok {
			return Explanation{Waiting: &pos, Pool: name}, true
		}
	}
	for name, s := range r.services {
		if pos, ok := s.queue.position(id); ok {
			return Explanation{Waiting: &pos, Pool: name}, true
		}
	}
	return Explanation{}, false
}

// ExplainRoute returns the route that a request with the given numbers of tokens would
// get now, and the reasons for it. It counts nothing as dispatched.
func (r *Router) ExplainRoute(model string, promptTokens, outputTokens int) (route.Explanation, bool) {
	return r.explain(model, route.Request{PromptTokens: promptTokens, OutputTokens: outputTokens})
}

// ExplainPrompt is ExplainRoute for a prompt, whose prefixes may be cached on
// replicas.
func (r *Router) ExplainPrompt(model, prompt string, outputTokens int) (route.Explanation, bool) {
	req := Request{Prompt: prompt}
	return r.explain(model, route.Request{
		PromptTokens: req.PromptTokens(),
		OutputTokens: outputTokens,
		Blocks:       prefixBlocks(prompt),
	})
}

func (r *Router) explain(model string, req route.Request) (route.Explanation, bool) {
	p := r.pool(model)
	if p == nil {
		return route.Explanation{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Explain(time.Now(), req, p.random.Uint64()), true
}
