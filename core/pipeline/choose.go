package pipeline

import (
	"math"
	"sort"
	"time"
)

const (
	// hopMS is the delay of a hop within a zone, for each token. Published link
	// delays between zones are of the same size.
	hopMS = 0.2
	// crossHopMS is charged for each token that goes to another zone over an idle
	// link, beyond hopMS. The links between zones are shared by all requests: trials on the
	// users' bench gave the best service at 3 ms.
	crossHopMS = 3.0
	// fullAt is the part of the KV cache that may be reserved; what is left
	// covers outputs longer than expected.
	fullAt = 0.95
	// crowdWeight scales the cost of a fuller KV cache.
	crowdWeight = 1.5
)

// Choice is a path and what it is expected to take.
type Choice struct {
	Path Path
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// Cost is the estimate that was compared, in milliseconds.
	Cost float64
}

// Constraint restricts a choice.
type Constraint struct {
	// Avoid holds the IDs of replicas that are not to be used.
	Avoid map[string]bool
	// First, if set, is the replica that the path must begin at, with the layers
	// up to FirstTo.
	First   string
	FirstTo int
	// IgnoreRoom allows replicas without KV room.
	IgnoreRoom bool
}

// Choose returns the cheapest path with room for the demand, or false. It is a
// shortest path over the states (layer, replica); switching costs the hop. The
// work grows with layers times replicas that hold each.
func (f *Fleet) Choose(now time.Time, d Demand, c Constraint) (Choice, bool) {
	for range maxDetours {
		s := &search{fleet: f, now: now, demand: d, limit: c}
		choice, ok := s.run()
		if !ok && s.passedOver {
			// Every path leads over a part that was passed over, but has room.
			s = &search{fleet: f, now: now, demand: d, limit: c, all: true}
			choice, ok = s.run()
		}
		if !ok {
			return Choice{}, false
		}
		detour := between(choice.Path)
		if detour == "" {
			return choice, true
		}
		c.Avoid = with(c.Avoid, detour)
	}
	return Choice{}, false
}

// maxDetours bounds the searches for one choice.
const maxDetours = 4

func with(set map[string]bool, id string) map[string]bool {
	out := make(map[string]bool, len(set)+1)
	for k := range set {
		out[k] = true
	}
	out[id] = true
	return out
}

// between returns the replica after which the path comes back to one that it
// has left, or "". Engines refuse such paths.
func between(p Path) string {
	seen := make(map[string]int, len(p))
	for i, h := range p {
		if at, ok := seen[h.ID]; ok {
			return p[at+1].ID
		}
		seen[h.ID] = i
	}
	return ""
}

type search struct {
	fleet  *Fleet
	now    time.Time
	demand Demand
	limit  Constraint
	// layerCost and usable are by member index.
	layerCost []float64
	usable    []bool
	// passedOver is set when a replica with room was passed over, which all forbids.
	passedOver, all bool
	// cross holds the cost of a hop between two zones by their indexes, below 0 if
	// it was not needed yet.
	cross []float64
}

// crossHop returns the cost of a hop between two different zones.
func (s *search) crossHop(a, b int) float64 {
	zones := s.fleet.zones
	at := a*len(zones) + b
	if s.cross[at] < 0 {
		s.cross[at] = s.fleet.crossHop(s.now, zones[a], zones[b])
	}
	return s.cross[at]
}

// state is the best way to run the layers so far with member m at the last one.
type state struct {
	cost float64
	prev int // index of the member at the layer before, or -1
}

func (s *search) run() (Choice, bool) {
	f := s.fleet
	layers := len(f.atLayer)
	if layers == 0 {
		return Choice{}, false
	}
	s.prepare()
	n := len(f.ordered)
	table := make([]state, layers*n)
	for i := range table {
		table[i] = state{cost: math.Inf(1), prev: -1}
	}
	zones := make([]bestState, len(f.zones))
	for l := range layers {
		for _, m := range f.atLayer[l] {
			s.step(table, l, m, zones)
		}
		s.best(zones, table, l)
	}
	return s.collect(table)
}

// prepare computes the cost of one layer on each replica and whether it may be
// used. Room is checked for the layers that the replica holds up to its end, as
// most paths use all of them.
func (s *search) prepare() {
	f := s.fleet
	n := len(f.ordered)
	s.layerCost = make([]float64, n)
	s.usable = make([]bool, n)
	s.cross = make([]float64, len(f.zones)*len(f.zones))
	for i := range s.cross {
		s.cross[i] = -1
	}
	for i, m := range f.ordered {
		m.free(s.now)
		held := float64(m.To - m.From)
		room, used := f.limits(s.now, m)
		used += s.demand.tokens() * held
		free := room*fullAt - used
		s.usable[i] = !s.now.Before(m.blockedUntil) && !s.limit.Avoid[m.ID] &&
			(s.limit.IgnoreRoom || free >= 0) && (f.model.Slots == 0 || m.first < f.model.Slots)
		if s.usable[i] && !s.all && !s.limit.IgnoreRoom && room > 0 && f.passedOver(used/room) {
			s.usable[i], s.passedOver = false, true
		}
		if m.ID == s.limit.First {
			s.usable[i] = !s.limit.Avoid[m.ID]
		}
		if s.usable[i] {
			s.layerCost[i] = s.costOfLayer(m, used, room) * f.costFactor()
		}
	}
}

