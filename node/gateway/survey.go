package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/pipeline"
	"masticbank.example/core/roster"
)

// surveyInterval is the time between two reads of each replica's report by the leader,
// which reads them for all instances. Replicas report with a lag of 0.2 s.
const surveyInterval = time.Second

// Survey reads the reports of all replicas that hold layers, and publishes them, until ctx
// ends. It does so each second while isLeader returns true. While isStandby returns true,
// it also does so when no reports of another instance have arrived for some time, as after
// a start of all instances together.
func (g *Gateway) Survey(ctx context.Context, isLeader, isStandby func() bool, publish func(map[string]pipeline.Report)) {
	ticker := time.NewTicker(surveyInterval)
	defer ticker.Stop()
	timeout := randomTimeout(startReportTimeout, startReportSpread)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(timeout - time.Since(g.observedAt())):
			if time.Since(g.observedAt()) < timeout {
				continue // reports of another instance arrived meanwhile
			}
			timeout = randomTimeout(remoteReportTimeout, remoteReportSpread)
			g.markObserved()
			if !isStandby() {
				continue
			}
			publish(withoutLayers(g.survey(ctx)))
		case <-ticker.C:
			if isLeader() {
				g.markObserved()
				publish(g.survey(ctx))
			}
		}
	}
}

// withoutLayers removes the layers from reports. Only the leader publishes which replica
// holds which layers: reports of others may arrive late and out of order, and the leader's
// own assignments would then seem not to have been carried out.
func withoutLayers(reports map[string]pipeline.Report) map[string]pipeline.Report {
	for id, o := range reports {
		o.HasLayers, o.From, o.To = false, 0, 0
		reports[id] = o
	}
	return reports
}

const (
	// remoteReportTimeout is the minimum time without reports of another instance after
	// which a standby instance reads them itself. The leader publishes them each second, or
	// half a second later if replicas do not respond.
	remoteReportTimeout = 2500 * time.Millisecond
	// remoteReportSpread is the range of a random time that is added to
	// remoteReportTimeout, so that the first standby instance publishes before the others
	// read. Reading and publishing take a few tenths of a second.
	remoteReportSpread = 2 * time.Second
	// startReportTimeout and startReportSpread apply instead after a start, when clients
	// reconnect and replicas still run what other instances have sent.
	startReportTimeout = 800 * time.Millisecond
	startReportSpread  = 2 * time.Second
)

// randomTimeout returns minimum plus a random part of spread.
func randomTimeout(minimum, spread time.Duration) time.Duration {
	return minimum + time.Duration(rand.Float64()*float64(spread))
}

// observedAt returns when reports were last read or received. It uses the monotonic clock,
// as the wall clock may jump.
func (g *Gateway) observedAt() time.Time { return g.started.Add(time.Duration(g.observed.Load())) }

// markObserved sets the time of the last reports to now.
func (g *Gateway) markObserved() { g.observed.Store(int64(time.Since(g.started))) }

// survey requests the reports of all replicas concurrently.
func (g *Gateway) survey(ctx context.Context) map[string]pipeline.Report {
	var wg sync.WaitGroup
	var mu sync.Mutex
	out := map[string]pipeline.Report{}
	for _, p := range g.modelPools() {
		for _, r := range p.reportingReplicas() {
			wg.Go(func() {
				report, err := g.opts.Control.Report(ctx, r)
				if err != nil {
					g.log.Info("report of a replica could not be read", zap.String("replica", r.ID), zap.Error(err))
					return
				}
				if report.Leaving {
					g.reportLeaving(r)
				}
				if !p.observe(r.ID, report) {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				out[r.ID] = report.toPipeline()
			})
		}
	}
	wg.Wait()
	return out
}

// reportingReplicas returns the replicas that hold layers and have not asked for a pause.
func (p *modelPool) reportingReplicas() []Replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Replica
	now := time.Now()
	for _, r := range p.fleet.Replicas() {
		if _, paused := p.pauses.Until(now, r.ID, r.StartTime); paused {
			continue
		}
		out = append(out, Replica{ID: r.ID, Address: r.Address, StartTime: r.StartTime})
	}
	return out
}

// surveyLag is the time from the response of a replica to the survey of another instance until it is
// known here: reads that time out after 0.25 s hold up the others.
const surveyLag = 300 * time.Millisecond

// RecordReports records reports that another instance has read. reportOf returns false for
// replicas without one.
func (g *Gateway) RecordReports(reportOf func(replica string) (pipeline.Report, bool)) {
	g.markObserved()
	now := time.Now()
	for _, p := range g.modelPools() {
		p.mu.Lock()
		for _, r := range p.fleet.Replicas() {
			if o, ok := reportOf(r.ID); ok {
				p.fleet.Observe(now, r.ID, o)
				if at := now.Add(-surveyLag); at.After(p.answeredAt[r.ID]) {
					p.answeredAt[r.ID] = at
				}
			}
		}
		p.mu.Unlock()
	}
}

// Slow reports whether a replica is so slow that other replicas should hold its layers.
func (g *Gateway) Slow(e roster.Entry) bool {
	g.mu.Lock()
	p := g.models[e.Service]
	g.mu.Unlock()
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet.StepTimeRatio(time.Now(), e.ID) >= slowStepRatio
}

// slowStepRatio is the ratio to the usual step time from which a replica is left out of the
// layout, because every request of its zone waits for it.
const slowStepRatio = 6
