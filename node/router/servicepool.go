package router

import (
	"sync"

	"masticbank.example/core/admission"
	"masticbank.example/core/config"
	"masticbank.example/node/wire"
)

// serviceSlots is the number of calls that one service replica takes at once.
const serviceSlots = 32

// servicePool holds the replicas and the queue of one plain service. It is
// safe for concurrent use.
type servicePool struct {
	name  string
	queue *queue

	mu       sync.Mutex
	cfg      config.ServiceConfig
	replicas map[string]*serviceReplica
}

type serviceReplica struct {
	instance wire.Instance
	inFlight int
	leaving  bool
}

func newServicePool(name string, cfg config.ServiceConfig, adm admission.Admitter, wake func()) *servicePool {
	return &servicePool{name: name, queue: newQueue(adm, wake), cfg: cfg, replicas: map[string]*serviceReplica{}}
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

func (s *servicePool) setInstances(list []wire.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	usable := 0
	for _, in := range list {
		if in.Role != wire.RoleService || in.Service != s.name {
			continue
		}
		listed[in.ID] = true
		rep, ok := s.replicas[in.ID]
		if !ok {
			rep = &serviceReplica{}
			s.replicas[in.ID] = rep
		}
		rep.instance = in
		rep.leaving = in.Leaving
		if !in.Leaving {
			usable++
		}
	}
	for id := range s.replicas {
		if !listed[id] {
			delete(s.replicas, id)
		}
	}
	s.queue.setCapacity(usable * serviceSlots)
}

// begin picks the usable replica with the fewest calls in flight, except those
// in exclude, and counts the call. It returns nil when there is none.
func (s *servicePool) begin(exclude map[string]bool) *serviceReplica {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *serviceReplica
	for id, rep := range s.replicas {
		if rep.leaving || exclude[id] {
			continue
		}
		if best == nil || rep.inFlight < best.inFlight || (rep.inFlight == best.inFlight && id < best.instance.ID) {
			best = rep
		}
	}
	if best != nil {
		best.inFlight++
	}
	return best
}

func (s *servicePool) end(rep *serviceReplica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep.inFlight--
}