// costOfLayer estimates the milliseconds that the request spends on one layer
// of the replica: reading behind the prompts that wait, and writing in a batch
// with the sequences that are there.
func (s *search) costOfLayer(m *member, used, room float64) float64 {
	model := s.fleet.model
	kind := model.Kinds[m.Kind]
	read := (s.demand.Prompt*float64(max(1, m.To-m.From)) + m.reading + m.foreignReading) / float64(max(1, m.To-m.From))
	readMS := read / model.ReadPerMS * kind.ReadFactor
	sequences := m.sequences + m.foreignSequences + 1
	context := sequences * (model.UsualPrompt + model.UsualOutput/2) / 1000
	stepMS := (model.StepMS + model.PerSequenceMS*sequences + model.PerContextMS*context) * kind.StepFactor
	share := 1 / float64(model.Layers)
	crowd := 1.0
	if room > 0 {
		u := min(1, used/room)
		crowd += crowdWeight * u * u
	}
	return (readMS + stepMS*s.demand.Output) * share * m.pace * crowd
}

// bestState is the cheapest state of the last layer in a zone.
type bestState struct {
	cost  float64
	index int
}

func (s *search) step(table []state, layer int, m *member, zones []bestState) {
	if !s.usable[m.index] {
		return
	}
	n := len(s.fleet.ordered)
	best := state{cost: math.Inf(1), prev: -1}
	switch {
	case layer == 0:
		if s.limit.First == "" || s.limit.First == m.ID {
			best.cost = 0
		}
	case s.limit.First != "" && layer < s.limit.FirstTo:
		if m.ID == s.limit.First {
			best = state{cost: table[(layer-1)*n+m.index].cost, prev: m.index}
		}
	default:
		best = s.enter(table, layer, m, zones)
	}
	best.cost += s.layerCost[m.index]
	table[layer*n+m.index] = best
}

// enter finds the cheapest way to reach a replica at a layer: from itself, or by
// a hop from the best state of each zone.
func (s *search) enter(table []state, layer int, m *member, zones []bestState) state {
	n := len(s.fleet.ordered)
	best := state{cost: math.Inf(1), prev: -1}
	if m.From < layer && m.ID != s.limit.First {
		best = state{cost: table[(layer-1)*n+m.index].cost, prev: m.index}
	}
	if m.ID == s.limit.First {
		return best // the first replica appears once
	}
	for zone, z := range zones {
		if z.cost >= best.cost || z.index == m.index {
			continue
		}
		hop := hopMS
		if zone != m.zone {
			hop += s.crossHop(zone, m.zone)
		}
		cost := z.cost + hop*s.demand.tokensOnWire()
		if cost < best.cost {
			best = state{cost: cost, prev: z.index}
		}
	}
	return best
}

// tokensOnWire is the number of tokens that wait for a hop one after another.
func (d Demand) tokensOnWire() float64 { return max(1, d.Output) }

func (s *search) best(zones []bestState, table []state, layer int) {
	n := len(s.fleet.ordered)
	for i := range zones {
		zones[i] = bestState{cost: math.Inf(1), index: -1}
	}
	for _, m := range s.fleet.atLayer[layer] {
		if st := table[layer*n+m.index]; st.cost < zones[m.zone].cost {
			zones[m.zone] = bestState{cost: st.cost, index: m.index}
		}
	}
}

func (s *search) collect(table []state) (Choice, bool) {
	f := s.fleet
	n := len(f.ordered)
	last := len(f.atLayer) - 1
	at := -1
	cost := math.Inf(1)
	for _, m := range f.atLayer[last] {
		if st := table[last*n+m.index]; st.cost < cost {
			cost, at = st.cost, m.index
		}
	}
	if at < 0 {
		return Choice{}, false
	}
	var path Path
	for l := last; l >= 0; l-- {
		m := f.ordered[at]
		if len(path) == 0 || path[len(path)-1].ID != m.ID {
			path = append(path, Hop{ID: m.ID, Address: m.Address, Zone: m.Zone, From: l, To: l + 1, Born: m.Born})
		} else {
			path[len(path)-1].From = l
		}
		at = table[l*n+at].prev
	}
	for i, j := 0, len(path)-1; i < j; i, j = i+1, j-1 {
		path[i], path[j] = path[j], path[i]
	}
	return Choice{Path: path, Cost: cost, FirstToken: s.firstToken(path)}, true
}

// firstToken adds up the time to read the prompt along the path.
func (s *search) firstToken(p Path) time.Duration {
	ms := 0.0
	for i, h := range p {
		ms += s.fleet.readMS(h, s.demand)
		if i > 0 && h.Zone != p[i-1].Zone {
			ms += s.fleet.linkMS(s.now, h.Zone, p[i-1].Zone, s.demand)
		}
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// readMS is the time until a part has read the tokens of a request behind those
// that wait there.
func (f *Fleet) readMS(h Hop, d Demand) float64 {
	m := f.replicas[h.ID]
	if m == nil {
		return 0
	}
	work := d.Prompt*float64(h.To-h.From) + m.reading + m.foreignReading
	return work / f.model.ReadPerMS * f.model.Kinds[m.Kind].ReadFactor / float64(f.model.Layers) * m.pace
}

func sortMembers(list []*member) {
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
}
