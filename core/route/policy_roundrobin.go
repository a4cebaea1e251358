package route

// roundRobinPolicy implements PolicyRoundRobin.
type roundRobinPolicy struct{}

func (roundRobinPolicy) pick(t *Table, layer int, candidates []candidate, _ uint64) int {
	turn := t.roundRobinTurns[layer]
	t.roundRobinTurns[layer]++
	return int(turn % uint64(len(candidates)))
}
