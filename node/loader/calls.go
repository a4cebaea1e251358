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

// observedState is the last known state of an engine.
type observedState struct {
	state wire.EngineState
	// lastQuery is the time of the last query, including failed ones.
	lastQuery time.Time
	// unresponsiveSince is the time of the first failed query since the last response;
	// it is zero after a response.
	unresponsiveSince time.Time
	// valid is false when there is no state or it has expired (see stateExpiry).
	valid bool
}

// changing reports whether the engine is loading or its state differs from target, so
// that the state has to be queried in every round.
func (r observedState) changing(target placement.Assignment) bool {
	return r.valid && r.unresponsiveSince.IsZero() && (r.state.Loading || target != heldBy(r.state))
}

// queryDueEngines queries the states that are due and reports whether one has changed.
func (l *Loader) queryDueEngines(ctx context.Context, targets []Engine) (changed bool) {
	due := l.dueEngines(targets)
	states := make([]*wire.EngineState, len(due))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i := range due {
		group.Go(func() error {
			states[i] = l.queryState(ctx, due[i].Target)
			return nil
		})
	}
	_ = group.Wait()
	for i, t := range due {
		before := l.observed[t.Target.ID]
		l.recordState(t.Target.ID, states[i])
		changed = changed || l.observed[t.Target.ID].state != before.state
	}
	return changed
}

// dueEngines returns the engines to query in this round: all that are changing, each
// unresponsive one once a period, and of the others those queried longest ago, as far
// as the number of queries in a round allows.
func (l *Loader) dueEngines(targets []Engine) []Engine {
	now := time.Now()
	maxQueries := l.opts.QueriesPerPeriod
	if l.active {
		maxQueries = (maxQueries + activeRoundsPerPeriod - 1) / activeRoundsPerPeriod
	}
	var due, rest []Engine
	for _, t := range targets {
		last := l.observed[t.Target.ID]
		target, _ := l.planner.Target(t.Target.ID)
		unresponsive := !last.valid || !last.unresponsiveSince.IsZero()
		switch {
		case last.changing(target), unresponsive && now.Sub(last.lastQuery) >= l.opts.Period:
			due = append(due, t)
		case !unresponsive:
			rest = append(rest, t)
		}
	}
	slices.SortStableFunc(rest, func(a, b Engine) int {
		return l.observed[a.Target.ID].lastQuery.Compare(l.observed[b.Target.ID].lastQuery)
	})
	return append(due, rest[:min(len(rest), max(0, maxQueries-len(due)))]...)
}

// queryState queries the state of one engine. It returns nil if the engine does not
// respond.
func (l *Loader) queryState(ctx context.Context, t engine.Target) *wire.EngineState {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := l.opts.Engines.State(ctx, t)
	if err != nil {
		l.opts.Logger.Debug("failed to query engine state", zap.String("upstream", t.ID), zap.Error(err))
		return nil
	}
	return state
}

// recordState records the result of a query; state is nil if the engine did not
// respond.
func (l *Loader) recordState(id string, state *wire.EngineState) {
	now := time.Now()
	last := l.observed[id]
	if state == nil {
		last.lastQuery = now
		if last.unresponsiveSince.IsZero() {
			last.unresponsiveSince = now
		}
		l.observed[id] = last
		return
	}
	if last.state.Loading && !state.Loading && heldBy(last.state) == heldBy(*state) {
		l.limit.RecordFinished()
	}
	l.observed[id] = observedState{state: *state, lastQuery: now, valid: true}
}

// plannerEngines returns the engines with a known state as input for the planner. It
// removes the states of engines that are no longer listed.
func (l *Loader) plannerEngines(targets []Engine) []placement.Engine {
	now := time.Now()
	listed := make(map[string]observedState, len(targets))
	engines := make([]placement.Engine, 0, len(targets))
	for _, t := range targets {
		last := l.observed[t.Target.ID]
		unresponsive := !last.unresponsiveSince.IsZero()
		unresponsiveFor := now.Sub(last.unresponsiveSince)
		last.valid = last.valid && (!unresponsive || unresponsiveFor < stateExpiry)
		listed[t.Target.ID] = last
		if !last.valid {
			continue
		}
		down := t.Down || (unresponsive && unresponsiveFor >= l.downAfter())
		engines = append(engines, placement.Engine{
			ID: t.Target.ID, Zone: t.Zone, Accelerator: t.Accelerator, MaxLayers: t.MaxLayers,
			Held: heldBy(last.state), Loading: last.state.Loading,
			Fence: last.state.Fence, ChecksFence: last.state.Fencing,
			Live: !down, Unresponsive: unresponsive, Leaving: t.Leaving, Units: t.Sequences,
		})
	}
	l.observed = listed
	return engines
}

