package roster

// maxDeparted bounds the number of remembered processes. In the largest deployment 3,000
// replicas restart or are replaced per day, and whatever could list an old entry again (an
// outage of the store or an instance with outdated data) lasts minutes.
const maxDeparted = 512

// departures remembers the processes that are leaving for good or have left, so that an
// outdated entry does not list them again. The oldest are evicted first.
type departures struct {
	// startTimes maps the IDs to the start times of their last departed processes.
	startTimes map[string]int64
	// order holds the IDs in the order in which they were added.
	order []string
}

func newDepartures() departures { return departures{startTimes: map[string]int64{}} }

func (d *departures) add(p Process) {
	startTime, known := d.startTimes[p.ID]
	if known {
		d.startTimes[p.ID] = max(startTime, p.StartTime)
		return
	}
	if len(d.order) == maxDeparted {
		delete(d.startTimes, d.order[0])
		d.order = d.order[1:]
	}
	d.startTimes[p.ID] = p.StartTime
	d.order = append(d.order, p.ID)
}

// contains reports whether the process or a later one of the same replica was added.
func (d *departures) contains(p Process) bool {
	startTime, known := d.startTimes[p.ID]
	return known && startTime >= p.StartTime
}

func (d *departures) list() []Process {
	out := make([]Process, 0, len(d.order))
	for _, id := range d.order {
		out = append(out, Process{ID: id, StartTime: d.startTimes[id]})
	}
	return out
}
