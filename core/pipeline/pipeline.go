package pipeline

import (
	"time"
)

// Replica is a process of an upstream that holds a range of consecutive layers.
type Replica struct {
	ID      string
	Address string
	Zone    string
	Kind    string
	// StartTime is the start time of the process in Unix milliseconds; it changes when the
	// replica restarts.
	StartTime int64
	// From and To bound the layers that serve requests: From <= layer < To.
	From, To int
}

// load holds the requests and the measured state of one replica.
type load struct {
	// cacheCapacity is the capacity of the KV cache in tokens times layers. At
	// nextCapacityAt, if set, nextCapacity replaces it.
	cacheCapacity  float64
	nextCapacity   float64
	nextCapacityAt time.Time
	// reserved is the KV cache reserved for requests of this instance, in tokens times
	// layers; remoteReserved is the same for all other instances.
	reserved, remoteReserved float64
	// sequences and remoteSequences count the requests of this and of the other instances
	// whose path includes the replica.
	sequences, remoteSequences float64
	// prefill and remotePrefill are the prefill work that is still to be done, in prompt
	// tokens times layers.
	prefill, remotePrefill float64
	// entering counts the requests of this instance whose path starts at the replica.
	entering int
	// stepTimeRatio is the step time divided by the usual step time; above 1 the replica is
	// slower than its kind of accelerator.
	stepTimeRatio float64
	observed      Report
	observedAt    time.Time
	// layersReportedAt is the time of the last report that contained the layers.
	layersReportedAt time.Time
	// blockedUntil is the time until which no path may use the replica.
	blockedUntil time.Time
}

// Fleet holds the replicas of one model and their load. It is not safe for concurrent use.
type Fleet struct {
	model    *Model
	replicas map[string]*member
	// atLayer holds, by layer, the listed replicas that hold it.
	atLayer [][]*member
	ordered []*member
	// zones holds the names of the zones; members refer to them by index.
	zones []string
	links map[Link]*linkLoad
	// orphansUntil is the time until which replicas may still run orphaned requests: those of
	// ended instance processes, which no reservation covers.
	orphansUntil time.Time
	sharing      Sharing
	use          useCorrection
	ranks        rankDemand
}

// member is a replica with its load and its place in the index.
type member struct {
	Replica
	load
	index  int
	zone   int
	listed bool
}

// NewFleet returns a Fleet without replicas.
func NewFleet(m *Model) *Fleet {
	return &Fleet{model: m, replicas: map[string]*member{}, links: map[Link]*linkLoad{}}
}

// orphanDuration is how long replicas may continue requests of an instance that lost power: about
// the duration of a long request.
const orphanDuration = 8 * time.Second

// ExpectOrphans must be called at the start of the process. For orphanDuration from then on, the
// KV cache usage that replicas report is taken into account, because orphaned requests may still
// run. After that only reservations count, because reports lag behind them.
func (f *Fleet) ExpectOrphans(now time.Time) { f.orphansUntil = now.Add(orphanDuration) }

// Model returns the model's parameters.
func (f *Fleet) Model() *Model { return f.model }

// SetModel replaces the model's parameters. Where they change the capacity of a replica, the new one
// applies at once; otherwise a higher capacity that is pending stays pending.
func (f *Fleet) SetModel(m *Model) {
	for _, r := range f.replicas {
		capacity := m.CacheCapacity(r.Kind, r.To-r.From)
		if capacity != f.model.CacheCapacity(r.Kind, r.To-r.From) {
			r.cacheCapacity, r.nextCapacityAt = capacity, time.Time{}
		}
	}
	f.model = m
	f.rebuildIndex()
}

// releaseDelay is how long a replica keeps the weights of layers that it no longer serves: until
// the requests that use them have ended, about the duration of a usual request.
const releaseDelay = 6 * time.Second

// setCapacity applies a lower capacity at once and a higher one after releaseDelay, when the memory
// is free. For a new process of the replica both apply at once.
func (m *member) setCapacity(now time.Time, capacity float64, newProcess bool) {
	if newProcess || capacity <= m.cacheCapacity {
		m.cacheCapacity, m.nextCapacityAt = capacity, time.Time{}
		return
	}
	if capacity != m.nextCapacity || m.nextCapacityAt.IsZero() {
		m.nextCapacity, m.nextCapacityAt = capacity, now.Add(releaseDelay)
	}
}

