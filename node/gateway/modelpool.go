package gateway

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/pause"
	"masticbank.example/core/pipeline"
	"masticbank.example/core/roster"
	"masticbank.example/core/routing"
	"masticbank.example/core/silence"
	"masticbank.example/core/waitlist"
)

const (
	// grantInterval is how often waiting requests are granted paths when no other event
	// triggers it.
	grantInterval = 100 * time.Millisecond
	// rejectedBlock is how long new paths avoid a stage that is full; it is short because
	// requests end there all the time.
	rejectedBlock = 300 * time.Millisecond
)

// modelPool holds the replicas of one model service, their load, and the requests that
// wait for capacity. It is safe for concurrent use.
type modelPool struct {
	name    string
	control ReplicaControl
	log     *zap.Logger

	mu         sync.Mutex
	fleet      *pipeline.Fleet
	startTimes map[string]int64
	// listed contains the replicas that may get new work, including those without layers.
	listed  map[string]bool
	waiting waitlist.List
	// firstEvents is the usual time from a grant to the first event.
	firstEvents movingMean
	// responses is the usual time from a grant to the end of its response.
	responses movingMean
	// hopeless counts the requests that were refused because they would not be reached in time.
	hopeless uint64
	waiters  map[*waitlist.Item]*waiter
	reports  map[string]*sharedReport
	probes   map[string]*sharedProbe
	// grants holds the grants that are not released, failedUntil until when a replica
	// counts as unresponsive.
	grants      map[*grant]struct{}
	failedUntil map[string]time.Time
	rejections  *pipeline.Rejections
	pauses      *pause.List

	// probeBudget limits the probes of silent streams; instances share the replicas.
	probeBudget silence.Budget
	instances   int
	// gaps is the longest usual gap of all streams, answeredAt when a replica last gave a report to
	// this instance or to the one that surveys.
	gaps       silence.Gaps
	answeredAt map[string]time.Time
}

// waiter is a request that waits for a path.
type waiter struct {
	demand     pipeline.Demand
	constraint pipeline.Constraint
	granted    chan *grant
}

// grant is a path on which load is reserved for a request.
type grant struct {
	pool   *modelPool
	demand pipeline.Demand
	choice pipeline.Choice
	// expected is what the load let expect of the path when it was chosen.
	expected   pipeline.Expected
	prefilling bool
	released   bool
	// moved is true once the path has changed while the request ran.
	moved bool
	// prefillPath lists the stages that prefill, if prefilling is set.
	prefillPath pipeline.Path
	// newStages lists the stages to which the request was last sent, at sentAt. A stage
	// that shuts down finishes its earlier requests, so only an event after sentAt shows
	// that these stages accept new ones.
	newStages []string
	sentAt    time.Time
	// lastEvent is when the last event arrived over the path; zero if none has. meanGap is a
	// moving average of the time between events.
	lastEvent time.Time
	meanGap   time.Duration
	// wake receives a value when a stage of the path was found to be unresponsive.
	wake chan struct{}
}

func newModelPool(s *routing.Service, control ReplicaControl, log *zap.Logger) *modelPool {
	fleet := pipeline.NewFleet(s.Model)
	fleet.ExpectOrphans(time.Now())
	return &modelPool{
		name:       s.Name,
		control:    control,
		log:        log.With(zap.String("service", s.Name)),
		fleet:      fleet,
		startTimes: map[string]int64{},
		waiters:    map[*waitlist.Item]*waiter{},
		reports:    map[string]*sharedReport{},
		probes:     map[string]*sharedProbe{},

		grants:      map[*grant]struct{}{},
		failedUntil: map[string]time.Time{},
		rejections:  pipeline.NewRejections(),
		pauses:      pause.New(),
		answeredAt:  map[string]time.Time{},
	}
}

// setSharing sets between how many instances the replicas are shared.
func (p *modelPool) setSharing(s pipeline.Sharing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.SetSharing(s)
	p.instances = s.Instances
}

// setModel applies changed parameters of the model.
func (p *modelPool) setModel(m *pipeline.Model) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.SetModel(m)
}

