package demand

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Figures of the virtual-time trials: nine instances before 40 replicas of eight
// slots, digests every 200 ms, requests of two seconds.
const (
	trialInstances  = 9
	trialCapacity   = 320
	trialStep       = 10 * time.Millisecond
	trialPeriod     = 200 * time.Millisecond
	trialStale      = time.Second
	trialService    = 2 * time.Second
	trialChange     = 10 * time.Second
	trialKill       = 20 * time.Second
	trialDetection  = 2 * time.Second
	trialEnd        = 30 * time.Second
	trialBusy       = 4
	trialBacklogged = 1000
	// trialUrgent is the number of urgent requests that come to each newcomer.
	trialUrgent = 20
)

type policy string

const (
	equalShares policy = "equal shares"
	rowAtOnce   policy = "row at once"
	paced       policy = "paced"
	urgentFirst policy = "urgent at once"
)

// trialInstance is one instance of a trial.
type trialInstance struct {
	id      string
	urgent  int
	queued  int
	ends    [2][]time.Duration // by rank
	view    *View
	told    Digest
	dead    bool
	deadFor time.Duration
}

// trial runs the instances in steps of virtual time. A digest that is told in
// one step is heard in the next.
type trial struct {
	policy    policy
	pool      Pool
	rng       *rand.Rand
	instances []*trialInstance
	inbox     []Digest
	now       time.Duration
}

// trialResult holds what a trial measured.
type trialResult struct {
	// before is the mean use of the capacity by the busy instances alone.
	before float64
	// excess is the largest use above the capacity after the change, as a
	// fraction of it, and excessTime how long the use was above.
	excess     float64
	excessTime time.Duration
	// urgentWaited is the time until the last urgent request has started.
	urgentWaited time.Duration
	// waited is the time until the new claimants held 90 % of equal shares.
	waited time.Duration
	// recovered is the time from the death of an instance until the others
	// used 95 % of the capacity.
	recovered time.Duration
}

func newTrial(p policy) *trial {
	tr := &trial{policy: p, rng: rand.New(rand.NewPCG(1, 20261204))}
	tr.pool = Pool{Name: testPool, Capacity: trialCapacity, MinShares: []float64{0.1, 0.05}}
	for i := range trialInstances {
		in := &trialInstance{id: fmt.Sprintf("m%d", i), view: NewView(trialStale)}
		if i < trialBusy {
			in.queued = trialBacklogged
		}
		tr.instances = append(tr.instances, in)
	}
	return tr
}

