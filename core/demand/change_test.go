package demand

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Parameters of the simulations in virtual time: nine instances in front of 40 replicas with
// eight slots each, digests every 200 ms, requests of two seconds.
const (
	trialInstances  = 9
	trialCapacity   = 320
	trialStep       = 10 * time.Millisecond
	trialPeriod     = 200 * time.Millisecond
	trialStale      = time.Second
	trialService    = 2 * time.Second
	trialChange     = 10 * time.Second
	trialFailure    = 20 * time.Second
	trialDetection  = 2 * time.Second
	trialEnd        = 30 * time.Second
	trialBusy       = 4
	trialBacklogged = 1000
	// trialUrgent is the number of urgent requests that arrive at each instance that becomes
	// busy.
	trialUrgent = 20
)

type policy string

const (
	equalShares     policy = "equal shares"
	immediate       policy = "row at once"
	paced           policy = "paced"
	urgentImmediate policy = "urgent at once"
)

// trialInstance is one simulated instance.
type trialInstance struct {
	id        string
	urgent    int
	queued    int
	endTimes  [2][]time.Duration // by rank
	view      *View
	published Digest
	failed    bool
	failedAt  time.Duration
}

// trial runs the instances in steps of virtual time. A digest published in one step is received
// in the next.
type trial struct {
	policy    policy
	pool      Pool
	rng       *rand.Rand
	instances []*trialInstance
	inbox     []Digest
	now       time.Duration
}

// trialResult holds the measurements of a simulation.
type trialResult struct {
	// utilizationBefore is the mean utilization of the capacity while only trialBusy
	// instances are busy.
	utilizationBefore float64
	// excess is the largest use above the capacity after the change, as a fraction of the
	// capacity, and excessTime how long the use was above it.
	excess     float64
	excessTime time.Duration
	// urgentWaited is the time until the last urgent request started.
	urgentWaited time.Duration
	// waited is the time until the instances that became busy held 90 % of their equal
	// shares.
	waited time.Duration
	// recovered is the time from the failure of an instance until the others used 95 % of the
	// capacity.
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
		{Workspace: "u", Queued: in.urgent, InFlight: len(in.endTimes[0]), Weight: WeightUnit},
		{Workspace: "u", Rank: 1, Queued: in.queued, InFlight: len(in.endTimes[1]), Weight: WeightUnit},
	}, 8)
}

// step delivers digests, ends requests, starts new ones and publishes digests.
func (tr *trial) step() {
	received := tr.inbox
	tr.inbox = nil
	var live []string
	for _, in := range tr.instances {
		if !in.failed || tr.now < in.failedAt+trialDetection {
			live = append(live, in.id)
		}
	}
	for i, in := range tr.instances {
		if in.failed {
			continue
		}
		for _, digest := range received {
			in.view.Observe(tr.clock(tr.now), trialStep, digest)
		}
		in.endTimes = [2][]time.Duration{unfinished(in.endTimes[0], tr.now), unfinished(in.endTimes[1], tr.now)}
		tr.start(in, live)
		offset := time.Duration(i) * trialPeriod / trialInstances / trialStep * trialStep
		if tr.now%trialPeriod == offset {
			in.published = Digest{Instance: in.id, Sequence: uint64(tr.now), Pools: []PoolDemand{tr.demand(in)}}
			in.view.Observe(tr.clock(tr.now), 0, in.published)
			tr.inbox = append(tr.inbox, in.published)
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
	published := in.view.Fresh(tr.clock(tr.now))
	limit := 0
	switch tr.policy {
	case equalShares:
		limit = trialCapacity / len(live)
	case immediate:
		limit = Shares(tr.pool, live, published, in.id, tr.demand(in)).Total()
	case paced:
		limit = PacedLimit(tr.pool, live, published, in.id, tr.demand(in))
	case urgentImmediate:
		limit = Limit(tr.pool, live, published, in.id, tr.demand(in))
	}
	for in.urgent > 0 && in.running() < limit {
		in.urgent--
		in.endTimes[0] = append(in.endTimes[0], tr.end())
	}
	for in.queued > 0 && in.running() < limit {
		in.queued--
		in.endTimes[1] = append(in.endTimes[1], tr.end())
	}
	if in.queued > 0 {
		in.queued = trialBacklogged
	}
}

func (in *trialInstance) running() int { return len(in.endTimes[0]) + len(in.endTimes[1]) }

// end returns when a request that starts now ends.
func (tr *trial) end() time.Duration {
	service := time.Duration(float64(trialService) * tr.rng.ExpFloat64())
	return tr.now + max(service, trialStep)
}

func (tr *trial) queuedUrgent() int {
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
			result.utilizationBefore += float64(tr.inFlight(0)) / trialCapacity
			steps++
		}
	}
	result.utilizationBefore /= steps
	for _, in := range tr.instances[trialBusy:] {
		in.queued, in.urgent = trialBacklogged, trialUrgent
	}
	tr.measureChange(&result)
	crashed := tr.instances[0]
	crashed.failed, crashed.failedAt, crashed.endTimes = true, tr.now, [2][]time.Duration{}
	for tr.now < trialEnd && tr.inFlight(0) < trialCapacity*95/100 {
		tr.step()
	}
	result.recovered = tr.now - trialFailure
	return result
}

func (tr *trial) measureChange(result *trialResult) {
	fair := trialCapacity * (trialInstances - trialBusy) / trialInstances
	for tr.now < trialFailure {
		tr.step()
		excess := float64(tr.inFlight(0))/trialCapacity - 1
		result.excess = max(result.excess, excess)
		if excess > 0 {
			result.excessTime += trialStep
		}
		if tr.queuedUrgent() > 0 {
			result.urgentWaited = tr.now - trialChange + trialStep
		}
		if result.waited == 0 && tr.inFlight(trialBusy) >= fair*9/10 {
			result.waited = tr.now - trialChange
		}
	}
}

// The simulation prints the figures of docs/design/demand.md. Its assertions come from the
// targets: other instances use the slots of a failed one within 5 s, the capacity is used while
// only some instances have demand, and pacing commits fewer slots twice than using the whole
// allocation at once.
func TestDemandChange(t *testing.T) {
	results := map[policy]trialResult{}
	for _, p := range []policy{equalShares, immediate, paced, urgentImmediate} {
		r := newTrial(p).run()
		results[p] = r
		t.Logf("%-14s use before %.2f, excess %.1f %% for %v, urgent started after %v, newly busy instances at 90 %% after %v, failed instance's slots used after %v",
			p, r.utilizationBefore, 100*r.excess, r.excessTime, r.urgentWaited, r.waited, r.recovered)
	}
	require.Less(t, results[paced].recovered, 5*time.Second)
	require.Greater(t, results[paced].utilizationBefore, 0.9)
	require.Less(t, results[paced].excess, results[immediate].excess/2)
	require.Less(t, results[urgentImmediate].recovered, 5*time.Second)
	require.Less(t, results[urgentImmediate].excess, results[immediate].excess)
	require.Less(t, results[urgentImmediate].urgentWaited, results[paced].urgentWaited)
	busy := float64(trialBusy) / trialInstances
	require.LessOrEqual(t, results[equalShares].utilizationBefore, math.Nextafter(busy, 1), "equal shares leave the slots of idle instances unused")
}