// setReplicas replaces the list of usable replicas. Blocks and counted rejections of a
// replica are cleared when its process changes, rejections also when its layers do.
func (p *modelPool) setReplicas(entries []roster.Entry) {
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
			ID: e.ID, Address: e.Address, Zone: e.Zone, Kind: e.Kind, StartTime: e.StartTime,
			From: e.Layers.From, To: e.Layers.To,
		})
		was, known := p.fleet.Replica(e.ID)
		if known && (was.From != e.Layers.From || was.To != e.Layers.To) {
			p.rejections.Delete(e.ID)
		}
		if was, ok := p.startTimes[e.ID]; ok && was != e.StartTime {
			delete(p.answeredAt, e.ID)
			p.fleet.Unblock(e.ID)
			p.rejections.Delete(e.ID)
			delete(p.failedUntil, e.ID)
		}
		p.startTimes[e.ID] = e.StartTime
	}
	maps.DeleteFunc(p.answeredAt, func(id string, _ time.Time) bool { return !p.listed[id] })
	now := time.Now()
	p.fleet.SetReplicas(now, list)
	p.restorePauses(now)
	p.grantWaiting(now)
}

// covered reports whether a path through all layers exists.
func (p *modelPool) covered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet.Covered(time.Now())
}

// reserve reserves the load of a request on the chosen path. The lock is held.
func (p *modelPool) reserve(choice pipeline.Choice, d pipeline.Demand) *grant {
	expected := p.fleet.Expect(time.Now(), choice.Path, d, false)
	p.fleet.Reserve(time.Now(), choice.Path, d)
	p.fleet.AdjustPrefill(choice.Path, d, 1)
	g := &grant{pool: p, demand: d, choice: choice, expected: expected, prefilling: true, prefillPath: choice.Path, sentAt: time.Now(), wake: make(chan struct{}, 1)}
	p.grants[g] = struct{}{}
	for _, stage := range choice.Path {
		g.newStages = append(g.newStages, stage.ID)
	}
	return g
}

// grantNow grants paths to waiting requests.
func (p *modelPool) grantNow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantWaiting(time.Now())
}

// gapWeight is the weight of a new gap in the moving average.
const gapWeight = 0.2

// recordEvent records an event. The first one ends the prefill.
func (g *grant) recordEvent(now time.Time) {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	if !g.lastEvent.IsZero() {
		gap := now.Sub(g.lastEvent)
		g.pool.gaps.Add(gap)
		if g.meanGap == 0 {
			g.meanGap = gap
		}
		g.meanGap += time.Duration(float64(gap-g.meanGap) * gapWeight)
	} else if !g.moved {
		g.pool.firstEvents.add(now.Sub(g.sentAt))
	}
	g.lastEvent = now
	g.endPrefill()
}

// endPrefill records the end of prefill once. The lock of the pool is held.
func (g *grant) endPrefill() {
	if !g.prefilling {
		return
	}
	g.pool.fleet.AdjustPrefill(g.prefillPath, g.demand, -1)
	g.prefilling = false
	for _, id := range g.newStages {
		g.pool.rejections.RecordAccepted(id, g.sentAt)
	}
}

// release ends the grant and frees the reserved load.
func (g *grant) release() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.releaseLoad()
	g.pool.grantWaiting(time.Now())
}

// releaseLoad frees the reserved load once. The lock of the pool is held.
func (g *grant) releaseLoad() {
	if g.released {
		return
	}
	g.released = true
	if !g.lastEvent.IsZero() && !g.moved {
		g.pool.responses.add(time.Since(g.sentAt))
	}
	delete(g.pool.grants, g)
	if g.prefilling {
		g.pool.fleet.AdjustPrefill(g.prefillPath, g.demand, -1)
	}
	g.pool.fleet.Release(g.choice.Path, g.demand)
}

// mayGet reports whether the replicas of the path may still get the request.
func (g *grant) mayGet(now time.Time) bool {
	p := g.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, stage := range g.choice.Path {
		if _, paused := p.pauses.Until(now, stage.ID, stage.StartTime); paused || !p.listed[stage.ID] {
			return false
		}
	}
	return p.fleet.Holds(g.choice.Path)
}

// path returns the current path.
func (g *grant) path() pipeline.Path { return g.choice.Path }