func (tr *trial) clock(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

func (tr *trial) demand(in *trialInstance) PoolDemand {
	return Summarize(testPool, 2, []Load{
		{Workspace: "u", Queued: in.urgent, InFlight: len(in.ends[0]), Weight: WeightUnit},
		{Workspace: "u", Rank: 1, Queued: in.queued, InFlight: len(in.ends[1]), Weight: WeightUnit},
	}, 8)
}

// step delivers digests, ends requests, starts new ones and tells digests.
func (tr *trial) step() {
	heard := tr.inbox
	tr.inbox = nil
	var live []string
	for _, in := range tr.instances {
		if !in.dead || tr.now < in.deadFor+trialDetection {
			live = append(live, in.id)
		}
	}
	for i, in := range tr.instances {
		if in.dead {
			continue
		}
		for _, digest := range heard {
			in.view.Observe(tr.clock(tr.now), trialStep, digest)
		}
		in.ends = [2][]time.Duration{unfinished(in.ends[0], tr.now), unfinished(in.ends[1], tr.now)}
		tr.start(in, live)
		offset := time.Duration(i) * trialPeriod / trialInstances / trialStep * trialStep
		if tr.now%trialPeriod == offset {
			in.told = Digest{Instance: in.id, Sequence: uint64(tr.now), Pools: []PoolDemand{tr.demand(in)}}
			in.view.Observe(tr.clock(tr.now), 0, in.told)
			tr.inbox = append(tr.inbox, in.told)
		}
	}
	tr.now += trialStep
}

func unfinished(ends []time.Duration, now time.Duration) []time.Duration {
	kept := ends[:0]
	for _, end := range ends {
		if end > now {
			kept = append(kept, end)
		}
	}
	return kept
}

func (tr *trial) start(in *trialInstance, live []string) {
	told := in.view.Fresh(tr.clock(tr.now))
	limit := 0
	switch tr.policy {
	case equalShares:
		limit = trialCapacity / len(live)
	case rowAtOnce:
		limit = Shares(tr.pool, live, told, in.id, tr.demand(in)).Total()
	case paced:
		limit = Pace(tr.pool, live, told, in.id, tr.demand(in))
	case urgentFirst:
		limit = Limit(tr.pool, live, told, in.id, tr.demand(in))
	}
	for in.urgent > 0 && in.running() < limit {
		in.urgent--
		in.ends[0] = append(in.ends[0], tr.end())
	}
	for in.queued > 0 && in.running() < limit {
		in.queued--
		in.ends[1] = append(in.ends[1], tr.end())
	}
	if in.queued > 0 {
		in.queued = trialBacklogged
	}
}

func (in *trialInstance) running() int { return len(in.ends[0]) + len(in.ends[1]) }

// end returns when a request that starts now ends.
func (tr *trial) end() time.Duration {
	service := time.Duration(float64(trialService) * tr.rng.ExpFloat64())
	return tr.now + max(service, trialStep)
}

func (tr *trial) waitingUrgent() int {
	sum := 0
	for _, in := range tr.instances {
		sum += in.urgent
	}
	return sum
}

func (tr *trial) inFlight(from int) int {
	sum := 0
	for _, in := range tr.instances[from:] {
		sum += in.running()
	}
	return sum
}

func (tr *trial) run() trialResult {
	var result trialResult
	steps := 0.0
	for tr.now < trialChange {
		tr.step()
		if tr.now >= trialChange/2 {
			result.before += float64(tr.inFlight(0)) / trialCapacity
			steps++
		}
	}
	result.before /= steps
	for _, in := range tr.instances[trialBusy:] {
		in.queued, in.urgent = trialBacklogged, trialUrgent
	}
	tr.measureChange(&result)
	killed := tr.instances[0]
	killed.dead, killed.deadFor, killed.ends = true, tr.now, [2][]time.Duration{}
	for tr.now < trialEnd && tr.inFlight(0) < trialCapacity*95/100 {
		tr.step()
	}
	result.recovered = tr.now - trialKill
	return result
}

func (tr *trial) measureChange(result *trialResult) {
	fair := trialCapacity * (trialInstances - trialBusy) / trialInstances
	for tr.now < trialKill {
		tr.step()
		excess := float64(tr.inFlight(0))/trialCapacity - 1
		result.excess = max(result.excess, excess)
		if excess > 0 {
			result.excessTime += trialStep
		}
		if tr.waitingUrgent() > 0 {
			result.urgentWaited = tr.now - trialChange + trialStep
		}
		if result.waited == 0 && tr.inFlight(trialBusy) >= fair*9/10 {
			result.waited = tr.now - trialChange
		}
	}
}

// The trial prints the figures of docs/design/demand.md. What it asserts comes
// from the targets: slots of a dead instance are used by others within 5 s, the
// capacity is used while some instances have all the demand, and pacing commits
// fewer slots twice than taking the row at once.
func TestChangeOfDemand(t *testing.T) {
	results := map[policy]trialResult{}
	for _, p := range []policy{equalShares, rowAtOnce, paced, urgentFirst} {
		r := newTrial(p).run()
		results[p] = r
		t.Logf("%-14s use before %.2f, excess %.1f %% for %v, urgent started after %v, new claimants at 90 %% after %v, dead instance's slots used after %v",
			p, r.before, 100*r.excess, r.excessTime, r.urgentWaited, r.waited, r.recovered)
	}
	require.Less(t, results[paced].recovered, 5*time.Second)
	require.Greater(t, results[paced].before, 0.9)
	require.Less(t, results[paced].excess, results[rowAtOnce].excess/2)
	require.Less(t, results[urgentFirst].recovered, 5*time.Second)
	require.Less(t, results[urgentFirst].excess, results[rowAtOnce].excess)
	require.Less(t, results[urgentFirst].urgentWaited, results[paced].urgentWaited)
	busy := float64(trialBusy) / trialInstances
	require.LessOrEqual(t, results[equalShares].before, math.Nextafter(busy, 1), "what digests are for")
}
