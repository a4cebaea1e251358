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
	// An ejection lasts baseEjection, doubled for each failure in a row, up to maxEjection.
	baseEjection = 300 * time.Millisecond
	maxEjection  = 3 * time.Second
	// ejectionThreshold is the number of failures in a row after which a replica is ejected.
	// A request that could not be sent ejects it immediately.
	ejectionThreshold = 2
	// maxLoadAge is how long the load that a replica reported is used.
	maxLoadAge = 500 * time.Millisecond
)

// plainPool selects replicas of a plain service by least expected work, from the requests
// of this instance and the load that each replica last reported. It is safe for concurrent
// use.
type plainPool struct {
	mu       sync.Mutex
	zone     string
	replicas map[string]*plainReplica
	pauses   *pause.List
}

// plainReplica is a replica in a plainPool.
type plainReplica struct {
	Replica
	zone     string
	slots    int
	inFlight int
	// reportedLoad is the load that the replica reported at reportedAt.
	reportedLoad int
	reportedAt   time.Time
	failures     int
	ejectedUntil time.Time
	// meanDuration is an exponential moving average of the response time.
	meanDuration time.Duration
}

func newPlainPool(zone string) *plainPool {
	return &plainPool{zone: zone, replicas: map[string]*plainReplica{}, pauses: pause.New()}
}

// setReplicas replaces the list of replicas. The state of those that keep their address
// stays.
func (p *plainPool) setReplicas(entries []roster.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*plainReplica, len(entries))
	for _, e := range entries {
		r := p.replicas[e.ID]
		if r == nil || r.Address != e.Address {
			r = &plainReplica{}
		}
		r.Replica = Replica{ID: e.ID, Address: e.Address, StartTime: e.StartTime}
		r.zone, r.slots = e.Zone, e.Slots
		next[e.ID] = r
	}
	p.replicas = next
	p.pauses.Prune(time.Now())
}

// pause keeps requests away from a replica that asked for a pause, and returns its end.
func (p *plainPool) pause(r Replica, d time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses.Add(time.Now(), r.ID, r.StartTime, d, rand.Float64())
}

// paused returns the time until the first pause ends if all replicas asked for one, else 0.
func (p *plainPool) paused(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var shortest time.Duration
	for id, r := range p.replicas {
		end, ok := p.pauses.Until(now, id, r.StartTime)
		if !ok {
			return 0
		}
		if remaining := end.Sub(now); shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}

// selectReplica returns the replica with the least expected work among those that have not
// been tried and have not asked for a pause. Ejected replicas are used only if no other is
// left.
func (p *plainPool) selectReplica(now time.Time, tried map[string]bool) (Replica, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*plainReplica
	for id, r := range p.replicas {
		if _, paused := p.pauses.Until(now, id, r.StartTime); !tried[id] && !paused {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return Replica{}, false
	}
	sort.Slice(list, func(i, j int) bool { return p.less(now, list[i], list[j]) })
	return list[0].Replica, true
}

// less orders replicas: not ejected first, then least work, then the zone of this instance.
func (p *plainPool) less(now time.Time, a, b *plainReplica) bool {
	if ejectedA, ejectedB := now.Before(a.ejectedUntil), now.Before(b.ejectedUntil); ejectedA != ejectedB {
		return ejectedB
	}
	if la, lb := a.expectedTime(now), b.expectedTime(now); la != lb {
		return la < lb
	}
	if za, zb := a.zone == p.zone, b.zone == p.zone; za != zb {
		return za
	}
	return a.ID < b.ID
}

// expectedTime is the expected time of a new request on the replica: the average response
// time, multiplied by one plus the number of requests above its slots.
func (r *plainReplica) expectedTime(now time.Time) float64 {
	requests := r.inFlight
	if now.Sub(r.reportedAt) < maxLoadAge {
		requests = max(requests, r.reportedLoad)
	}
	mean := max(r.meanDuration, time.Millisecond).Seconds()
	queued := max(0, requests+1-max(1, r.slots))
	return mean * float64(1+queued)
}

// listed reports whether the replica, in this or a later process, may get new work.
func (p *plainPool) listed(r Replica) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replicas[r.ID] != nil
}

// recordMoved records that another replica responds at the address of the chosen one. A list that is
// old shows this address until it is read again, or until a store outage is over.
func (p *plainPool) recordMoved(now time.Time, chosen Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.replicas[chosen.ID]; r != nil && r.Replica == chosen {
		r.ejectedUntil = now.Add(maxEjection)
	}
}

// mayGet reports whether a replica that was chosen earlier may still get a request: the same process
// is listed at the same address and has not asked for a pause.
func (p *plainPool) mayGet(now time.Time, chosen Replica) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replicas[chosen.ID]
	if r == nil || r.Replica != chosen {
		return false
	}
	_, paused := p.pauses.Until(now, chosen.ID, chosen.StartTime)
	return !paused
}

// recordSend records that a request is sent to the replica.
func (p *plainPool) recordSend(to Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.replicas[to.ID]; r != nil && r.counts(to) {
		r.inFlight++
	}
}

// counts reports whether requests to a process of the replica are in its count. It is kept over a restart
// with the same address.
func (r *plainReplica) counts(to Replica) bool {
	return r.Address == to.Address || !startedLater(r.StartTime, to.StartTime)
}

// recordLoad records the load that a replica reports with a response, unless a later process of it is
// listed.
func (p *plainPool) recordLoad(from Replica, info Response) {
	if !info.HasLoad {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.replicas[from.ID]; r != nil && !startedLater(r.StartTime, from.StartTime) {
		r.reportedLoad, r.reportedAt = info.Running+info.Waiting, time.Now()
	}
}

// meanWeight is the weight of a new response in the moving average.
const meanWeight = 0.1

// recordOutcome records the outcome of a request to a replica. It says nothing about a later process.
func (p *plainPool) recordOutcome(now time.Time, to Replica, o forward.Outcome, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replicas[to.ID]
	if r == nil {
		return
	}
	if r.counts(to) {
		r.inFlight = max(0, r.inFlight-1)
	}
	if !startedLater(r.StartTime, to.StartTime) {
		r.recordHealth(now, o, took)
	}
}

// recordHealth records what the outcome of a request says about its replica.
func (r *plainReplica) recordHealth(now time.Time, o forward.Outcome, took time.Duration) {
	switch o {
	case forward.Responded, forward.Failed:
		r.failures = 0
		r.ejectedUntil = time.Time{}
		if r.meanDuration == 0 {
			r.meanDuration = took
		}
		r.meanDuration += time.Duration(float64(took-r.meanDuration) * meanWeight)
	case forward.Lost, forward.Unsent:
		r.failures++
		if r.failures >= ejectionThreshold || o == forward.Unsent {
			r.ejectedUntil = now.Add(min(maxEjection, baseEjection<<min(r.failures, 4)))
		}
	case forward.Rejected, forward.Withheld:
	}
}
