package loader

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"masticbank.example/core/placement"
	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

// reading is the last state of an engine.
type reading struct {
	state wire.EngineState
	// tried is when the engine was last asked.
	tried time.Time
	// silent is when it first did not answer since; zero when it answered.
	silent time.Time
	// answered is false when there is no state, or none that still counts.
	answered bool
}

// changing tells whether the state is about to change, or known to be wrong.
func (r reading) changing(target placement.Assignment) bool {
	return r.answered && r.silent.IsZero() && (r.state.Loading || target != held(r.state))
}

// read refreshes the readings that are due and tells whether a state changed.
func (l *Loader) read(ctx context.Context, targets []Engine) (changed bool) {
	due := l.due(targets)
	states := make([]*wire.EngineState, len(due))
	var group errgroup.Group
	group.SetLimit(callsAtOnce)
	for i := range due {
		group.Go(func() error {
			states[i] = l.readOne(ctx, due[i].Target)
			return nil
		})
	}
	_ = group.Wait()
	for i, t := range due {
		before := l.known[t.Target.ID]
		l.noteState(t.Target.ID, states[i])
		changed = changed || l.known[t.Target.ID].state != before.state
	}
	return changed
}

// due returns the engines that change, the silent ones once a period, and of the
// others those that were read longest ago.
func (l *Loader) due(targets []Engine) []Engine {
	now := time.Now()
	reads := l.opts.Reads
	if l.active {
		reads = (reads + activeRounds - 1) / activeRounds
	}
	var due, rest []Engine
	for _, t := range targets {
		last := l.known[t.Target.ID]
		target, _ := l.planner.Target(t.Target.ID)
		silent := !last.answered || !last.silent.IsZero()
		switch {
		case last.changing(target), silent && now.Sub(last.tried) >= l.opts.Period:
			due = append(due, t)
		case !silent:
			rest = append(rest, t)
		}
	}
	slices.SortStableFunc(rest, func(a, b Engine) int {
		return l.known[a.Target.ID].tried.Compare(l.known[b.Target.ID].tried)
	})
	return append(due, rest[:min(len(rest), max(0, reads-len(due)))]...)
}

// readOne returns nil when the engine does not answer.
func (l *Loader) readOne(ctx context.Context, t engine.Target) *wire.EngineState {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := l.opts.Engines.State(ctx, t)
	if err != nil {
		l.opts.Logger.Debug("engine state can't be read", zap.String("upstream", t.ID), zap.Error(err))
		return nil
	}
	return state
}

// noteState takes the answer of an engine, nil for none.
func (l *Loader) noteState(id string, state *wire.EngineState) {
	now := time.Now()
	last := l.known[id]
	if state == nil {
		last.tried = now
		if last.silent.IsZero() {
			last.silent = now
		}
		l.known[id] = last
		return
	}
	if last.state.Loading && !state.Loading && held(last.state) == held(*state) {
		l.limit.Finished()
	}
	l.known[id] = reading{state: *state, tried: now, answered: true}
}

// engines returns the engines that have answered and forgets those that are no
// longer listed.
func (l *Loader) engines(targets []Engine) []placement.Engine {
	now := time.Now()
	known := make(map[string]reading, len(targets))
	engines := make([]placement.Engine, 0, len(targets))
	for _, t := range targets {
		last := l.known[t.Target.ID]
		silent := !last.silent.IsZero()
		silence := now.Sub(last.silent)
		last.answered = last.answered && (!silent || silence < forgetAfter)
		known[t.Target.ID] = last
		if !last.answered {
			continue
		}
		down := t.Down || (silent && silence >= l.downAfter())
		engines = append(engines, placement.Engine{
			ID: t.Target.ID, Zone: t.Zone, Accelerator: t.Accelerator, MaxLayers: t.MaxLayers,
			Held: held(last.state), Loading: last.state.Loading,
			Fence: last.state.Fence, Fencing: last.state.Fencing,
			Live: !down, Silent: silent, Leaving: t.Leaving, Units: t.Units,
		})
	}
	l.known = known
	return engines
}

func held(s wire.EngineState) placement.Assignment {
	return placement.Assignment{Model: s.Model, Version: s.Version, First: s.FirstLayer, Last: s.LastLayer}
}

// send sends the orders while the duty is valid and returns how many were sent
// and how many of those failed.
func (l *Loader) send(ctx context.Context, epoch uint64, engines []Engine, plan placement.Plan) (sent, failed int) {
	targets := make(map[string]engine.Target, len(engines))
	for _, t := range engines {
		targets[t.Target.ID] = t.Target
	}
	results := make([]result, len(plan.Orders))
	var group errgroup.Group
	group.SetLimit(callsAtOnce)
	for i, o := range plan.Orders {
		group.Go(func() error {
			results[i] = l.sendOne(ctx, epoch, targets[o.Engine], o)
			return nil
		})
	}
	_ = group.Wait()
	return l.count(plan, results)
}

// result is what became of one order.
type result uint8

const (
	resultNotSent result = iota
	resultTaken
	resultFailed
	// resultBusy means that the engine was refused by the weight store.
	resultBusy
)

// sendOne checks the duty immediately before it sends.
func (l *Loader) sendOne(ctx context.Context, epoch uint64, t engine.Target, o placement.Order) result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	order := &wire.Order{
		Fence: o.Fence, Model: o.Target.Model, Version: o.Target.Version,
		FirstLayer: o.Target.First, LastLayer: o.Target.Last,
	}
	if now, ok := l.opts.Keeper.Valid(l.opts.Duty); !ok || now != epoch {
		return resultNotSent
	}
	response, err := l.opts.Engines.Order(ctx, t, order)
	var refused *engine.CallError
	switch {
	case errors.As(err, &refused) && refused.Code == wire.CodeOverloaded:
		return resultBusy
	case err != nil:
		l.opts.Logger.Warn("order has no answer", zap.String("upstream", t.ID), zap.Error(err))
		return resultFailed
	case !response.Accepted:
		l.opts.Logger.Warn("order was refused", zap.String("upstream", t.ID), zap.Uint64("fence", response.Fence))
		return resultFailed
	}
	if o.Reason != placement.ReasonFence {
		l.opts.Logger.Info("engine was ordered to load", zap.String("upstream", t.ID), zap.Any("target", o.Target))
	}
	return resultTaken
}

// noteFence notes that an engine has seen the fence of an order.
func (l *Loader) noteFence(o placement.Order) {
	last := l.known[o.Engine]
	last.state.Fence = max(last.state.Fence, o.Fence)
	l.known[o.Engine] = last
}

// count adds the results up and lowers the limit when the store refused a load.
func (l *Loader) count(plan placement.Plan, results []result) (sent, failed int) {
	running, busy := plan.Loading, 0
	for i, r := range results {
		switch r {
		case resultNotSent:
			continue
		case resultTaken:
			l.noteFence(plan.Orders[i])
			if plan.Orders[i].Reason != placement.ReasonFence {
				running++
			}
		case resultBusy:
			busy++
			failed++
		case resultFailed:
			failed++
		}
		sent++
	}
	if busy > 0 {
		l.limit.Refused(running)
	}
	return sent, failed
}
