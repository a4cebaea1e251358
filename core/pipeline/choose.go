package pipeline

import (
	"math"
	"sort"
	"time"
)

const (
	// ZoneTransferMS is the delay, in milliseconds, of passing one token to the next stage
	// within a zone. The published link delays between zones are about as large.
	ZoneTransferMS = 0.2
	// crossZoneTransferMS is the additional cost of passing one token to another zone over an
	// idle link. It is higher than the delay because all requests share the links between
	// zones; in trials on the users' test bench, 3 ms gave the best service.
	crossZoneTransferMS = 3.0
	// maxReservedShare is the share of the KV cache that may be reserved; the rest covers
	// outputs that are longer than expected.
	maxReservedShare = 0.95
	// utilizationWeight scales the extra cost of a replica whose KV cache is nearly full.
	utilizationWeight = 1.5
)

// Choice is a path with its estimated cost.
type Choice struct {
	Path Path
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// Reading is the time to read the prompt along the path, ReadingDelay by how long that is expected
	// to delay all other requests there together.
	Reading, ReadingDelay time.Duration
	// Cost is the estimate by which paths are compared, in milliseconds.
	Cost float64
}

// Constraint restricts the paths that Choose considers.
type Constraint struct {
	// Avoid holds the IDs of replicas that must not be used.
	Avoid map[string]bool
	// First, if set, is the replica at which the path must start; it runs the layers below
	// FirstTo.
	First   string
	FirstTo int
	// Prefilled is the present path of a running request: its replicas have the request's
	// tokens in their KV cache and need not prefill them.
	Prefilled Path
	// Late is true for a request that cannot be in time any more. It leaves room for all that can.
	Late bool
	// Begun is true for a request that has run. It leaves no room for more urgent ones.
	Begun bool
	// IgnoreCapacity allows replicas without free KV cache capacity.
	IgnoreCapacity bool
	// moving is the number of requests of all instances that leave a failed replica at the same
	// moment as this one. Their prompts share the links that it uses.
	moving float64
}

// Choose returns the cheapest path with enough KV cache capacity for the demand, or false if
// there is none. It runs a shortest-path search over the states (layer, replica), where changing
// the replica adds the cost of a transfer. The running time is proportional to the number of
// layers times the number of replicas that hold each.
//
// A search may find a path with detours. Then it is repeated without the replica that begins the
// first one, and if that yields no path, the cheapest path found is used without its detours.
func (f *Fleet) Choose(now time.Time, d Demand, c Constraint) (Choice, bool) {
	var direct Choice
	found := false
	for range maxSearches {
		s := &search{fleet: f, now: now, demand: d, constraint: c}
		choice, ok := s.run()
		if !ok {
			break
		}
		detour := detourStart(choice.Path)
		if detour == "" {
			return choice, true
		}
		if candidate := s.withoutDetours(choice.Path); !found || candidate.Cost < direct.Cost {
			direct, found = candidate, true
		}
		c.Avoid = withMember(c.Avoid, detour)
	}
	return direct, found
}

// maxSearches is the maximum number of searches for one choice.
const maxSearches = 4

type search struct {
	fleet      *Fleet
	now        time.Time
	demand     Demand
	constraint Constraint
	// layerCost, visitCost and usable are indexed by member. layerCost is the cost of each layer that
	// the replica runs for the request, visitCost that of passing through it, however few these are.
	layerCost []float64
	visitCost []float64
	usable    []bool
	// crossZone caches the cost of a transfer between two zones; a value below 0 is not
	// computed yet.
	crossZone float64
}

// crossZoneCost returns the cost of passing a token between two zones.
func (s *search) crossZoneCost() float64 {
	if s.crossZone < 0 {
		s.crossZone = math.Inf(1)
		if s.constraint.Begun || s.constraint.IgnoreCapacity || s.fleet.linkHasRoom(s.now) {
			s.crossZone = s.fleet.crossZoneCost(s.now)
			if s.fleet.uninformed() {
				s.crossZone *= uninformedLinkFactor
			}
			s.crossZone += s.linkDisturbanceMS() / s.demand.sequentialTokens()
		}
	}
	return s.crossZone
}

