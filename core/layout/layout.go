// Package layout decides which replica holds which layers of a model when the
// replicas have accelerators of different kinds. A zone with enough memory holds
// whole copies of the model, so that requests need not leave it; smaller zones
// are taken together.
//
// Plan is a function of what the replicas hold now and needs no memory of
// earlier plans, so that any instance can go on with the duty at any time.
package layout

import (
	"cmp"
	"slices"

	"masticbank.example/core/pipeline"
)

const (
	// cacheShare is the part of a group's memory that is kept for the KV cache
	// when the number of copies is chosen. With less, requests wait for memory
	// long before the accelerators are busy.
	cacheShare = 0.3
	// leastCacheShare is the part of a replica's memory that is kept for the KV
	// cache in any case.
	leastCacheShare = 0.18
	// worthwhile is the factor by which the room of the weakest layer must grow for
	// layers to be moved between replicas that work.
	worthwhile = 1.3
	// balanceCacheShare is the part of a replica's memory that is kept for the KV
	// cache while layers are moved between replicas that work: until the requests
	// that pass through have ended, a replica keeps what it gives up.
	balanceCacheShare = 0.25
)

// Node is a replica that takes layers.
type Node struct {
	ID   string
	Zone string
	Kind string
	// From and To bound the layers held; both are 0 for an empty replica.
	From, To int
	// WantFrom and WantTo bound the layers of an order under way; both are 0
	// without one.
	WantFrom, WantTo int
}

func (n *Node) empty() bool { return n.From == n.To && n.WantFrom == n.WantTo }

// span returns the layers that the node will hold.
func (n *Node) span() (from, to int) {
	if n.WantFrom != n.WantTo {
		return n.WantFrom, n.WantTo
	}
	return n.From, n.To
}

// ordered tells whether an order is under way.
func (n *Node) ordered() bool { return n.WantFrom != n.WantTo }

// Order makes a replica hold the layers From <= layer < To.
type Order struct {
	ID       string
	From, To int
	// Why is a short reason for the log.
	Why string
}

// Plan returns the orders that bring the fleet nearer to a layout in which each
// group runs all layers. It returns none when nothing is to be done.
//
// calm tells that a zone has not changed for a while. Only then are all layers moved
// to where they belong: a replica that gives layers up takes no other order until the
// requests that pass through them have ended. Groups with several copies reinforce
// their weakest layers at any time.
func Plan(m *pipeline.Model, nodes []Node, calm func(zone string) bool) []Order {
	var out []Order
	for _, group := range groups(m, nodes) {
		quiet := !slices.ContainsFunc(group, func(n Node) bool { return !calm(n.Zone) })
		out = append(out, planGroup(m, group, quiet)...)
	}
	return out
}