// applyNextCapacity applies the pending capacity once its time has come.
func (m *member) applyNextCapacity(now time.Time) {
	if !m.nextCapacityAt.IsZero() && !now.Before(m.nextCapacityAt) {
		m.cacheCapacity, m.nextCapacityAt = m.nextCapacity, time.Time{}
	}
}

// SetReplicas replaces the list of replicas and keeps the load of replicas that stay. Recently
// reported layers take precedence over those in the list, unless the replica has restarted.
func (f *Fleet) SetReplicas(now time.Time, list []Replica) {
	for _, m := range f.replicas {
		m.listed = false
	}
	for _, r := range list {
		m := f.replicas[r.ID]
		newProcess := m == nil || m.StartTime != r.StartTime
		if m == nil {
			m = &member{load: load{stepTimeRatio: 1}}
			f.replicas[r.ID] = m
		}
		if newProcess {
			m.forgetReports()
		}
		if from, to, ok := f.Layers(now, r.ID); ok {
			r.From, r.To = from, to
		}
		m.Replica = r
		m.listed = true
		m.setCapacity(now, f.model.CacheCapacity(r.Kind, r.To-r.From), newProcess)
	}
	for id, m := range f.replicas {
		if !m.listed && m.sequences == 0 {
			delete(f.replicas, id)
		}
	}
	f.rebuildIndex()
}

// rebuildIndex recomputes the order, zones and layers of the listed replicas.
func (f *Fleet) rebuildIndex() {
	f.atLayer = make([][]*member, f.model.Layers)
	f.ordered = f.ordered[:0]
	f.zones = f.zones[:0]
	zones := map[string]int{}
	for _, m := range f.replicas {
		if !m.listed {
			continue
		}
		f.ordered = append(f.ordered, m)
	}
	sortMembers(f.ordered)
	for i, m := range f.ordered {
		m.index = i
		zone, ok := zones[m.Zone]
		if !ok {
			zone = len(f.zones)
			zones[m.Zone] = zone
			f.zones = append(f.zones, m.Zone)
		}
		m.zone = zone
		for l := max(0, m.From); l < min(m.To, f.model.Layers); l++ {
			f.atLayer[l] = append(f.atLayer[l], m)
		}
	}
}

// Block excludes a replica from new paths until the given time, or longer if it is blocked longer
// already.
func (f *Fleet) Block(id string, until time.Time) {
	if m := f.replicas[id]; m != nil && until.After(m.blockedUntil) {
		m.blockedUntil = until
	}
}

// Unblock allows a replica in new paths again.
func (f *Fleet) Unblock(id string) {
	if m := f.replicas[id]; m != nil {
		m.blockedUntil = time.Time{}
	}
}

// Blocked reports whether the replica is blocked at now or not listed.
func (f *Fleet) Blocked(id string, now time.Time) bool {
	m := f.replicas[id]
	return m == nil || !m.listed || now.Before(m.blockedUntil)
}

// Replica returns the listed replica with the ID.
func (f *Fleet) Replica(id string) (Replica, bool) {
	m := f.replicas[id]
	if m == nil || !m.listed {
		return Replica{}, false
	}
	return m.Replica, true
}

// Covered reports whether every layer is held by a replica that is not blocked.
func (f *Fleet) Covered(now time.Time) bool {
	if len(f.atLayer) == 0 {
		return false
	}
	for _, members := range f.atLayer {
		found := false
		for _, m := range members {
			found = found || !now.Before(m.blockedUntil)
		}
		if !found {
			return false
		}
	}
	return true
}

// CoveredAt returns the earliest time at which every layer is held by a replica that is not
// blocked. A replica that is blocked now is available from the end of its block, but only if
// counts returns true for it and a time not before that end; other blocked replicas are ignored.
// CoveredAt returns false if a layer has no replica that can become available.
func (f *Fleet) CoveredAt(now time.Time, counts func(id string) (time.Time, bool)) (time.Time, bool) {
	covered := now
	for _, members := range f.atLayer {
		var earliest time.Time
		for _, m := range members {
			available := now
			if now.Before(m.blockedUntil) {
				end, ok := counts(m.ID)
				if !ok || m.blockedUntil.After(end) {
					continue
				}
				available = end
			}
			if earliest.IsZero() || available.Before(earliest) {
				earliest = available
			}
		}
		if earliest.IsZero() {
			return time.Time{}, false
		}
		if earliest.After(covered) {
			covered = earliest
		}
	}
	return covered, len(f.atLayer) > 0
}

// Reserve adds the load of a request that starts to the replicas and links of its path.
func (f *Fleet) Reserve(now time.Time, p Path, d Demand) {
	f.adjustLoad(p, d, 1)
	f.ranks.add(now, d.Rank, d.reservedTokens())
	f.recordTransfers(now, p, d)
}

