package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"masticbank.example/core/config"
)

// outcome records the results of the requests of one source.
type outcome struct {
	waits, totals           []float64 // seconds until dispatch and completion
	served, inTime, offered float64   // tokens
}

type job struct {
	id      string
	source  int
	arrived time.Time
	served  float64 // tokens
}

// simulation runs one pool with exponential service times in virtual time. Running
// requests share the slots of the engines; if the pool admits more requests than the
// engines have slots, rank 0 is served before the others.
type simulation struct {
	q          Admitter
	rng        *rand.Rand
	now        time.Time
	sources    []source
	outcomes   []outcome
	waiting    map[string]*job
	running    []*job
	arrived    int
	afterEvent func()
}

func simulate(q Admitter, slots int, sources []source, length time.Duration, afterEvent func()) []outcome {
	s := &simulation{
		q: q, rng: rand.New(rand.NewPCG(20261204, 1)), now: epoch, sources: sources,
		outcomes: make([]outcome, len(sources)), waiting: map[string]*job{}, afterEvent: afterEvent,
	}
	s.apply(q.SetSlots(s.now, slots))
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

// speeds returns the fraction of a slot that each running request of rank 0 and each of
// the other ranks gets.
func (s *simulation) speeds() (urgent, others float64) {
	n := 0.0
	for _, j := range s.running {
		if s.sources[j.source].rank == 0 {
			n++
		}
	}
	return min(1, simulatedSlots/n), min(1, max(0, simulatedSlots-n)/(float64(len(s.running))-n))
}

// event advances to the next arrival or completion.
func (s *simulation) event() {
	arrivals, completions := 0.0, 0.0
	for _, src := range s.sources {
		arrivals += src.load * capacity / src.cost
	}
	fast, slow := s.speeds()
	rate := func(j *job) float64 {
		src := s.sources[j.source]
		if src.rank == 0 {
			return fast * slotRate / src.cost
		}
		return slow * slotRate / src.cost
	}
	for _, j := range s.running {
		completions += rate(j)
	}
	pause := s.rng.ExpFloat64() / (arrivals + completions)
	s.now = s.now.Add(secondsToDuration(pause))
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
	s.outcomes[i].offered += src.cost
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
	o.totals = append(o.totals, s.now.Sub(j.arrived).Seconds())
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
			continue
		}
		o := &s.outcomes[j.source]
		o.waits = append(o.waits, s.now.Sub(j.arrived).Seconds())
		s.running = append(s.running, j)
	}
	s.afterEvent()
}
