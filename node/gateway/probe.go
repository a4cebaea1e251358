package gateway

import (
	"context"
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
)

// sharedProbe is a probe that several streams share; done is closed when ok is set.
type sharedProbe struct {
	sentAt time.Time
	done   chan struct{}
	ok     bool
}

// investigate finds out why a stream makes no progress: it probes the replicas that may be the cause
// and reads the report of the first one.
func (p *modelPool) investigate(ctx context.Context, g *grant) finding {
	f := finding{startedAt: time.Now()}
	path, suspects, witness := p.suspects(g)
	first := path[0]
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		f.report, f.err = p.report(ctx, Replica{ID: first.ID, Address: first.Address})
	}()
	if len(suspects) > 0 {
		if failed := p.inquire(ctx, path, suspects, witness); len(failed) > 0 {
			return finding{startedAt: f.startedAt, failed: failed}
		}
	}
	<-reported
	return f
}

// suspects returns the path of a stream, the replicas that may be the cause of its silence, and the
// witness to probe with them. A stream without events suspects none: its prefill may take long.
func (p *modelPool) suspects(g *grant) (path pipeline.Path, suspects []string, witness string) {
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
	suspects = silence.Suspects(own, others)
	return path, suspects, silence.Witness(own, suspects)
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
	asked := map[string]bool{witness: true}
	for _, id := range suspects {
		asked[id] = true
	}
	inquiry := silence.NewInquiry()
	for range silence.Rounds {
		var wg sync.WaitGroup
		var mu sync.Mutex
		results := map[string]bool{}
		for _, stage := range path {
			if !asked[stage.ID] {
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
		if inquiry.AllAnswered() {
			return nil
		}
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
	s.ok = err == nil
	close(s.done)
	if s.ok {
		p.observe(r.ID, report)
	}
	return s.ok
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
