package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"masticbank.example/core/admission"
	"masticbank.example/core/config"
	"masticbank.example/core/execution"
	"masticbank.example/core/health"
	"masticbank.example/core/poison"
	"masticbank.example/node/service"
	"masticbank.example/node/wire"
)

// serviceSlots is the number of concurrent calls to one service replica.
const serviceSlots = 32

// serviceOptions holds what a service pool shares with its router.
type serviceOptions struct {
	reporter
	client *service.Client
	poison *poisonTracker
	// background runs a function in a goroutine that Router.Close waits for.
	background func(func())
	// onWait is called when a request has to wait for a slot.
	onWait func()
	seed   uint64
}

// servicePool holds the replicas and the queue of one plain service. It is safe for
// concurrent use.
type servicePool struct {
	serviceOptions
	name  string
	queue *queue

	mu       sync.Mutex
	cfg      config.ServiceConfig
	replicas map[string]*serviceReplica
	group    *health.Group
	random   *rand.Rand
	calls    uint64 // number of the most recent call
}

func newServicePool(name string, cfg config.ServiceConfig, admitter admission.Admitter, o serviceOptions) *servicePool {
	return &servicePool{
		serviceOptions: o,
		name:           name,
		queue:          newQueue(admitter, o.onWait),
		cfg:            cfg,
		replicas:       map[string]*serviceReplica{},
		group:          health.NewGroup(maxEjectedShare),
		random:         rand.New(rand.NewPCG(o.seed, uint64(len(name)))),
	}
}

func (s *servicePool) configure(cfg config.ServiceConfig, policy admission.Config) {
	s.mu.Lock()
	s.cfg = cfg
	s.mu.Unlock()
	s.queue.configure(policy)
}

func (s *servicePool) config() config.ServiceConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg
}

// setInstances applies the platform's instance list.
func (s *servicePool) setInstances(list []wire.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	for _, in := range list {
		if in.Role != wire.RoleService || in.Service != s.name {
			continue
		}
		listed[in.ID] = true
		s.upsert(in)
	}
	for id, rep := range s.replicas {
		if !listed[id] {
			s.step(rep, health.Unlisted{})
		}
	}
}

// upsert adds or updates the replica of one list entry. A replica that moved to
// another address is replaced, and its state starts from scratch.
func (s *servicePool) upsert(in wire.Instance) {
	rep, ok := s.replicas[in.ID]
	if ok && rep.instance.Address != in.Address {
		rep.failAttempts()
		s.step(rep, health.Leaving{Source: health.FromList})
		s.step(rep, health.Unlisted{})
		ok = false
	}
	if !ok {
		rep = newServiceReplica(in, health.NewUpstream(health.DefaultConfig(), s.group, s.random.Uint64()))
		s.replicas[in.ID] = rep
	}
	rep.instance = in
	s.step(rep, health.Listed{Leaving: in.Leaving})
}

// listed returns the replicas that are not leaving. Their load reports have to be
// read.
func (s *servicePool) listed() []*serviceReplica {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*serviceReplica, 0, len(s.replicas))
	for _, rep := range s.replicas {
		if !rep.health.Leaving() {
			out = append(out, rep)
		}
	}
	return out
}

// markLeaving records that a replica is leaving, and reports whether the pool has the
// replica.
func (s *servicePool) markLeaving(id string, source health.Source) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep, ok := s.replicas[id]
	if ok {
		s.step(rep, health.Leaving{Source: source})
	}
	return ok
}

// tick delivers a health.Tick to every replica whose timer has expired.
func (s *servicePool) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rep := range s.replicas {
		if at, ok := rep.health.Deadline(); ok && !now.Before(at) {
			s.step(rep, health.Tick{})
		}
	}
}

// observe passes an event to the health state machine of a replica.
func (s *servicePool) observe(rep *serviceReplica, e health.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(rep, e)
}

// recordConnectionLoss handles a call whose connection broke. Unless nothing was sent,
// the request is kept as a possible cause in case the replica turns out to have
// crashed.
func (s *servicePool) recordConnectionLoss(c serviceCall, f poison.Fingerprint, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failure *service.Error
	if !errors.As(err, &failure) || failure.Execution != execution.NotRun {
		c.replica.lostCalls[c.number] = f
	}
	s.step(c.replica, health.ConnectionFailed{Connection: c.number})
}

// step passes an event to the health state machine of a replica and performs the
// resulting effects. The caller must hold s.mu.
func (s *servicePool) step(rep *serviceReplica, e health.Event) {
	if !s.reporter.step(rep.instance.ID, rep.health, e, &serviceActions{pool: s, replica: rep}) {
		return
	}
	usable := 0
	for _, rep := range s.replicas {
		if rep.health.Weight() > 0 {
			usable++
		}
	}
	s.queue.setCapacity(usable * serviceSlots)
}

// serviceCall is one call to a replica.
type serviceCall struct {
	number  uint64
	replica *serviceReplica
	id      string
	address string
	// attemptCtx is cancelled to end all open calls to the replica.
	attemptCtx context.Context
	// probeAfter is the time without a response after which the replica is probed.
	probeAfter time.Duration
}

// beginCall starts a call on the replica with the fewest calls in flight relative to
// its weight, skipping those in exclude. It returns false if there is none.
func (s *servicePool) beginCall(exclude map[string]bool) (serviceCall, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *serviceReplica
	for id, rep := range s.replicas {
		if rep.health.Weight() == 0 || exclude[id] {
			continue
		}
		if best == nil || rep.lessLoadedThan(best) {
			best = rep
		}
	}
	if best == nil {
		return serviceCall{}, false
	}
	best.inFlight++
	s.calls++
	return serviceCall{
		number:     s.calls,
		replica:    best,
		id:         best.instance.ID,
		address:    best.instance.Address,
		attemptCtx: best.attemptCtx,
		probeAfter: s.cfg.Timeout / 2,
	}, true
}

func (s *servicePool) endCall(c serviceCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.replica.inFlight--
}