// ReserveMove adds the load of a running request on a path that it may move to. Its transfers are
// recorded by RecordMove once it has moved.
func (f *Fleet) ReserveMove(p Path, d Demand) { f.adjustLoad(p, d, 1) }

// RecordMove records the transfers of a request to the stages that its new path adds.
func (f *Fleet) RecordMove(now time.Time, added Path, d Demand) { f.recordTransfers(now, added, d) }

// Release removes the load that Reserve added to the replicas.
func (f *Fleet) Release(p Path, d Demand) { f.adjustLoad(p, d, -1) }

// adjustLoad adds (sign 1) or removes (sign -1) the reservation of a request.
func (f *Fleet) adjustLoad(p Path, d Demand, sign float64) {
	for i, stage := range p {
		m := f.replicas[stage.ID]
		if m == nil {
			continue
		}
		m.reserved = max(0, m.reserved+sign*d.reservedTokens()*float64(stage.To-stage.From))
		m.sequences = max(0, m.sequences+sign)
		if i == 0 {
			m.entering = max(0, m.entering+int(sign))
		}
	}
}

// AdjustPrefill adds (sign 1) or removes (sign -1) the prefill work of a request on all replicas
// of its path.
func (f *Fleet) AdjustPrefill(p Path, d Demand, sign float64) {
	for _, stage := range p {
		if m := f.replicas[stage.ID]; m != nil {
			m.prefill = max(0, m.prefill+sign*d.Prompt*float64(stage.To-stage.From))
		}
	}
}

// Load sums the requests of one or several instances on one replica.
type Load struct {
	// Reserved is the reserved KV cache in tokens times layers.
	Reserved  float64
	Sequences float64
	// Prefill is the prefill work still to be done, in prompt tokens times layers.
	Prefill float64
}

// State is a snapshot of a replica and its load.
type State struct {
	Replica
	// CacheCapacity is the capacity of the KV cache in tokens times layers.
	CacheCapacity float64
	Own, Remote   Load
	// ReportedUse is the use of the KV cache by the replica's last report, in tokens times layers,
	// and ReportedAt the time of that report.
	ReportedUse float64
	ReportedAt  time.Time
}

// Utilization returns the reserved share of the KV cache, or 1 if the replica has none.
func (s State) Utilization() float64 {
	if s.CacheCapacity <= 0 {
		return 1
	}
	return (s.Own.Reserved + s.Remote.Reserved) / s.CacheCapacity
}

// State returns a snapshot of the replica, or the zero value if the replica is unknown.
func (f *Fleet) State(id string) State {
	m := f.replicas[id]
	if m == nil {
		return State{}
	}
	return State{
		Replica:       m.Replica,
		CacheCapacity: m.cacheCapacity,
		Own:           Load{Reserved: m.reserved, Sequences: m.sequences, Prefill: m.prefill},
		Remote:        Load{Reserved: m.remoteReserved, Sequences: m.remoteSequences, Prefill: m.remotePrefill},
		ReportedUse:   m.observed.CacheUsed,
		ReportedAt:    m.observedAt,
	}
}

// OwnLoads returns the load of this instance's requests by replica ID, without replicas that have
// none.
func (f *Fleet) OwnLoads() map[string]Load {
	out := map[string]Load{}
	for id, m := range f.replicas {
		if m.sequences > 0 {
			out[id] = Load{Reserved: m.reserved, Sequences: m.sequences, Prefill: m.prefill}
		}
	}
	return out
}

// SetRemoteLoad sets the total load of all other instances: by replica, and by link in tokens
// per second.
func (f *Fleet) SetRemoteLoad(of func(id string) Load, link func(Link) float64) {
	for _, l := range f.links {
		l.remoteRate = 0 // of zones that have no replicas any more
	}
	for i, a := range f.zones {
		for _, b := range f.zones[i+1:] {
			f.link(a, b).remoteRate = link(LinkBetween(a, b))
		}
	}
	for id, m := range f.replicas {
		l := of(id)
		m.remoteReserved, m.remoteSequences, m.remotePrefill = l.Reserved, l.Sequences, l.Prefill
	}
}

// Replicas returns the listed replicas, sorted by ID.
func (f *Fleet) Replicas() []Replica {
	out := make([]Replica, 0, len(f.ordered))
	for _, m := range f.ordered {
		out = append(out, m.Replica)
	}
	return out
}
