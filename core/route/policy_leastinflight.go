package route

// leastInFlightPolicy implements PolicyLeastInFlight. Ties are broken uniformly
// at random.
type leastInFlightPolicy struct{}

func (leastInFlightPolicy) pick(_ *Table, _ int, candidates []candidate, random uint64) int {
	least := candidates[0].replica.inFlight
	ties := 0
	for _, c := range candidates {
		switch {
		case c.replica.inFlight < least:
			least = c.replica.inFlight
			ties = 1
		case c.replica.inFlight == least:
			ties++
		}
	}
	skip := intBelow(random, ties)
	for i, c := range candidates {
		if c.replica.inFlight != least {
			continue
		}
		if skip == 0 {
			return i
		}
		skip--
	}
	return 0
}
