package route

// randomPolicy implements PolicyRandom.
type randomPolicy struct{}

func (randomPolicy) pick(_ *Table, _ int, candidates []candidate, random uint64) int {
	return intBelow(random, len(candidates))
}
