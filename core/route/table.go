package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Table holds the replicas of one model and chooses paths through them. It is
// not safe for concurrent use.
type Table struct {
	layers int
	// instances is the number of instances that dispatch to the replicas.
	instances int
	// self and live are the IDs of this instance and of all live ones; live is
	// nil until SetMembers is called.
	self string
	live []string
	// withinShares limits the current choice to this instance's shares of the
	// replicas' limits.
	withinShares bool
	replicas     map[string]*replica
	// groupsFrom lists the groups that begin at a layer.
	groupsFrom       [][]*group
	acceleratorTimes map[string]*tokenTimes
	cache            *cacheIndex
	policy           policy
	// roundRobinTurns counts the choices per first layer, for PolicyRoundRobin.
	roundRobinTurns []uint64
	// stamp is the sequence number of the current choice. Marks on replicas
	// carry it, so that they expire without being cleared.
	stamp uint64

	choiceRate choiceRate
	// tolerance applies to the current choice.
	tolerance float64
	// lowestCost is the lowest cost from each layer boundary to the end in the
	// current choice.
	lowestCost         []float64
	source             rand.PCG
	candidates         []candidate
	reachableFromStart []bool
	reachesEnd         []bool
}

// group holds the replicas with equal ranges of layers.
type group struct {
	first int
	// nextLayer is the layer after the range.
	nextLayer int
	members   []*replica
}

// NewTable returns an empty table for a model with the given number of layers
// that chooses by the given policy.
func NewTable(layers int, p Policy) *Table {
	return &Table{
		layers:             layers,
		instances:          1,
		replicas:           make(map[string]*replica),
		groupsFrom:         make([][]*group, layers),
		acceleratorTimes:   make(map[string]*tokenTimes),
		cache:              newCacheIndex(maxCacheHints),
		policy:             newPolicy(p),
		roundRobinTurns:    make([]uint64, layers),
		lowestCost:         make([]float64, layers+1),
		reachableFromStart: make([]bool, layers+1),
		reachesEnd:         make([]bool, layers+1),
	}
}

// Layers returns the model's number of layers.
func (t *Table) Layers() int {
	return t.layers
}

// Len returns the number of replicas.
func (t *Table) Len() int {
	return len(t.replicas)
}

// maxInstances bounds the factor by which dispatches of other instances are
// extrapolated.
const maxInstances = 16

// SetInstances sets the number of instances, including this one, that dispatch
// to the replicas. All see the same load reports, so what this instance
// dispatched since a report is taken as a sample of what each of them did.
func (t *Table) SetInstances(n int) {
	t.instances = min(max(n, 1), maxInstances)
}

// Upsert adds a replica with weight 1 or updates a known one. A changed range
// of layers discards what was measured for the old one: load, token times and
// cached blocks. It returns a *RangeError, and leaves the table unchanged, if
// the layers do not fit the model.
func (t *Table) Upsert(r Replica) error {
	if r.First < 0 || r.Last < r.First || r.Last >= t.layers {
		return &RangeError{Replica: r, Layers: t.layers}
	}
	old, ok := t.replicas[r.ID]
	if !ok {
		t.insert(&replica{Replica: r, weight: 1, acceleratorTimes: t.timesOf(r.Accelerator)})
		return nil
	}
	if old.First == r.First && old.Last == r.Last {
		old.Replica = r
		old.acceleratorTimes = t.timesOf(r.Accelerator)
		return nil
	}
	t.detach(old)
	t.insert(&replica{
		Replica:          r,
		weight:           old.weight,
		limit:            old.limit,
		inFlight:         old.inFlight,
		latency:          old.latency,
		acceleratorTimes: t.timesOf(r.Accelerator),
	})
	return nil
}

// Remove removes a replica. An unknown ID is ignored.
func (t *Table) Remove(id string) {
	if r, ok := t.replicas[id]; ok {
		t.detach(r)
	}
}

// SetWeight sets the share of a replica's full capacity, 0 to 1, that may be
// used. A replica with weight 0 is not used.
func (t *Table) SetWeight(id string, weight float64) {
	if r, ok := t.replicas[id]; ok {
		r.weight = min(max(weight, 0), 1)
	}
}

// SetLimit sets the maximum number of requests in flight on a replica, of all
// instances; 0 means no limit.
func (t *Table) SetLimit(id string, limit int) {
	if r, ok := t.replicas[id]; ok {
		r.limit = max(limit, 0)
	}
}

// SetLatency sets the one-way network latency to a replica. Every step crosses
// the link twice.
func (t *Table) SetLatency(id string, d time.Duration) {
	if r, ok := t.replicas[id]; ok {
		r.latency = max(d, 0).Seconds()
	}
}

// RecordDispatch records that this instance dispatched a request with the given
// number of prompt tokens to a replica.
func (t *Table) RecordDispatch(id string, tokens int) {
	if r, ok := t.replicas[id]; ok {
		r.recordDispatch(tokens)
	}
}

// RecordEnd records the end of a request that RecordDispatch has recorded.
func (t *Table) RecordEnd(id string, tokens int) {
	if r, ok := t.replicas[id]; ok {
		r.recordEnd(tokens)
	}
}

// ApplyLoad applies a replica's load report received at time now. Reports older
// than the last one are ignored.
func (t *Table) ApplyLoad(now time.Time, id string, load Load) {
	if r, ok := t.replicas[id]; ok {
		r.applyLoad(now.UnixNano(), load)
	}
}

// RecordSteps records the measured duration, including the network, of steps
// that ran the given numbers of tokens on a replica. Prefill tokens served from
// the prefix cache must not be included.
func (t *Table) RecordSteps(id string, prefillTokens, decodeTokens int, d time.Duration) {
	if r, ok := t.replicas[id]; ok {
		r.recordSteps(prefillTokens, decodeTokens, d.Seconds())
	}
}

// ApplyCacheEvent records a replica's report that it stored or evicted a prompt
// block. Reports are hints: their number is bounded and their value falls with
// age.
func (t *Table) ApplyCacheEvent(now time.Time, id string, block uint64, evicted bool) {
	r, ok := t.replicas[id]
	if !ok {
		return
	}
	if evicted {
		t.cache.evict(r, block)
		return
	}
	t.cache.store(now.UnixNano(), r, block)
}

func (t *Table) insert(r *replica) {
	t.replicas[r.ID] = r
	t.updatePosition(r)
	next := r.Last + 1
	for _, g := range t.groupsFrom[r.First] {
		if g.nextLayer == next {
			g.members = append(g.members, r)
			return
		}
	}
	g := &group{first: r.First, nextLayer: next, members: []*replica{r}}
	t.groupsFrom[r.First] = append(t.groupsFrom[r.First], g)
}

func (t *Table) detach(r *replica) {
	delete(t.replicas, r.ID)
	r.removed = true
	groups := t.groupsFrom[r.First]
	for i, g := range groups {
		at := slices.Index(g.members, r)
		if at < 0 {
			continue
		}
		g.members = slices.Delete(g.members, at, at+1)
		if len(g.members) == 0 {
			t.groupsFrom[r.First] = slices.Delete(groups, i, i+1)
		}
		return
	}
}

func (t *Table) timesOf(accelerator string) *tokenTimes {
	times, ok := t.acceleratorTimes[accelerator]
	if !ok {
		times = &tokenTimes{}
		t.acceleratorTimes[accelerator] = times
	}
	return times
}