// state is the cheapest way to run the layers up to the current one with this member at the
// current layer.
type state struct {
	cost float64
	prev int // index of the member at the previous layer, or -1
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
	zones := make([]zoneBest, len(f.zones))
	for l := range layers {
		for _, m := range f.atLayer[l] {
			s.computeState(table, l, m, zones)
		}
		s.updateZoneBest(zones, table, l)
	}
	return s.buildChoice(table)
}

// prepare computes the cost of one layer on each replica and whether the replica may be used. It
// checks the capacity for all layers that the replica holds, as most paths use all of them.
func (s *search) prepare() {
	f := s.fleet
	n := len(f.ordered)
	s.layerCost = make([]float64, n)
	s.visitCost = make([]float64, n)
	s.usable = make([]bool, n)
	s.crossZone = -1
	urgentShare := s.urgentShare()
	for i, m := range f.ordered {
		m.applyNextCapacity(s.now)
		use, slots := f.cacheShareWith(s.now, m, s.demand), f.slotShare(m)
		limit := maxReservedShare - f.urgentReserve(m, urgentShare)
		s.usable[i] = !s.now.Before(m.blockedUntil) && !s.constraint.Avoid[m.ID] && (s.constraint.IgnoreCapacity || use <= limit) &&
			(slots < maxReservedShare || s.constraint.keepsSlots() && m.entering < f.model.Slots)
		if m.ID == s.constraint.First {
			s.usable[i] = !s.constraint.Avoid[m.ID]
		}
		if s.usable[i] {
			s.layerCost[i], s.visitCost[i] = s.costs(m, max(use, slots))
		}
	}
}

// keepsSlots reports whether the request may enter at a replica whose slots are nearly all taken.
func (c Constraint) keepsSlots() bool { return c.Begun || c.IgnoreCapacity }

// costs returns the costs of a replica, with the factors that spread the requests of many instances.
// use is how full the replica is with the request.
func (s *search) costs(m *member, use float64) (layer, visit float64) {
	f := s.fleet
	factor := 1.0
	if !s.constraint.IgnoreCapacity && f.skip(use) {
		factor *= skippedCostFactor(use)
	}
	use = min(1, use)
	utilization := 1 + utilizationWeight*use*use
	busy, stepMS := f.busyShare(m), f.stepMS(m)
	held := float64(max(0, m.To-m.From)) / float64(max(1, f.model.Layers))
	steps := stepMS * s.demand.sequentialTokens() * m.stepTimeRatio
	perLayer := s.prefillMS(m) + s.disturbanceMS(m) + steps*(1-busy)
	if f.uninformed() {
		return f.uninformedCost(m, s.typicalMS()/float64(f.model.Layers)), 0
	}
	return factor * utilization * perLayer / float64(f.model.Layers), factor * utilization * steps * held * busy * (1 + passWaitShare)
}

// urgentShare returns the share of the demand for which the request leaves room.
func (s *search) urgentShare() float64 {
	switch {
	case s.constraint.Begun || s.constraint.IgnoreCapacity:
		return 0
	case s.constraint.Late:
		return 1
	default:
		return s.fleet.ranks.above(s.now, s.demand.Rank)
	}
}

// typicalMS estimates the milliseconds that the request takes on idle replicas of the usual kind.
func (s *search) typicalMS() float64 {
	model, step, prefill := s.fleet.model, 0.0, 0.0
	for _, m := range s.fleet.ordered {
		step += model.Kinds[m.Kind].StepFactor
		prefill += model.Kinds[m.Kind].PrefillFactor
	}
	return (step*model.StepMS*s.demand.sequentialTokens() + prefill*s.demand.Prompt/model.PrefillTokensPerMS) / float64(max(1, len(s.fleet.ordered)))
}

// prefillMS estimates the milliseconds of prefill, through all layers at the speed of this replica,
// queued behind its pending prefill work.
func (s *search) prefillMS(m *member) float64 {
	if s.constraint.Prefilled.Uses(m.ID) {
		return 0
	}
	model, held := s.fleet.model, float64(max(1, m.To-m.From))
	tokens := (s.demand.Prompt*held + m.prefill + m.remotePrefill) / held
	return tokens / model.PrefillTokensPerMS * model.Kinds[m.Kind].PrefillFactor * m.stepTimeRatio
}

