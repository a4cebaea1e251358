package demand

// Pace returns how many requests self may have in flight now, on its way to its
// row. Slots that others hold beyond their rows are free only when their
// requests end, so a row that grows at once would commit them twice. Pace lets
// self have what it last told its peers, and a part of the slots that nobody
// holds: that part is divided among all instances below their rows by max-min.
//
// The arguments are those of Shares. Only the row of self depends on current:
// instances with the same told digests together get no more than the capacity,
// or than what was in flight already. An instance without a digest counts as
// holding its row.
func Pace(pool Pool, live []string, told []Digest, self string, current PoolDemand) int {
	own := Shares(pool, live, told, self, current).Total()
	held, part := toldPart(pool, withSelf(live, self), told, self)
	return min(own, held+part)
}

// toldPart returns what self last told to have in flight, and its part of the
// slots that nobody holds.
func toldPart(pool Pool, live []string, told []Digest, self string) (held, part int) {
	rows := Table(pool, live, told)
	byID := newestByInstance(told)
	key := KeyOf(pool.Name)
	free := clampSlots(pool.Capacity)
	missing := make([]int, len(rows))
	weights := make([]int64, len(rows))
	own := -1
	for i := range rows {
		inFlight := rows[i].Total()
		weights[i] = 1
		if digest := byID[rows[i].Instance]; digest != nil {
			demand := digest.Pool(key)
			inFlight = demand.InFlight()
			weights[i] = int64(digest.members())
		}
		free -= inFlight
		missing[i] = rows[i].Total() - inFlight
		if rows[i].Instance == self {
			own, held = i, inFlight
		}
	}
	return held, fill(free, missing, weights)[own]
}

// Limit returns how many requests self may run at once: its Pace, and beyond
// that, up to its row, what lets the waiting requests of the most urgent rank
// start now. They are the ones that a queue with strict ranks starts first, and
// that engines put before the excess.
func Limit(pool Pool, live []string, told []Digest, self string, current PoolDemand) int {
	row := Shares(pool, live, told, self, current).Total()
	held, part := toldPart(pool, withSelf(live, self), told, self)
	urgent := current.rank(0)
	return max(min(row, held+part), min(row, current.InFlight()+clampSlots(urgent.Queued)))
}
