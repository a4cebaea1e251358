package route

import "fmt"

// Policy selects how a replica is picked among those that can complete a path.
type Policy int

const (
	// PolicyCost picks at random among the paths whose expected time is near
	// the lowest.
	PolicyCost Policy = iota
	// PolicyRandom picks uniformly at random. It is a baseline for
	// measurements.
	PolicyRandom
	// PolicyRoundRobin picks the candidates in turn. It is a baseline for
	// measurements.
	PolicyRoundRobin
	// PolicyLeastInFlight picks the replica with the fewest requests in flight
	// from this instance. It is a baseline for measurements.
	PolicyLeastInFlight
)

// String returns the policy's name as used in settings.
func (p Policy) String() string {
	switch p {
	case PolicyCost:
		return "cost"
	case PolicyRandom:
		return "random"
	case PolicyRoundRobin:
		return "round_robin"
	case PolicyLeastInFlight:
		return "least_in_flight"
	default:
		return fmt.Sprintf("policy(%d)", int(p))
	}
}

// ParsePolicy returns the policy with the given name.
func ParsePolicy(name string) (Policy, bool) {
	for p := PolicyCost; p <= PolicyLeastInFlight; p++ {
		if p.String() == name {
			return p, true
		}
	}
	return PolicyCost, false
}

// policy picks one of the candidates for the stage that begins at a layer and
// returns its index. candidates is not empty.
type policy interface {
	pick(t *Table, layer int, candidates []candidate, random uint64) int
}

func newPolicy(p Policy) policy {
	switch p {
	case PolicyRandom:
		return randomPolicy{}
	case PolicyRoundRobin:
		return roundRobinPolicy{}
	case PolicyLeastInFlight:
		return leastInFlightPolicy{}
	default:
		return costPolicy{fixedTolerance: -1}
	}
}
