package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/pause"
	"masticbank.example/core/pipeline"
	"masticbank.example/core/roster"
	"masticbank.example/core/routing"
	"masticbank.example/core/waitlist"
)

const (
	// reportAge is how old a report may be that several streams share.
	reportAge = 150 * time.Millisecond
	// grantInterval is how often waiting requests are looked at without an event.
	grantInterval = 100 * time.Millisecond
	// rejectedBlock keeps new paths off a part that is full; requests end there all the
	// time.
	rejectedBlock = 300 * time.Millisecond
)

// modelPool holds the replicas of one model service, their load, and the requests
// that wait for room. It is safe for concurrent use.
type modelPool struct {
	name    string
	control ReplicaControl
	log     *zap.Logger

	mu    sync.Mutex
	fleet *pipeline.Fleet
	born  map[string]int64
	// listed holds the replicas that may get new work, those without layers too.
	listed     map[string]bool
	waiting    waitlist.List
	waiters    map[*waitlist.Item]*waiter
	reports    map[string]*sharedReport
	rejections *pipeline.Rejections
	pauses     *pause.List
}

// waiter is a request that waits for a path.
type waiter struct {
	demand  pipeline.Demand
	limit   pipeline.Constraint
	granted chan *grant
}

// grant is a path with its load reserved.
type grant struct {
	pool    *modelPool
	demand  pipeline.Demand
	choice  pipeline.Choice
	reading bool
	ended   bool
	// entered are the parts that the request was last sent to, at enteredAt. A part
	// that leaves goes on with what it has, so that only these show that it takes new
	// requests.
	entered   []string
	enteredAt time.Time
}

type sharedReport struct {
	at     time.Time
	done   chan struct{}
	report Report
	err    error
}

func newModelPool(s *routing.Service, control ReplicaControl, log *zap.Logger) *modelPool {
	fleet := pipeline.NewFleet(s.Model)
	fleet.ExpectOrphans(time.Now())
	return &modelPool{
		name:    s.Name,
		control: control,
		log:     log.With(zap.String("service", s.Name)),
		fleet:   fleet,
		born:    map[string]int64{},
		waiters: map[*waitlist.Item]*waiter{},
		reports: map[string]*sharedReport{},

		rejections: pipeline.NewRejections(),
		pauses:     pause.New(),
	}
}

// share tells with whom the replicas are shared.
func (p *modelPool) share(s pipeline.Sharing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.SetSharing(s)
}

// setModel puts changed figures of the model in force.
func (p *modelPool) setModel(m *pipeline.Model) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.SetModel(m)
}

// set replaces the list of usable replicas.
func (p *modelPool) set(entries []roster.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []pipeline.Replica
	p.listed = make(map[string]bool, len(entries))
	for _, e := range entries {
		p.listed[e.ID] = true
		if e.Layers == nil {
			continue
		}
		list = append(list, pipeline.Replica{
			ID: e.ID, Address: e.Address, Zone: e.Zone, Kind: e.Kind, Born: e.Born,
			From: e.Layers.From, To: e.Layers.To,
		})
		was, known := p.fleet.Replica(e.ID)
		if known && (was.From != e.Layers.From || was.To != e.Layers.To) {
			p.rejections.Forget(e.ID)
		}
		if was, ok := p.born[e.ID]; ok && was != e.Born {
			p.fleet.Unblock(e.ID)
			p.rejections.Forget(e.ID)
		}
		p.born[e.ID] = e.Born
	}
	now := time.Now()
	p.fleet.Set(now, list)
	p.keepPauses(now)
	p.grantWaiting(now)
}

// covered tells whether a path through all layers exists.
func (p *modelPool) covered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet.Covered(time.Now())
}

func (p *modelPool) reserve(choice pipeline.Choice, d pipeline.Demand) *grant {
	p.fleet.Reserve(time.Now(), choice.Path, d)
	p.fleet.Reading(choice.Path, d, 1)
	g := &grant{pool: p, demand: d, choice: choice, reading: true, enteredAt: time.Now()}
	for _, h := range choice.Path {
		g.entered = append(g.entered, h.ID)
	}
	return g
}

// tick looks at the waiting requests.
func (p *modelPool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantWaiting(time.Now())
}

// firstToken tells that the prompt was read; later tokens change nothing.
func (g *grant) firstToken() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	if !g.reading {
		return
	}
	g.pool.fleet.Reading(g.choice.Path, g.demand, -1)
	g.reading = false
	for _, id := range g.entered {
		g.pool.rejections.Took(id, g.enteredAt)
	}
}

