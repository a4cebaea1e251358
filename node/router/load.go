package router

import (
	"context"

	"golang.org/x/sync/errgroup"

	"masticbank.example/node/engine"
)

// readLoadOnce asks every replica for its load report.
func (r *Router) readLoadOnce() {
	var g errgroup.Group
	g.SetLimit(loadReaders)
	for _, p := range r.allPools() {
		for _, t := range p.targets() {
			g.Go(func() error {
				r.readLoadOf(p, t)
				return nil
			})
		}
	}
	for _, s := range r.allServices() {
		for _, rep := range s.listed() {
			g.Go(func() error {
				ctx, cancel := context.WithTimeout(r.ctx, loadTimeout)
				defer cancel()
				s.readLoad(ctx, rep)
				return nil
			})
		}
	}
	_ = g.Wait()
}

func (r *Router) readLoadOf(p *pool, t engine.Target) {
	ctx, cancel := context.WithTimeout(r.ctx, loadTimeout)
	defer cancel()
	report, err := p.engines.Load(ctx, t)
	if err != nil {
		return
	}
	p.report(t, report)
}
