package load

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// allRanks is the name of the series that covers all ranks.
	allRanks = "all"
	// baselineSeconds is the length of the interval before a fault whose goodput is
	// the baseline for recovery.
	baselineSeconds = 5
	// recoveryWindowSeconds is the length of the interval over which the goodput
	// after a fault is averaged.
	recoveryWindowSeconds = 3
	// recoveryFraction is the fraction of the baseline goodput that counts as
	// recovered.
	recoveryFraction = 0.9
)

// seriesOf returns the series of all ranks together, followed by one series for
// each rank.
func seriesOf(samples []sample, seconds float64) []Series {
	byRank := map[string][]*sample{}
	for i := range samples {
		s := &samples[i]
		byRank[s.arrival.rank()] = append(byRank[s.arrival.rank()], s)
		byRank[allRanks] = append(byRank[allRanks], s)
	}
	length := int(math.Ceil(seconds))
	out := []Series{{Rank: allRanks, Points: points(byRank[allRanks], length)}}
	for _, rank := range slices.Sorted(maps.Keys(byRank)) {
		if rank != allRanks {
			out = append(out, Series{Rank: rank, Points: points(byRank[rank], length)})
		}
	}
	return out
}

func points(samples []*sample, length int) []Point {
	out := make([]Point, length)
	first := make([][]time.Duration, length)
	for _, s := range samples {
		s.eachToken(func(at time.Duration, tokens int) {
			if second := int(at / time.Second); second < length {
				out[second].GoodTokens += tokens
			}
		})
		second := int(s.arrival.at / time.Second)
		if second >= length {
			continue
		}
		out[second].add(s)
		if s.outcome == Completed && s.isStream() {
			first[second] = append(first[second], s.firstToken)
		}
	}
	for i := range out {
		out[i].FirstTokenP95 = distributionOf(first[i]).P95
	}
	return out
}

func (p *Point) add(s *sample) {
	p.Arrived++
	switch s.outcome {
	case Completed:
		p.Completed++
	case Refused:
		p.Refused++
	default:
		p.Lost++
	}
}

// recoverySeconds returns the number of seconds after a fault at which the goodput,
// averaged over the next recoveryWindowSeconds, first reaches recoveryFraction of
// the mean over the baselineSeconds before the fault. It returns -1 if that is not
// observed, or if the run has less than baselineSeconds before the fault.
func recoverySeconds(all []Point, at float64) float64 {
	second := int(at)
	if second < baselineSeconds || second >= len(all) {
		return -1
	}
	baseline := meanGoodTokens(all[second-baselineSeconds : second])
	for t := second; t+recoveryWindowSeconds <= len(all); t++ {
		if meanGoodTokens(all[t:t+recoveryWindowSeconds]) >= recoveryFraction*baseline {
			return float64(t - second)
		}
	}
	return -1
}

func meanGoodTokens(points []Point) float64 {
	sum := 0
	for _, p := range points {
		sum += p.GoodTokens
	}
	return float64(sum) / float64(len(points))
}
