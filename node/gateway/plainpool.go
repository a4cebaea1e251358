package gateway

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"masticbank.example/core/forward"
	"masticbank.example/core/pause"
	"masticbank.example/core/roster"
)

const (
	// ejectTime is the first time out of use of a replica that fails; it doubles
	// with each failure in a row up to maxEjectTime.
	ejectTime    = 300 * time.Millisecond
	maxEjectTime = 3 * time.Second
	// ejectAfter is the number of failures in a row that take a replica out of use.
	ejectAfter = 2
	// loadAge is how long the load that a replica states counts.
	loadAge = 500 * time.Millisecond
)

// plainPool chooses among the replicas of a plain service: the one with the
// least work, by the calls of this instance and by what the replica last stated.
// It is safe for concurrent use.
type plainPool struct {
	mu       sync.Mutex
	zone     string
	replicas map[string]*plainReplica
	pauses   *pause.List
}

type plainReplica struct {
	Replica
	zone     string
	slots    int
	inFlight int
	// stated is the load that the replica told at statedAt.
	stated   int
	statedAt time.Time
	failures int
	outUntil time.Time
	// typical is a moving mean of the time of answers.
	typical time.Duration
}

func newPlainPool(zone string) *plainPool {
	return &plainPool{zone: zone, replicas: map[string]*plainReplica{}, pauses: pause.New()}
}

// set replaces the list of replicas.
func (p *plainPool) set(entries []roster.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*plainReplica, len(entries))
	for _, e := range entries {
		r := p.replicas[e.ID]
		if r == nil || r.Address != e.Address {
			r = &plainReplica{}
		}
		r.Replica = Replica{ID: e.ID, Address: e.Address, Born: e.Born}
		r.zone, r.slots = e.Zone, e.Slots
		next[e.ID] = r
	}
	p.replicas = next
	p.pauses.Prune(time.Now())
}

// pause keeps requests off a replica that asked for it, and returns until when.
func (p *plainPool) pause(r Replica, d time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses.Add(time.Now(), r.ID, r.Born, d, rand.Float64())
}

// paused returns the time until the first replica takes requests again if all of them
// asked for a pause, else 0.
func (p *plainPool) paused(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var least time.Duration
	for id, r := range p.replicas {
		end, ok := p.pauses.Until(now, id, r.Born)
		if !ok {
			return 0
		}
		if left := end.Sub(now); least == 0 || left < least {
			least = left
		}
	}
	return least
}

// pick returns the replica with the least work that was not tried and has not asked for
// a pause. Replicas that fail are used only when no other one is left.
func (p *plainPool) pick(now time.Time, tried map[string]bool) (Replica, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*plainReplica
	for id, r := range p.replicas {
		if _, paused := p.pauses.Until(now, id, r.Born); !tried[id] && !paused {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return Replica{}, false
	}
	sort.Slice(list, func(i, j int) bool { return p.better(now, list[i], list[j]) })
	return list[0].Replica, true
}

func (p *plainPool) better(now time.Time, a, b *plainReplica) bool {
	if outA, outB := now.Before(a.outUntil), now.Before(b.outUntil); outA != outB {
		return outB
	}
	if la, lb := a.work(now), b.work(now); la != lb {
		return la < lb
	}
	if za, zb := a.zone == p.zone, b.zone == p.zone; za != zb {
		return za
	}
	return a.ID < b.ID
}

// work is the expected time behind the calls that are there, in units of the
// typical answer.
func (r *plainReplica) work(now time.Time) float64 {
	calls := r.inFlight
	if now.Sub(r.statedAt) < loadAge {
		calls = max(calls, r.stated)
	}
	pace := max(r.typical, time.Millisecond).Seconds()
	over := max(0, calls+1-max(1, r.slots))
	return pace * float64(1+over)
}

// listed tells whether a replica, or a later process of it, may get new work.
func (p *plainPool) listed(r Replica) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replicas[r.ID] != nil
}

func (p *plainPool) begin(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.replicas[id]; r != nil {
		r.inFlight++
	}
}

// loaded takes the load that a replica states.
func (p *plainPool) loaded(id string, a Answer) {
	if !a.HasLoad {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.replicas[id]; r != nil {
		r.stated, r.statedAt = a.Running+a.Waiting, time.Now()
	}
}

// typicalWeight is the weight of a new answer in the moving mean.
const typicalWeight = 0.1

// end takes the outcome of a call.
func (p *plainPool) end(now time.Time, id string, o forward.Outcome, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replicas[id]
	if r == nil {
		return
	}
	r.inFlight = max(0, r.inFlight-1)
	switch o {
	case forward.Answered, forward.Failed:
		r.failures = 0
		r.outUntil = time.Time{}
		if r.typical == 0 {
			r.typical = took
		}
		r.typical += time.Duration(float64(took-r.typical) * typicalWeight)
	case forward.Lost, forward.Unsent:
		r.failures++
		if r.failures >= ejectAfter || o == forward.Unsent {
			r.outUntil = now.Add(min(maxEjectTime, ejectTime<<min(r.failures, 4)))
		}
	case forward.Rejected:
	}
}