// alternative chooses another path with the same first stage, on which the next event is expected
// within the given time, and reserves load on it; it returns false if there is none. The caller must
// follow with switchPath or cancelAlternative. Streams that leave a failed stage choose at the same
// time, so each must count those before it, and those of other instances.
func (g *grant) alternative(avoid map[string]bool, within time.Duration) (pipeline.Choice, bool) {
	p := g.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	c, ok := p.fleet.ChooseMove(now, g.demand, g.choice.Path, avoid, within)
	if ok {
		p.fleet.ReserveMove(c.Path, g.demand)
		p.fleet.AdjustPrefill(c.Path.Without(g.choice.Path), g.demand, 1)
	}
	return c, ok
}

// cancelAlternative removes the load that alternative reserved.
func (g *grant) cancelAlternative(c pipeline.Choice) {
	p := g.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.AdjustPrefill(c.Path.Without(g.choice.Path), g.demand, -1)
	p.fleet.Release(c.Path, g.demand)
}

// switchPath replaces the path by one that alternative has returned.
func (g *grant) switchPath(c pipeline.Choice) {
	p := g.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	added := c.Path.Without(g.choice.Path)
	p.fleet.RecordMove(time.Now(), added, g.demand)
	if g.prefilling {
		p.fleet.AdjustPrefill(g.prefillPath, g.demand, -1)
	}
	// The new stages prefill all tokens; the next event ends that.
	g.prefilling, g.prefillPath = true, added
	g.newStages, g.sentAt = g.newStages[:0], time.Now()
	for _, stage := range added {
		g.newStages = append(g.newStages, stage.ID)
	}
	p.fleet.Release(g.choice.Path, g.demand)
	g.choice, g.lastEvent, g.moved = c, time.Time{}, true
}

// block keeps new paths away from a replica for a while.
func (p *modelPool) block(id string, d time.Duration, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addBlock(id, d, reason)
}

// addBlock blocks a replica. The lock is held.
func (p *modelPool) addBlock(id string, d time.Duration, reason string) {
	now := time.Now()
	if !p.fleet.Blocked(id, now) {
		p.log.Info("replica blocked", zap.String("replica", id), zap.String("why", reason), zap.Duration("for", d))
	}
	p.fleet.Block(id, now.Add(d))
}

// state returns the load and layers of a replica for log lines.
func (p *modelPool) state(id string) pipeline.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet.State(id)
}

// useFactor returns the factor by which the reckoned use of KV cache is corrected.
func (p *modelPool) useFactor() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet.UseFactor(time.Now())
}

// recordRejection blocks a stage that rejected a request. If the stage rejected it
// immediately although it has free capacity, the block time grows with each such rejection
// in a row, and their number is returned; otherwise 0. It does not apply to a later process.
func (p *modelPool) recordRejection(stage pipeline.Stage, immediate bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if startedLater(p.startTimes[stage.ID], stage.StartTime) {
		return 0
	}
	if !immediate {
		p.addBlock(stage.ID, rejectedBlock, "full")
		return 0
	}
	count, d := p.rejections.AddLocal(time.Now(), stage.ID)
	p.addBlock(stage.ID, d, "rejected a request")
	return count
}

// recordPeerRejection blocks a stage that rejected a request of another instance.
func (p *modelPool) recordPeerRejection(id string, count int) {
	p.mu.Lock()
	_, known := p.fleet.Replica(id)
	var d time.Duration
	if known {
		d = p.rejections.AddRemote(time.Now(), id, count, rand.Float64())
	}
	p.mu.Unlock()
	if known {
		p.block(id, d, "rejected a request of another instance")
	}
}

func (r *Report) toPipeline() pipeline.Report {
	return pipeline.Report{
		StepTimeRatio: r.StepTimeRatio, CacheUsed: r.CacheUsed, CacheCapacity: r.CacheCapacity, From: r.From, To: r.To, HasLayers: r.HasLayers,
	}
}

// observe records the state that a replica reported, and returns whether it is that of the listed
// process: a report may be read late.
func (p *modelPool) observe(id string, r Report) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.StartTime != 0 && r.StartTime < p.startTimes[id] {
		return false
	}
	now := time.Now()
	p.fleet.Observe(now, id, r.toPipeline())
	p.answeredAt[id] = now
	return true
}
