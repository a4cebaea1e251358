package pipeline

import "time"

// Observed is what a replica reported of itself.
type Observed struct {
	// Pace is the time of a step as a multiple of the usual one; 0 if unknown.
	Pace float64
	// Used and Room are the KV cache in tokens times layers.
	Used, Room float64
	// From and To bound the layers held, if HasLayers; otherwise those of the report
	// before go on to count.
	From, To  int
	HasLayers bool
}

// observedFor is how long a report counts.
const observedFor = 3 * time.Second

// Observe takes the report of a replica.
func (f *Fleet) Observe(now time.Time, id string, o Observed) {
	m := f.replicas[id]
	if m == nil {
		return
	}
	if o.HasLayers {
		m.layersAt = now
	} else {
		o.HasLayers, o.From, o.To = m.observed.HasLayers, m.observed.From, m.observed.To
	}
	m.observed, m.observedAt = o, now
	m.pace = 1
	if o.Pace > 0 {
		m.pace = o.Pace
	}
	if m.layersAt.Equal(now) && (o.From != m.From || o.To != m.To) {
		m.From, m.To = o.From, o.To
		m.setRoom(now, f.model.Room(m.Kind, m.To-m.From), false)
		f.index()
	}
}

// Layers returns the layers that a replica reported lately.
func (f *Fleet) Layers(now time.Time, id string) (from, to int, ok bool) {
	m := f.replicas[id]
	if m == nil || !m.observed.HasLayers || now.Sub(m.layersAt) > layersFor {
		return 0, 0, false
	}
	return m.observed.From, m.observed.To, true
}

// layersFor is how long the layers of a report count more than those of an entry,
// which is read less often and while the store is away not at all.
const layersFor = 1500 * time.Millisecond

// limits returns the room of a replica and what is used of it, by reservations
// and by its own report.
func (f *Fleet) limits(now time.Time, m *member) (room, used float64) {
	room, used = m.room, m.reserved+m.foreign
	if m.observedAt.IsZero() || now.Sub(m.observedAt) > observedFor {
		m.pace = 1
		return room, used
	}
	if m.observed.Room > 0 {
		room = min(room, m.observed.Room)
	}
	if now.Before(f.orphansUntil) {
		used = max(used, m.observed.Used)
	}
	return room, used
}

// Pace returns the step time of a replica as a multiple of the usual one.
func (f *Fleet) Pace(now time.Time, id string) float64 {
	m := f.replicas[id]
	if m == nil || m.observedAt.IsZero() || now.Sub(m.observedAt) > observedFor {
		return 1
	}
	return m.pace
}
