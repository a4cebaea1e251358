package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"masticbank.example/core/admission"
	"masticbank.example/core/attempt"
	"masticbank.example/core/route"
)

func (x *requestRun) route(ctx context.Context, e attempt.Route) attempt.Event {
	if e.Attempt == 1 {
		return x.firstRoute(ctx)
	}
	if e.Retry {
		x.result.Retries++
	}
	return x.nextRoute(ctx, e)
}

// firstRoute waits for admission and chooses the route of the first attempt.
func (x *requestRun) firstRoute(ctx context.Context) attempt.Event {
	effect, err := x.pool.queue.admit(ctx, admission.Request{
		ID:        x.req.ID,
		Workspace: x.req.Workspace,
		Rank:      x.req.Rank,
		Cost:      float64(x.req.PromptTokens() + x.expectedTokens),
		Deadline:  x.req.Deadline,
	})
	for {
		if err != nil {
			return contextEvent(ctx)
		}
		if effect.Kind == admission.Refuse {
			x.refusal = &effect
			return attempt.Unroutable{Reason: refusalMessage(effect)}
		}
		x.dispatched = true
		d := x.pool.choose(x.routeRequest(nil))
		if d.Outcome == route.Chosen {
			x.result.QueueWait = time.Since(x.req.Arrived)
			x.pool.recordFirstAttempt()
			return x.beginAttempt(d.Path)
		}
		x.dispatched = false
		effect, err = x.pool.queue.requeue(ctx, x.req.ID)
	}
}

// nextRoute chooses the route of a later attempt. It retries with backoff until a
// route exists and the retry budget admits the attempt.
func (x *requestRun) nextRoute(ctx context.Context, e attempt.Route) attempt.Event {
	if x.poisoned {
		return attempt.Unroutable{Reason: string(CodePoison)}
	}
	paid := !e.Retry
	for try := e.Attempt - 2; ; try++ {
		delay, ok := backoff.Delay(try, rand.Uint64(), time.Now(), x.req.Deadline, 0)
		if !ok {
			return attempt.Expired{}
		}
		if !sleep(ctx, delay) {
			return contextEvent(ctx)
		}
		if !paid {
			paid = x.pool.spendRetry()
		}
		if !paid {
			continue
		}
		d := x.pool.choose(x.routeRequest(x.excludedReplicas(e.Exclude)))
		if d.Outcome == route.Chosen {
			x.router.poison.recordPlacement(x.fingerprint, replicaIDs(d.Path.Stages))
			return x.beginAttempt(d.Path)
		}
	}
}

// excludedReplicas returns the replicas that the next attempt should avoid: those that
// failed and, if the request may have caused a crash, those that crashed or that run
// other possible causes of the same crash.
func (x *requestRun) excludedReplicas(failed []string) []string {
	return append(slices.Clone(failed), x.router.poison.replicasToAvoid(x.fingerprint)...)
}

func replicaIDs(stages []route.Stage) []string {
	out := make([]string, 0, len(stages))
	for _, stage := range stages {
		out = append(out, stage.ReplicaID)
	}
	return out
}

func (x *requestRun) beginAttempt(c route.Path) attempt.Event {
	x.stages = c.Stages
	x.version = x.pool.version()
	x.result.Expected = c.Expected
	x.result.Route = replicaIDs(c.Stages)
	stages := make([]attempt.Stage, 0, len(c.Stages))
	for _, stage := range c.Stages {
		stages = append(stages, attempt.Stage{ReplicaID: stage.ReplicaID, FirstLayer: stage.First, LastLayer: stage.Last})
	}
	return attempt.Routed{Stages: stages}
}

func (x *requestRun) routeRequest(exclude []string) route.Request {
	return route.Request{
		PromptTokens: x.req.PromptTokens() + x.result.Tokens,
		OutputTokens: max(x.expectedTokens-x.result.Tokens, 1),
		Blocks:       prefixBlocks(x.req.Prompt),
		Exclude:      exclude,
	}
}
