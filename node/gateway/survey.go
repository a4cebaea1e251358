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

// surveyInterval is the time between two reports that one instance reads from each
// replica for all instances. Replicas report with a lag of 0.2 s.
const surveyInterval = time.Second

// Survey reads the reports of all replicas that hold layers until ctx ends, while
// wanted returns true, and tells the result. While deputy returns true it also does when
// no other instance has told its own for a while, as after a start of all together.
func (g *Gateway) Survey(ctx context.Context, wanted, deputy func() bool, tell func(map[string]pipeline.Observed)) {
	ticker := time.NewTicker(surveyInterval)
	defer ticker.Stop()
	silence := drawSilence(startSilence, startSpread)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(silence - time.Since(g.observedAt())):
			if time.Since(g.observedAt()) < silence {
				continue // another instance told its reports meanwhile
			}
			silence = drawSilence(surveySilence, surveySpread)
			g.noteObserved()
			if !deputy() {
				continue
			}
			tell(withoutLayers(g.survey(ctx)))
		case <-ticker.C:
			if wanted() {
				g.noteObserved()
				tell(g.survey(ctx))
			}
		}
	}
}

// withoutLayers leaves out what replicas hold. Which layers are where is told by the
// instance with the duty alone: reports of others may come late and in another order, and
// its own orders would seem not to have been carried out.
func withoutLayers(states map[string]pipeline.Observed) map[string]pipeline.Observed {
	for id, o := range states {
		o.HasLayers, o.From, o.To = false, 0, 0
		states[id] = o
	}
	return states
}

const (
	// surveySilence is the shortest time without the reports of another instance after
	// which one reads them itself. The one with the duty tells them each second, and half
	// a second later if replicas do not answer.
	surveySilence = 2500 * time.Millisecond
	// surveySpread is added to it at random, so that the first deputy tells the others
	// before they read; reading and telling take some tenths of a second.
	surveySpread = 2 * time.Second
	// startSilence and startSpread take their place after a start, when callers come back
	// and replicas still run what others have sent.
	startSilence = 800 * time.Millisecond
	startSpread  = 2 * time.Second
)

func drawSilence(least, spread time.Duration) time.Duration {
	return least + time.Duration(rand.Float64()*float64(spread))
}

// observedAt is on the steady clock: the time of day may jump.
func (g *Gateway) observedAt() time.Time { return g.started.Add(time.Duration(g.observed.Load())) }

func (g *Gateway) noteObserved() { g.observed.Store(int64(time.Since(g.started))) }

// survey asks all replicas at the same time.
func (g *Gateway) survey(ctx context.Context) map[string]pipeline.Observed {
	var wg sync.WaitGroup
	var mu sync.Mutex
	out := map[string]pipeline.Observed{}
	for _, p := range g.modelPools() {
		for _, r := range p.holders() {
			wg.Go(func() {
				report, err := g.opts.Control.Report(ctx, r)
				if err != nil {
					g.log.Info("no report", zap.String("replica", r.ID), zap.Error(err))
					return
				}
				if report.Leaving {
					g.leaves(r)
				}
				o := report.observed()
				p.observe(r.ID, o)
				mu.Lock()
				defer mu.Unlock()
				out[r.ID] = o
			})
		}
	}
	wg.Wait()
	return out
}

// holders returns the replicas that hold layers and have not asked for a pause.
func (p *modelPool) holders() []Replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Replica
	now := time.Now()
	for _, r := range p.fleet.Replicas() {
		if _, paused := p.pauses.Until(now, r.ID, r.Born); paused {
			continue
		}
		out = append(out, Replica{ID: r.ID, Address: r.Address, Born: r.Born})
	}
	return out
}

// Observe takes what another instance has read, by replica; replicas that it does
// not know are left out.
func (g *Gateway) Observe(of func(replica string) (pipeline.Observed, bool)) {
	g.noteObserved()
	now := time.Now()
	for _, p := range g.modelPools() {
		p.mu.Lock()
		for _, r := range p.fleet.Replicas() {
			if o, ok := of(r.ID); ok {
				p.fleet.Observe(now, r.ID, o)
			}
		}
		p.mu.Unlock()
	}
}

// Slow tells whether a replica is so slow that others should hold its layers.
func (g *Gateway) Slow(e roster.Entry) bool {
	g.mu.Lock()
	p := g.models[e.Service]
	g.mu.Unlock()
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet.Pace(time.Now(), e.ID) >= slowPace
}

// slowPace is the multiple of the usual step time from which a replica is left out
// of the layout: every request of its zone waits for it.
const slowPace = 6
