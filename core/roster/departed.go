package roster

// maxDeparted bounds the processes that are remembered; 3,000 replicas restart or are
// replaced on a day of the largest fleet, and what could bring an old entry back, an
// outage of the store or an instance with old news, lasts minutes.
const maxDeparted = 512

// departures remembers the processes that leave for good or have left, so that an old
// entry does not bring one back. The oldest are forgotten first.
type departures struct {
	born map[string]int64
	// order holds the IDs in the order in which they came.
	order []string
}

func newDepartures() departures { return departures{born: map[string]int64{}} }

func (d *departures) add(p Process) {
	born, known := d.born[p.ID]
	if known {
		d.born[p.ID] = max(born, p.Born)
		return
	}
	if len(d.order) == maxDeparted {
		delete(d.born, d.order[0])
		d.order = d.order[1:]
	}
	d.born[p.ID] = p.Born
	d.order = append(d.order, p.ID)
}

// has tells whether the process or a later one of the replica has left.
func (d *departures) has(p Process) bool {
	born, known := d.born[p.ID]
	return known && born >= p.Born
}

func (d *departures) list() []Process {
	out := make([]Process, 0, len(d.order))
	for _, id := range d.order {
		out = append(out, Process{ID: id, Born: d.born[id]})
	}
	return out
}
