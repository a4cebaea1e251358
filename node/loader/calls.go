package loader

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"masticbank.example/core/placement"
	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

// reading is the last state of an engine and when it was read.
type reading struct {
	state wire.EngineState
	at    time.Time
}

// read returns the states of all engines. One that can't be read has its last
// state for forgetAfter; one that was never read is left out.
func (l *Loader) read(ctx context.Context) []placement.Engine {
	targets := l.opts.Targets()
	states := make([]*wire.EngineState, len(targets))
	var group errgroup.Group
	group.SetLimit(callsAtOnce)
	for i := range targets {
		group.Go(func() error {
			states[i] = l.readOne(ctx, targets[i].Target)
			return nil
		})
	}
	_ = group.Wait()
	return l.merge(targets, states)
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

func (l *Loader) merge(targets []Engine, states []*wire.EngineState) []placement.Engine {
	now := time.Now()
	known := make(map[string]reading, len(targets))
	engines := make([]placement.Engine, 0, len(targets))
	for i, t := range targets {
		last, seen := l.known[t.Target.ID]
		if states[i] != nil {
			l.noteLoaded(last.state, *states[i])
			last, seen = reading{state: *states[i], at: now}, true
		}
		if !seen || now.Sub(last.at) > forgetAfter {
			continue
		}
		known[t.Target.ID] = last
		engines = append(engines, merged(t, last.state, states[i] != nil))
	}
	l.known = known
	return engines
}

func (l *Loader) noteLoaded(before, now wire.EngineState) {
	if before.Loading && !now.Loading && held(before) == held(now) {
		l.limit.Finished()
	}
}

func held(s wire.EngineState) placement.Assignment {
	return placement.Assignment{Model: s.Model, Version: s.Version, First: s.FirstLayer, Last: s.LastLayer}
}

func merged(t Engine, s wire.EngineState, live bool) placement.Engine {
	return placement.Engine{
		ID: t.Target.ID, Zone: t.Zone, Accelerator: t.Accelerator,
		Held: held(s), Loading: s.Loading, Fence: s.Fence, Fencing: s.Fencing,
		Live: live, Leaving: t.Leaving, Units: t.Units,
	}
}

// send sends the orders while the duty is valid and returns how many were sent
// and how many of those failed.
func (l *Loader) send(ctx context.Context, epoch uint64, plan placement.Plan) (sent, failed int) {
	targets := map[string]engine.Target{}
	for _, t := range l.opts.Targets() {
		targets[t.Target.ID] = t.Target
	}
	results := make([]result, len(plan.Orders))
	var group errgroup.Group
	group.SetLimit(callsAtOnce)
	for i, o := range plan.Orders {
		target, listed := targets[o.Engine]
		if !listed {
			continue
		}
		group.Go(func() error {
			results[i] = l.sendOne(ctx, epoch, target, o)
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

// count adds the results up and lowers the limit when the store refused a load.
func (l *Loader) count(plan placement.Plan, results []result) (sent, failed int) {
	running, busy := plan.Loading, 0
	for i, r := range results {
		switch r {
		case resultNotSent:
			continue
		case resultTaken:
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
