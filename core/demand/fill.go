package demand

import (
	"cmp"
	"slices"
)

// claim is the demand of one claimant in a weighted max-min division.
type claim struct {
	index  int
	demand int
	weight int64
	// remainder is the numerator of the fraction of a slot that rounding removed; the
	// denominator is the sum of the weights.
	remainder int64
}

// maxMinFill divides budget slots among claimants by weighted max-min fairness: no claimant gets
// more than its demand, and those that get less have equal slots per weight. The division uses
// exact integer arithmetic; slots left by rounding go to the largest remainders, and among equal
// ones to the lowest index. Weights below 1 count as 1. The results add up to the smaller of
// budget and the sum of demands.
//
// The method is progressive filling (Bertsekas and Gallager, Data Networks, section 6.5.2), with
// the claimants in the order of demand per weight.
func maxMinFill(budget int, demands []int, weights []int64) []int {
	claims := newClaims(demands, weights)
	var total int64
	for _, c := range claims {
		total += c.weight
	}
	slots := make([]int, len(demands))
	rest := int64(max(budget, 0))
	for i, c := range claims {
		if int64(c.demand)*total > rest*c.weight {
			divideByWeight(slots, claims[i:], rest, total)
			break
		}
		slots[c.index] = c.demand
		rest -= int64(c.demand)
		total -= c.weight
	}
	return slots
}

// newClaims returns the claims with a demand, those with the lowest demand per weight first.
func newClaims(demands []int, weights []int64) []claim {
	claims := make([]claim, 0, len(demands))
	for i, d := range demands {
		if d > 0 {
			claims = append(claims, claim{index: i, demand: d, weight: max(weights[i], 1)})
		}
	}
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(
			cmp.Compare(int64(a.demand)*b.weight, int64(b.demand)*a.weight),
			cmp.Compare(a.index, b.index),
		)
	})
	return claims
}

// divideByWeight splits rest by weight among claims whose demands all exceed their part.
func divideByWeight(slots []int, claims []claim, rest, total int64) {
	left := rest
	for i := range claims {
		c := &claims[i]
		share := rest * c.weight / total
		c.remainder = rest * c.weight % total
		slots[c.index] = int(share)
		left -= share
	}
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.index, b.index))
	})
	for _, c := range claims[:left] {
		slots[c.index]++
	}
}

// divideProportionally divides budget in proportion to weights, without a limit by demand.
func divideProportionally(budget int, weights []int64) []int {
	demands := make([]int, len(weights))
	for i := range demands {
		demands[i] = budget
	}
	return maxMinFill(budget, demands, weights)
}