// heldBy returns what an engine in state s holds or is loading.
func heldBy(s wire.EngineState) placement.Assignment {
	return placement.Assignment{Model: s.Model, Version: s.Version, First: s.FirstLayer, Last: s.LastLayer}
}

// sendOrders sends the orders of a plan as long as this instance is the leader. It
// returns the number of orders sent and of those that failed.
func (l *Loader) sendOrders(ctx context.Context, epoch uint64, engines []Engine, plan placement.Plan) (sent, failed int) {
	targets := make(map[string]engine.Target, len(engines))
	for _, t := range engines {
		targets[t.Target.ID] = t.Target
	}
	results := make([]orderResult, len(plan.Orders))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, o := range plan.Orders {
		group.Go(func() error {
			results[i] = l.sendOrder(ctx, epoch, targets[o.Engine], o)
			return nil
		})
	}
	_ = group.Wait()
	return l.recordResults(plan, results)
}

// orderResult is the outcome of one order.
type orderResult uint8

const (
	resultNotSent orderResult = iota
	resultAccepted
	resultFailed
	// resultStoreBusy means that the engine could not load because the weight store
	// refused the load.
	resultStoreBusy
)

// sendOrder sends one order as a layer assignment. Immediately before, it checks that
// this instance is still the leader in the same epoch.
func (l *Loader) sendOrder(ctx context.Context, epoch uint64, t engine.Target, o placement.Order) orderResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	assignment := &wire.LayerAssignment{
		Fence: o.Fence, Model: o.Target.Model, Version: o.Target.Version,
		FirstLayer: o.Target.First, LastLayer: o.Target.Last,
	}
	if currentEpoch, ok := l.opts.Keeper.Valid(l.opts.LeaderTask); !ok || currentEpoch != epoch {
		return resultNotSent
	}
	response, err := l.opts.Engines.AssignLayers(ctx, t, assignment)
	var refused *engine.CallError
	switch {
	case errors.As(err, &refused) && refused.Code == wire.CodeOverloaded:
		return resultStoreBusy
	case err != nil:
		l.opts.Logger.Warn("order failed", zap.String("upstream", t.ID), zap.Error(err))
		return resultFailed
	case !response.Accepted:
		l.opts.Logger.Warn("order refused by engine", zap.String("upstream", t.ID), zap.Uint64("fence", response.Fence))
		return resultFailed
	}
	if o.Reason != placement.ReasonFence {
		l.opts.Logger.Info("load ordered", zap.String("upstream", t.ID), zap.Any("target", o.Target))
	}
	return resultAccepted
}

// recordFence records that an engine has accepted the fence of an order.
func (l *Loader) recordFence(o placement.Order) {
	last := l.observed[o.Engine]
	last.state.Fence = max(last.state.Fence, o.Fence)
	l.observed[o.Engine] = last
}

// recordResults records the results of the orders and returns the numbers of those sent
// and of those that failed. It reduces the limit on concurrent loads if the weight store
// refused one.
func (l *Loader) recordResults(plan placement.Plan, results []orderResult) (sent, failed int) {
	running, busy := plan.Loading, 0
	for i, r := range results {
		switch r {
		case resultNotSent:
			continue
		case resultAccepted:
			l.recordFence(plan.Orders[i])
			if plan.Orders[i].Reason != placement.ReasonFence {
				running++
			}
		case resultStoreBusy:
			busy++
			failed++
		case resultFailed:
			failed++
		}
		sent++
	}
	if busy > 0 {
		l.limit.RecordRefused(running)
	}
	return sent, failed
}
