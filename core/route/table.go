package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Table holds the replicas of one model and chooses chains among them. It is not
// safe for concurrent use.
type Table struct {
	layers int
	// instances is the number of instances that dispatch to the replicas.
	instances int
	// self and live name this instance and all live ones; live is nil until
	// SetMembers.
	self string
	live []string
	// withinParts limits the choice under way to the own parts of the replicas.
	withinParts bool
	replicas    map[string]*replica
	// from lists the groups that begin at a layer.
	from  [][]*group
	kinds map[string]*pace
	cache *cacheIndex
	rule  policy
	// turns counts choices per first layer for the round robin policy.
	turns []uint64
	// stamp numbers the choices, so that marks on replicas expire by themselves.
	stamp uint64

	rate choiceRate
	// tolerance is that of the choice under way.
	tolerance float64
	// best is the lowest cost from a layer boundary to the end.
	best       []float64
	source     rand.PCG
	candidates []candidate
	forward    []bool
	backward   []bool
}

// group holds the replicas with equal ranges.
type group struct {
	first int
	// next is the layer after the range.
	next    int
	members []*replica
}

// NewTable returns an empty table for a model with the given number of layers,
// which chooses by the given policy.
func NewTable(layers int, p Policy) *Table {
	return &Table{
		layers:    layers,
		instances: 1,
		replicas:  make(map[string]*replica),
		from:      make([][]*group, layers),
		kinds:     make(map[string]*pace),
		cache:     newCacheIndex(maxCacheHints),
		rule:      newPolicy(p),
		turns:     make([]uint64, layers),
		best:      make([]float64, layers+1),
		forward:   make([]bool, layers+1),
		backward:  make([]bool, layers+1),
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

// maxInstances bounds by how much dispatches of other instances are taken into
// account.
const maxInstances = 16

// SetInstances sets the number of instances, this one included, that dispatch to the
// replicas. All see the same reports, so that what this instance dispatched since a
// report is taken as a sample of what all did.
func (t *Table) SetInstances(n int) {
	t.instances = min(max(n, 1), maxInstances)
}

// Upsert adds a replica with weight 1 or changes a known one. A changed range
// discards what was learnt of the old one: load, pace and cached blocks. It
// returns a *RangeError when the layers do not fit the model; the table is then
// unchanged.
func (t *Table) Upsert(r Replica) error {
	if r.First < 0 || r.Last < r.First || r.Last >= t.layers {
		return &RangeError{Replica: r, Layers: t.layers}
	}
	old, ok := t.replicas[r.ID]
	if !ok {
		t.insert(&replica{Replica: r, weight: 1, kind: t.kind(r.Accelerator)})
		return nil
	}
	if old.First == r.First && old.Last == r.Last {
		old.Replica = r
		old.kind = t.kind(r.Accelerator)
		return nil
	}
	t.detach(old)
	t.insert(&replica{
		Replica:  r,
		weight:   old.weight,
		limit:    old.limit,
		inFlight: old.inFlight,
		latency:  old.latency,
		kind:     t.kind(r.Accelerator),
	})
	return nil
}

// Remove forgets a replica. An unknown ID is ignored.
func (t *Table) Remove(id string) {
	if r, ok := t.replicas[id]; ok {
		t.detach(r)
	}
}

// SetWeight sets the share of work, 0 to 1, that a replica takes compared with
// its full capacity. A replica with weight 0 is not used.
func (t *Table) SetWeight(id string, weight float64) {
	if r, ok := t.replicas[id]; ok {
		r.weight = min(max(weight, 0), 1)
	}
}

// SetLimit sets the number of requests in flight, from all instances, that a
// replica takes; 0 means no limit.
func (t *Table) SetLimit(id string, limit int) {
	if r, ok := t.replicas[id]; ok {
		r.limit = max(limit, 0)
	}
}

// Latency sets the one-way latency of the link to a replica. Every step crosses
// the link twice.
func (t *Table) Latency(id string, d time.Duration) {
	if r, ok := t.replicas[id]; ok {
		r.latency = max(d, 0).Seconds()
	}
}

// Begin counts a request of the given number of prompt tokens as dispatched to a
// replica by this instance.
func (t *Table) Begin(id string, tokens int) {
	if r, ok := t.replicas[id]; ok {
		r.begin(tokens)
	}
}

// End takes back what Begin counted.
func (t *Table) End(id string, tokens int) {
	if r, ok := t.replicas[id]; ok {
		r.end(tokens)
	}
}

// Report takes a replica's load report that was received at now. Reports received
// out of order are ignored.
func (t *Table) Report(now time.Time, id string, load Load) {
	if r, ok := t.replicas[id]; ok {
		r.report(now.UnixNano(), load)
	}
}

// Observe takes the measured duration, link included, of steps that ran the given
// numbers of tokens on a replica. Prefill tokens served from the prefix cache are
// not to be counted.
func (t *Table) Observe(id string, prefillTokens, decodeTokens int, d time.Duration) {
	if r, ok := t.replicas[id]; ok {
		r.observe(prefillTokens, decodeTokens, d.Seconds())
	}
}

// CacheEvent takes a replica's word that it stored or evicted a prompt block. The
// knowledge is a hint: it is bounded in size, and it fades with age.
func (t *Table) CacheEvent(now time.Time, id string, block uint64, evicted bool) {
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
	t.place(r)
	next := r.Last + 1
	for _, g := range t.from[r.First] {
		if g.next == next {
			g.members = append(g.members, r)
			return
		}
	}
	g := &group{first: r.First, next: next, members: []*replica{r}}
	t.from[r.First] = append(t.from[r.First], g)
}

func (t *Table) detach(r *replica) {
	delete(t.replicas, r.ID)
	r.removed = true
	groups := t.from[r.First]
	for i, g := range groups {
		at := slices.Index(g.members, r)
		if at < 0 {
			continue
		}
		g.members = slices.Delete(g.members, at, at+1)
		if len(g.members) == 0 {
			t.from[r.First] = slices.Delete(groups, i, i+1)
		}
		return
	}
}

func (t *Table) kind(accelerator string) *pace {
	p, ok := t.kinds[accelerator]
	if !ok {
		p = &pace{}
		t.kinds[accelerator] = p
	}
	return p
}
