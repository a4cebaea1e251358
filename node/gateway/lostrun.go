package gateway

import (
	"context"
	"errors"
	"time"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/poison"
	"masticbank.example/node/bounded"
	"masticbank.example/node/exchange"
)

// recordLostRun records a run without a complete response, and schedules a check of the
// first replica of its path.
func (s *stream) recordLostRun(ctx context.Context, err error) {
	if !mayBeCrash(err) || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	first := s.grant.path()[0]
	processes := s.pool.listedProcesses(s.grant.path())
	listed := poison.Process{Replica: first.ID, StartTime: first.StartTime}
	if len(processes) > 0 && processes[0].Replica == first.ID {
		processes[0] = s.g.crashes.process(listed, s.runAt)
	}
	s.g.crashes.recordLostRun(s.call, processes, s.runAt, s.progressed())
	s.g.crashes.scheduleCheck(listed, first.Address, s.runAt)
}

// progressTime is how long events must have arrived for a run to count as evidence that its
// request is harmless. A request that crashes replicas does so early in its run, sometimes
// after its first event.
const progressTime = 500 * time.Millisecond

// progressed reports whether the current run has produced events for progressTime.
func (s *stream) progressed() bool {
	return !s.runFirstEvent.IsZero() && s.lastProgress.Sub(s.runFirstEvent) >= progressTime
}

// beginRun records the start of a run: the first one, or one that continues the request on
// other replicas.
func (s *stream) beginRun(now time.Time) { s.runAt, s.runFirstEvent = now, time.Time{} }

// recordLostStage records that the run is lost on an unresponsive stage, and schedules a
// check of the replica.
func (s *stream) recordLostStage(id string) {
	for _, stage := range s.grant.path() {
		if stage.ID == id {
			s.g.crashes.recordLostRun(s.call, s.pool.listedProcesses(pipeline.Path{stage}), s.runAt, s.progressed())
			s.g.crashes.scheduleCheck(poison.Process{Replica: stage.ID, StartTime: stage.StartTime}, stage.Address, s.runAt)
		}
	}
}

// nonCrashErrors lists the errors that do not indicate a crash: the replica responded, if
// wrongly, or the client disconnected.
var nonCrashErrors = []error{
	errResponseMismatch, errUnsignedResponse, errUnprovenRefusal, errNotEvents, errUnnumbered, errNoEvents, errEventMissing, errEventTooLarge, errStreamTooLarge,
	bounded.ErrTooLarge, exchange.ErrHeadTooLarge, errClientWrite, context.Canceled,
}

// mayBeCrash reports whether a run may have been lost because the replica's process ended.
func mayBeCrash(err error) bool {
	if err == nil {
		return false
	}
	for _, other := range nonCrashErrors {
		if errors.Is(err, other) {
			return false
		}
	}
	return true
}

// listedProcesses returns the processes of a path's replicas, without those that have shut
// down since.
func (p *modelPool) listedProcesses(path pipeline.Path) []poison.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []poison.Process
	for _, stage := range path {
		if p.listed[stage.ID] {
			out = append(out, poison.Process{Replica: stage.ID, StartTime: stage.StartTime})
		}
	}
	return out
}
