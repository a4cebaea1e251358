package load

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// allRanks names the series of all ranks together.
	allRanks = "all"
	// baseSeconds is the time before a fault that its recovery is compared with.
	baseSeconds = 5
	// recoveryWindow smooths the goodput after a fault, in seconds.
	recoveryWindow = 3
	// recoveryFraction is the part of the goodput that counts as recovered.
	recoveryFraction = 0.9
)

// seriesOf returns the series of all ranks together, then of each rank.
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

// recovery returns the seconds from a fault until the goodput over
// recoveryWindow is back at recoveryFraction of that over baseSeconds before
// it; -1 when it is not seen to come back.
func recovery(all []Point, at float64) float64 {
	second := int(at)
	if second < baseSeconds || second >= len(all) {
		return -1
	}
	base := meanGood(all[second-baseSeconds : second])
	for t := second; t+recoveryWindow <= len(all); t++ {
		if meanGood(all[t:t+recoveryWindow]) >= recoveryFraction*base {
			return float64(t - second)
		}
	}
	return -1
}

func meanGood(points []Point) float64 {
	sum := 0
	for _, p := range points {
		sum += p.GoodTokens
	}
	return float64(sum) / float64(len(points))
}
