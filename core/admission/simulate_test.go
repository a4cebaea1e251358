package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"masticbank.example/core/config"
)

const (
	simulatedSlots = 32
	slotPace       = 100.0 // tokens a second of one slot
	capacity       = simulatedSlots * slotPace
)

// simulatedDeadlines are the callers' deadlines by rank.
var simulatedDeadlines = []time.Duration{10 * time.Second, 30 * time.Second, 2 * time.Minute}

// source sends requests of one workspace and rank as a Poisson process. Their
// costs are exponential; the estimate is the mean.
type source struct {
	workspace string
	rank      int
	load      float64 // offered tokens a second over capacity
	cost      float64 // mean tokens
}

// outcome is what became of the requests of one source.
type outcome struct {
	arrived, refused       int
	waits                  []float64 // seconds, of dispatched requests
	served, inTime, offers float64   // tokens
}

type job struct {
	id                  string
	source              int
	arrived, dispatched time.Time
	served              float64 // tokens
}

// simulation is one pool with exponential service in virtual time. Requests
// beyond the pool's slots share them, rank 0 before the others.
type simulation struct {
	q        Admitter
	rng      *rand.Rand
	now      time.Time
	sources  []source
	outcomes []outcome
	waiting  map[string]*job
	running  []*job
	arrived  int
	// afterEvent runs after each event.
	afterEvent func()
}

func simulate(q Admitter, slots int, sources []source, length time.Duration, afterEvent func()) []outcome {
	s := &simulation{
		q: q, rng: rand.New(rand.NewPCG(20261204, 1)), now: epoch, sources: sources,
		outcomes: make([]outcome, len(sources)), waiting: map[string]*job{}, afterEvent: afterEvent,
	}
	s.apply(q.Capacity(s.now, slots))
	end, tick := epoch.Add(length), epoch
	for s.now.Before(end) {
		s.event()
		if s.now.After(tick) {
			tick = s.now.Add(100 * time.Millisecond)
			s.apply(q.Tick(s.now))
		}
	}
	return s.outcomes
}

// speed is the part of a slot that a running request gets.
func (s *simulation) speed(rank int) float64 {
	urgent := 0
	for _, j := range s.running {
		if s.sources[j.source].rank == 0 {
			urgent++
		}
	}
	if rank == 0 {
		return min(1, simulatedSlots/float64(urgent))
	}
	return min(1, max(0, float64(simulatedSlots-urgent))/float64(len(s.running)-urgent))
}

// event advances to the next arrival or completion.
func (s *simulation) event() {
	arrivals, completions := 0.0, 0.0
	for _, src := range s.sources {
		arrivals += src.load * capacity / src.cost
	}
	fast, slow := s.speed(0), s.speed(1)
	rate := func(j *job) float64 {
		if s.sources[j.source].rank == 0 {
			return fast * slotPace / s.sources[j.source].cost
		}
		return slow * slotPace / s.sources[j.source].cost
	}
	for _, j := range s.running {
		completions += rate(j)
	}
	pause := s.rng.ExpFloat64() / (arrivals + completions)
	s.now = s.now.Add(duration(pause))
	for _, j := range s.running {
		j.served += pause * rate(j) * s.sources[j.source].cost
	}
	pick := s.rng.Float64() * (arrivals + completions)
	for i, src := range s.sources {
		if pick -= src.load * capacity / src.cost; pick < 0 {
			s.arrive(i)
			return
		}
	}
	for i, j := range s.running {
		if pick -= rate(j); pick < 0 || i == len(s.running)-1 {
			s.complete(i)
			return
		}
	}
}

func (s *simulation) arrive(i int) {
	src := s.sources[i]
	j := &job{id: fmt.Sprint(s.arrived), source: i, arrived: s.now}
	s.arrived++
	s.outcomes[i].arrived++
	s.outcomes[i].offers += src.cost
	s.waiting[j.id] = j
	s.apply(s.q.Arrive(s.now, Request{
		ID: j.id, Workspace: src.workspace, Rank: config.Rank(src.rank), Cost: src.cost,
		Deadline: s.now.Add(simulatedDeadlines[src.rank]),
	}))
}

func (s *simulation) complete(i int) {
	j := s.running[i]
	s.running = slices.Delete(s.running, i, i+1)
	o := &s.outcomes[j.source]
	o.served += j.served
	if s.now.Sub(j.arrived) <= simulatedDeadlines[s.sources[j.source].rank] {
		o.inTime += j.served
	}
	s.apply(s.q.Done(s.now, j.id, j.served))
}

func (s *simulation) apply(effects []Effect) {
	for _, e := range effects {
		j := s.waiting[e.ID]
		delete(s.waiting, e.ID)
		if e.Kind == Refuse {
			s.outcomes[j.source].refused++
			continue
		}
		j.dispatched = s.now
		s.outcomes[j.source].waits = append(s.outcomes[j.source].waits, s.now.Sub(j.arrived).Seconds())
		s.running = append(s.running, j)
	}
	s.afterEvent()
}
