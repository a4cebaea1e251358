package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/silence"
)

const (
	// probeTimeout is how long a replica has to respond to a probe. Replicas respond to report
	// requests within milliseconds, whatever they run.
	probeTimeout = 80 * time.Millisecond
	// maxProbeAge is the maximum age of a probe that several streams share.
	maxProbeAge = 30 * time.Millisecond
	// maxReportAge is the maximum age of a report that several streams share.
	maxReportAge = 150 * time.Millisecond
)

// sharedProbe is a probe that several streams share; done is closed when ok is set.
type sharedProbe struct {
	sentAt time.Time
	done   chan struct{}
	ok     bool
}

// sharedReport is a request for a replica's report that several streams share; done is
// closed when report and err are set.
type sharedReport struct {
	requestedAt time.Time
	done        chan struct{}
	report      Report
	err         error
}

// investigate finds out why a stream makes no progress: it probes the replicas that may be the cause,
// and reads the report of the first one if they respond. It sends nothing if the budget for probes is
// spent. cleared is the number of checks in a row that have found that all respond.
func (p *modelPool) investigate(ctx context.Context, g *grant, cleared int) finding {
	f := finding{startedAt: time.Now()}
	path, suspects, witness := p.suspects(f.startedAt, g)
	first := path[0]
	probes, wantsReport := len(suspects), silence.WantsReport(len(suspects), cleared)
	if wantsReport && !slices.Contains(suspects, first.ID) && !p.hasReport(first.ID) {
		probes++
	}
	if f.skipped = !p.takeProbes(f.startedAt, g, probes); f.skipped {
		return f
	}
	if len(suspects) > 0 {
		if f.failed = p.inquire(ctx, path, suspects, witness); len(f.failed) > 0 {
			return f
		}
	}
	if !wantsReport {
		return f
	}
	f.report, f.err = p.report(ctx, Replica{ID: first.ID, Address: first.Address})
	return f
}

// takeProbes reports whether a stream's check may send probes, and counts them.
func (p *modelPool) takeProbes(now time.Time, g *grant, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := silence.Share{Replicas: len(p.fleet.Replicas()), Instances: p.instances, Free: p.fleet.FreeShare()}
	silent := time.Duration(0)
	if !g.lastEvent.IsZero() {
		silent = now.Sub(g.lastEvent)
	}
	return p.probeBudget.Take(now, n, silent, share)
}

// suspects returns the path of a stream, the replicas that may be the cause of its silence, and the
// witness to probe with them. A stream without events suspects none: its prefill may take long.
func (p *modelPool) suspects(now time.Time, g *grant) (path pipeline.Path, suspects []string, witness string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path = g.choice.Path
	if g.lastEvent.IsZero() {
		return path, nil, ""
	}
	own := g.silenceStream()
	others := make([]silence.Stream, 0, len(p.grants))
	for other := range p.grants {
		if other != g {
			others = append(others, other.silenceStream())
		}
	}
	suspects = silence.Suspects(now, own, others, func(id string) time.Time { return p.answeredAt[id] })
	return path, suspects, silence.Witness(own, suspects)
}

// silenceLimit returns the silence after which the replicas of the path are suspected.
func (g *grant) silenceLimit() time.Duration {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	return silence.After(g.meanGap, g.pool.gaps.High())
}

// silenceStream describes the stream of a grant. The lock of the pool is held.
func (g *grant) silenceStream() silence.Stream {
	s := silence.Stream{LastEvent: g.lastEvent, Gap: g.meanGap}
	for _, stage := range g.choice.Path {
		s.Replicas = append(s.Replicas, stage.ID)
	}
	return s
}

// inquire probes the suspects and the witness, and returns the replicas that have failed.
func (p *modelPool) inquire(ctx context.Context, path pipeline.Path, suspects []string, witness string) []string {
	inquiry := silence.NewInquiry(suspects, witness)
	for asked := inquiry.Ask(); len(asked) > 0; asked = inquiry.Ask() {
		var wg sync.WaitGroup
		var mu sync.Mutex
		results := map[string]bool{}
		for _, stage := range path {
			if !slices.Contains(asked, stage.ID) {
				continue
			}
			wg.Go(func() {
				ok := p.probe(ctx, Replica{ID: stage.ID, Address: stage.Address})
				mu.Lock()
				defer mu.Unlock()
				results[stage.ID] = ok
			})
		}
		wg.Wait()
		if ctx.Err() != nil {
			return nil
		}
		inquiry.Record(results)
	}
	return inquiry.Failed()
}

// probe reports whether a replica responds. Calls at about the same time share one probe.
func (p *modelPool) probe(ctx context.Context, r Replica) bool {
	p.mu.Lock()
	s := p.probes[r.ID]
	if s != nil && time.Since(s.sentAt) < maxProbeAge {
		p.mu.Unlock()
		select {
		case <-s.done:
			return s.ok
		case <-ctx.Done():
			return false
		}
	}
	s = &sharedProbe{sentAt: time.Now(), done: make(chan struct{})}
	p.probes[r.ID] = s
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	report, err := p.control.Report(ctx, r)
	if s.ok = err == nil; s.ok {
		p.observe(r.ID, report)
		p.keepReport(r.ID, s.sentAt, report)
	}
	close(s.done)
	return s.ok
}

// report requests the state of a replica. Calls at about the same time share one request.
func (p *modelPool) report(ctx context.Context, r Replica) (Report, error) {
	p.mu.Lock()
	s := p.reports[r.ID]
	if s != nil && time.Since(s.requestedAt) < maxReportAge {
		p.mu.Unlock()
		select {
		case <-s.done:
			return s.report, s.err
		case <-ctx.Done():
			return Report{}, ctx.Err()
		}
	}
	s = &sharedReport{requestedAt: time.Now(), done: make(chan struct{})}
	p.reports[r.ID] = s
	p.mu.Unlock()
	s.report, s.err = p.control.Report(context.WithoutCancel(ctx), r)
	close(s.done)
	if s.err == nil {
		p.observe(r.ID, s.report)
	}
	return s.report, s.err
}

// keepReport keeps the report that a probe has brought for the streams that begin at the replica.
func (p *modelPool) keepReport(id string, requestedAt time.Time, report Report) {
	s := &sharedReport{requestedAt: requestedAt, done: make(chan struct{}), report: report}
	close(s.done)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports[id] = s
}

// hasReport reports whether a report that several streams share is recent enough for another one.
func (p *modelPool) hasReport(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.reports[id]
	return s != nil && time.Since(s.requestedAt) < maxReportAge
}

// markFailed records that a replica is unresponsive, and wakes the streams that pass through it. It
// reports whether this is new. It does not apply to a later process.
func (p *modelPool) markFailed(stage pipeline.Stage, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if startedLater(p.startTimes[stage.ID], stage.StartTime) {
		return false
	}
	now := time.Now()
	isNew := !now.Before(p.failedUntil[stage.ID])
	p.failedUntil[stage.ID] = now.Add(d)
	for g := range p.grants {
		if !g.choice.Path.Uses(stage.ID) {
			continue
		}
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
	return isNew
}

// failedOn returns the replicas on a stream's path that are known to be unresponsive, unless an event
// has arrived so recently that it may have passed them.
func (p *modelPool) failedOn(g *grant) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(g.lastEvent) < silence.Transit(g.meanGap) {
		return nil
	}
	var out []string
	for _, stage := range g.choice.Path {
		if now.Before(p.failedUntil[stage.ID]) {
			out = append(out, stage.ID)
		}
	}
	return out
}