// zoneBest is the cheapest state of the last layer within a zone.
type zoneBest struct {
	cost  float64
	index int
}

// computeState sets the cheapest state of a replica at a layer.
func (s *search) computeState(table []state, layer int, m *member, zones []zoneBest) {
	if !s.usable[m.index] {
		return
	}
	n := len(s.fleet.ordered)
	best := state{cost: math.Inf(1), prev: -1}
	switch {
	case layer == 0:
		if s.constraint.First == "" || s.constraint.First == m.ID {
			best.cost = s.visitCost[m.index]
		}
	case s.constraint.First != "" && layer < s.constraint.FirstTo:
		if m.ID == s.constraint.First {
			best = state{cost: table[(layer-1)*n+m.index].cost, prev: m.index}
		}
	default:
		best = s.cheapestEntry(table, layer, m, zones)
	}
	best.cost += s.layerCost[m.index]
	table[layer*n+m.index] = best
}

// cheapestEntry returns the cheapest way to reach a replica at a layer: from the same replica, or
// by a transfer from the cheapest state of each zone.
func (s *search) cheapestEntry(table []state, layer int, m *member, zones []zoneBest) state {
	n := len(s.fleet.ordered)
	best := state{cost: math.Inf(1), prev: -1}
	if m.From < layer && m.ID != s.constraint.First {
		best = state{cost: table[(layer-1)*n+m.index].cost, prev: m.index}
	}
	if m.ID == s.constraint.First {
		return best // the path passes through the first replica only once
	}
	for zone, z := range zones {
		if z.cost >= best.cost || z.index == m.index {
			continue
		}
		transferMS := ZoneTransferMS
		if zone != m.zone {
			transferMS += s.crossZoneCost()
		}
		cost := z.cost + transferMS*s.demand.sequentialTokens() + s.visitCost[m.index]
		if cost < best.cost {
			best = state{cost: cost, prev: z.index}
		}
	}
	return best
}

// sequentialTokens returns the number of tokens that are passed between stages one after another.
func (d Demand) sequentialTokens() float64 { return max(1, d.Output) }

// updateZoneBest sets the cheapest state of each zone at a layer.
func (s *search) updateZoneBest(zones []zoneBest, table []state, layer int) {
	n := len(s.fleet.ordered)
	for i := range zones {
		zones[i] = zoneBest{cost: math.Inf(1), index: -1}
	}
	for _, m := range s.fleet.atLayer[layer] {
		if st := table[layer*n+m.index]; st.cost < zones[m.zone].cost {
			zones[m.zone] = zoneBest{cost: st.cost, index: m.index}
		}
	}
}

// buildChoice returns the path that leads to the cheapest state at the last layer.
func (s *search) buildChoice(table []state) (Choice, bool) {
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
			path = append(path, Stage{ID: m.ID, Address: m.Address, Zone: m.Zone, From: l, To: l + 1, StartTime: m.StartTime})
		} else {
			path[len(path)-1].From = l
		}
		at = table[l*n+at].prev
	}
	for i, j := 0, len(path)-1; i < j; i, j = i+1, j-1 {
		path[i], path[j] = path[j], path[i]
	}
	return s.choiceOf(path, cost), true
}

// timeToFirstToken returns the estimated prefill time along the path, transfers between zones
// included.
func (s *search) timeToFirstToken(p Path) time.Duration {
	ms := 0.0
	for i, stage := range p {
		if s.constraint.Prefilled.includes(stage) {
			continue
		}
		ms += s.fleet.prefillMS(stage, s.demand)
		if i > 0 && stage.Zone != p[i-1].Zone {
			ms += s.fleet.linkTransferMS(s.now, s.demand, s.constraint.moving)
		}
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// prefillMS returns the time in milliseconds until a stage has finished the prefill of a request,
// queued behind the pending prefill work of the replica.
func (f *Fleet) prefillMS(stage Stage, d Demand) float64 {
	m := f.replicas[stage.ID]
	if m == nil {
		return 0
	}
	work := d.Prompt*float64(stage.To-stage.From) + m.prefill + m.remotePrefill
	return work / f.model.PrefillTokensPerMS * f.model.Kinds[m.Kind].PrefillFactor / float64(f.model.Layers) * m.stepTimeRatio
}

func sortMembers(list []*member) {
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
}