// groups groups the nodes by zone. Zones that cannot hold the model on their
// own are one group.
func groups(m *pipeline.Model, nodes []Node) [][]Node {
	byZone := map[string][]Node{}
	var zones []string
	for _, n := range nodes {
		if m.MaxLayers(n.Kind) == 0 {
			continue
		}
		if byZone[n.Zone] == nil {
			zones = append(zones, n.Zone)
		}
		byZone[n.Zone] = append(byZone[n.Zone], n)
	}
	slices.Sort(zones)
	var out [][]Node
	var rest []Node
	for _, z := range zones {
		if capacity(m, byZone[z], leastCacheShare) >= m.Layers {
			out = append(out, byZone[z])
		} else {
			rest = append(rest, byZone[z]...)
		}
	}
	if len(rest) > 0 {
		out = append(out, rest)
	}
	for _, group := range out {
		slices.SortFunc(group, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// most returns the largest number of layers on a node that leaves the share of
// its memory free.
func most(m *pipeline.Model, kind string, free float64) int {
	return min(m.MaxLayers(kind), int(m.Kinds[kind].MemoryMB*(1-free)/m.LayerMB))
}

func capacity(m *pipeline.Model, nodes []Node, free float64) int {
	sum := 0
	for _, n := range nodes {
		sum += most(m, n.Kind, free)
	}
	return sum
}

// copies returns the number of times that the group holds each layer.
func copies(m *pipeline.Model, group []Node) int {
	return max(1, capacity(m, group, cacheShare)/m.Layers)
}

func planGroup(m *pipeline.Model, group []Node, calm bool) []Order {
	p := &plan{model: m, nodes: group, copies: copies(m, group), freed: map[string]bool{}}
	for _, n := range group {
		p.memory += m.Kinds[n.Kind].MemoryMB
	}
	if p.allEmpty() {
		p.fresh()
		return p.orders
	}
	if p.copies == 1 {
		p.planRow(calm)
	} else {
		p.planCopies()
	}
	return p.orders
}

// planRow plans a group with one copy, which is a row of nodes. All its boundaries
// can be moved to where they belong, which takes several rounds of loads.
func (p *plan) planRow(calm bool) {
	p.fillRow()
	p.fillWithNeighbors()
	p.fillWithFreed()
	if calm && len(p.orders) == 0 && !p.underWay() {
		p.balance()
	}
}

// planCopies plans a group with several copies, which after losses are no rows any
// more.
func (p *plan) planCopies() {
	p.fillWeakest()
	p.fillWithNeighbors()
	p.fillWithFreed()
	p.reinforce()
}

type plan struct {
	model  *pipeline.Model
	nodes  []Node
	copies int
	// memory is the sum over the group, in MB.
	memory float64
	orders []Order
	// freed are nodes that are about to give up all their layers.
	freed map[string]bool
}

func (p *plan) allEmpty() bool {
	for i := range p.nodes {
		if !p.nodes[i].empty() {
			return false
		}
	}
	return true
}

func (p *plan) order(n *Node, from, to int, why string) {
	if f, t := n.span(); f == from && t == to {
		return
	}
	n.WantFrom, n.WantTo = from, to
	p.orders = append(p.orders, Order{ID: n.ID, From: from, To: to, Why: why})
}

// fresh lays out a group without layers: columns of about equal memory, each
// with all layers in proportion to the memory of its nodes.
func (p *plan) fresh() {
	byMemory := make([]*Node, len(p.nodes))
	for i := range p.nodes {
		byMemory[i] = &p.nodes[i]
	}
	slices.SortStableFunc(byMemory, func(a, b *Node) int {
		return cmp.Compare(p.memoryOf(b), p.memoryOf(a))
	})
	columns := make([][]*Node, p.copies)
	sums := make([]float64, p.copies)
	for _, n := range byMemory {
		least := 0
		for i := range sums {
			if sums[i] < sums[least] {
				least = i
			}
		}
		columns[least] = append(columns[least], n)
		sums[least] += p.memoryOf(n)
	}
	for _, column := range columns {
		// The smallest come first: the first replica of a path serves a bounded
		// number of requests, and small parts can be had twice.
		slices.Reverse(column)
		p.split(column, 0, p.model.Layers, "first layout")
	}
}

func (p *plan) memoryOf(n *Node) float64 { return p.model.Kinds[n.Kind].MemoryMB }

// split gives the layers from..to to the nodes in order, in proportion to their
// memory. It returns false when they do not fit.
func (p *plan) split(nodes []*Node, from, to int, why string) bool {
	sizes, ok := p.sizes(nodes, to-from, leastCacheShare)
	if !ok {
		return false
	}
	at := from
	for i, n := range nodes {
		if sizes[i] > 0 {
			p.order(n, at, at+sizes[i], why)
		}
		at += sizes[i]
	}
	return true
}

// sizes shares a number of layers in proportion to memory, by largest remainder,
// within what each node can hold.
func (p *plan) sizes(nodes []*Node, layers int, free float64) ([]int, bool) {
	total := 0.0
	limit := make([]int, len(nodes))
	room := 0
	for i, n := range nodes {
		total += p.memoryOf(n)
		limit[i] = most(p.model, n.Kind, free)
		room += limit[i]
	}
	if room < layers {
		return nil, false
	}
	sizes := make([]int, len(nodes))
	left := layers
	for i, n := range nodes {
		sizes[i] = min(limit[i], int(float64(layers)*p.memoryOf(n)/total))
		left -= sizes[i]
	}
	for ; left > 0; left-- {
		best := -1
		for i, n := range nodes {
			if sizes[i] >= limit[i] {
				continue
			}
			if best < 0 || p.memoryOf(n)/float64(sizes[i]+1) > p.memoryOf(nodes[best])/float64(sizes[best]+1) {
				best = i
			}
		}
		sizes[best]++
	}
	return sizes, true
}

// tokens returns, for each layer, the number of tokens that the KV caches of its
// holders take.
func (p *plan) tokens() []float64 {
	out := make([]float64, p.model.Layers)
	for i := range p.nodes {
		n := &p.nodes[i]
		from, to := n.span()
		if to <= from {
			continue
		}
		each := p.model.Room(n.Kind, to-from) / float64(to-from)
		for l := from; l < min(to, len(out)); l++ {
			out[l] += each
		}
	}
	return out
}
