package router

import (
	"context"

	"golang.org/x/sync/errgroup"

	"masticbank.example/node/engine"
)

// readLoadOnce reads the load reports of all replicas.
func (r *Router) readLoadOnce() {
	tasks := r.engineTasks(r.readLoadOf)
	for _, s := range r.allServicePools() {
		for _, rep := range s.listed() {
			tasks = append(tasks, func() {
				ctx, cancel := context.WithTimeout(r.ctx, loadTimeout)
				defer cancel()
				s.readLoad(ctx, rep)
			})
		}
	}
	runParallel(tasks)
}

// engineTasks returns one call of f for each engine of each model.
func (r *Router) engineTasks(f func(p *pool, t engine.Target)) []func() {
	var tasks []func()
	for _, p := range r.allPools() {
		for _, t := range p.targets() {
			tasks = append(tasks, func() { f(p, t) })
		}
	}
	return tasks
}

// runParallel runs the tasks, at most maxParallelReads at a time, and waits for them.
func runParallel(tasks []func()) {
	var g errgroup.Group
	g.SetLimit(maxParallelReads)
	for _, task := range tasks {
		g.Go(func() error {
			task()
			return nil
		})
	}
	_ = g.Wait()
}

func (r *Router) readLoadOf(p *pool, t engine.Target) {
	ctx, cancel := context.WithTimeout(r.ctx, loadTimeout)
	defer cancel()
	report, err := p.engines.Load(ctx, t)
	if err != nil {
		if r.ctx.Err() == nil {
			p.recordMissedReport(t)
		}
		return
	}
	p.applyLoadReport(t, report)
}