// release gives the room back.
func (g *grant) release() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.free()
	g.pool.grantWaiting(time.Now())
}

func (g *grant) free() {
	if g.ended {
		return
	}
	g.ended = true
	if g.reading {
		g.pool.fleet.Reading(g.choice.Path, g.demand, -1)
	}
	g.pool.fleet.Release(g.choice.Path, g.demand)
}

// path returns the present path.
func (g *grant) path() pipeline.Path { return g.choice.Path }

// move chooses another path with the same first part, or returns false.
func (g *grant) move(avoid map[string]bool) (pipeline.Choice, bool) {
	p := g.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	first := g.choice.Path[0]
	limit := pipeline.Constraint{Avoid: avoid, First: first.ID, FirstTo: first.To}
	if c, ok := p.fleet.Choose(time.Now(), g.demand, limit); ok {
		return c, true
	}
	// The part that takes over may have room still: what is reserved is an estimate.
	limit.IgnoreRoom = true
	return p.fleet.Choose(time.Now(), g.demand, limit)
}

// confirm replaces the path by the chosen one.
func (g *grant) confirm(c pipeline.Choice) {
	p := g.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.Reserve(time.Now(), c.Path, g.demand)
	if g.reading {
		p.fleet.Reading(g.choice.Path, g.demand, -1)
	}
	// The parts that are new read all tokens; the next event ends that.
	p.fleet.Reading(c.Path, g.demand, 1)
	g.reading = true
	g.entered, g.enteredAt = g.entered[:0], time.Now()
	for _, h := range c.Path {
		if !g.choice.Path.Uses(h.ID) {
			g.entered = append(g.entered, h.ID)
		}
	}
	p.fleet.Release(g.choice.Path, g.demand)
	g.choice = c
}

// block takes a replica out of use for a while. It returns whether it was out of
// use already.
func (p *modelPool) block(id string, d time.Duration, why string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	was := p.fleet.Blocked(id, now)
	if !was {
		p.log.Info("replica taken out of use", zap.String("replica", id), zap.String("why", why), zap.Duration("for", d))
	}
	p.fleet.Block(id, now.Add(d))
	return was
}

// state returns what is known of a replica, for logs.
func (p *modelPool) state(id string) pipeline.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet.State(id)
}

// rejected takes a part that rejected a request out of new paths. If it did so at once
// though it has room, the time grows, and the number of times in a row is returned;
// otherwise 0.
func (p *modelPool) rejected(id string, atOnce bool) int {
	if !atOnce {
		p.block(id, rejectedBlock, "full")
		return 0
	}
	p.mu.Lock()
	count, d := p.rejections.Add(time.Now(), id)
	p.mu.Unlock()
	p.block(id, d, "rejected a request")
	return count
}

// toldRejected takes a part out of new paths that rejected a request of another
// instance.
func (p *modelPool) toldRejected(id string, count int) {
	p.mu.Lock()
	_, known := p.fleet.Replica(id)
	var d time.Duration
	if known {
		d = p.rejections.Told(time.Now(), id, count, rand.Float64())
	}
	p.mu.Unlock()
	if known {
		p.block(id, d, "rejected a request of another instance")
	}
}

// idAt returns the ID of the replica with the address, or "".
func (p *modelPool) idAt(address string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet.IDAt(address)
}

// report asks a replica for its state; callers at about the same time share one
// question.
func (p *modelPool) report(ctx context.Context, r Replica) (Report, error) {
	p.mu.Lock()
	s := p.reports[r.ID]
	if s != nil && time.Since(s.at) < reportAge {
		p.mu.Unlock()
		select {
		case <-s.done:
			return s.report, s.err
		case <-ctx.Done():
			return Report{}, ctx.Err()
		}
	}
	s = &sharedReport{at: time.Now(), done: make(chan struct{})}
	p.reports[r.ID] = s
	p.mu.Unlock()
	s.report, s.err = p.control.Report(context.WithoutCancel(ctx), r)
	close(s.done)
	if s.err == nil {
		p.observe(r.ID, s.report.observed())
	}
	return s.report, s.err
}

func (r *Report) observed() pipeline.Observed {
	return pipeline.Observed{
		Pace: r.Pace, Used: r.CacheUsed, Room: r.CacheRoom, From: r.From, To: r.To, HasLayers: r.HasLayers,
	}
}

// observe takes what a replica reported of itself.
func (p *modelPool) observe(id string, o pipeline.Observed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.Observe(time.Now(), id, o)
}
