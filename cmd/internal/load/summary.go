package load

import (
	"math"
	"slices"
	"strconv"
	"time"

	"masticbank.example/node/metrics"
)

const (
	// defaultRank is the group name of requests without a rank header.
	defaultRank = "default"
	labelNone   = "none"
	// maxDetails limits the number of distinct details kept in a Group; further
	// ones are counted as labelOther.
	maxDetails = 20
	labelOther = "other"
)

// summarize returns the result of the first n arrivals.
func (r *runner) summarize(n int) *Result {
	samples := r.samples[:n]
	r.compareRepeats(samples)
	result := &Result{
		Name: r.scenario.Name, Seed: r.scenario.Seed, Started: r.start,
		Targets: r.scenario.Targets, Interrupted: n < len(r.arrivals),
		Seconds: r.scenario.Duration().Seconds(), Faults: r.faults,
	}
	if result.Interrupted {
		result.Seconds = r.arrivals[n].at.Seconds()
	}
	r.addSummaries(result, samples)
	result.Series = seriesOf(samples, result.Seconds)
	for i := range result.Faults {
		result.Faults[i].RecoverySeconds = recoverySeconds(result.Series[0].Points, result.Faults[i].AtSeconds)
	}
	late := make([]time.Duration, 0, n)
	for i := range samples {
		late = append(late, samples[i].lateSend)
	}
	result.Generator = Generator{LateSend: distributionOf(late), MaxInFlight: int(r.maxInFlight.Load())}
	return result
}

// addSummaries adds the summary of each phase and of the whole run.
func (r *runner) addSummaries(result *Result, samples []sample) {
	var whole []*sample
	var windows []window
	start := time.Duration(0)
	for i, p := range r.scenario.Phases {
		var inPhase []*sample
		for j := range samples {
			if samples[j].arrival.phase == i {
				inPhase = append(inPhase, &samples[j])
			}
		}
		w := window{from: start, to: start + p.Duration}
		start = w.to
		result.Phases = append(result.Phases, PhaseResult{
			Name: p.Name, Seconds: p.Duration.Seconds(), Warmup: p.Warmup,
			Summary: r.summary(inPhase, samples, []window{w}),
		})
		if !p.Warmup {
			whole = append(whole, inPhase...)
			windows = append(windows, w)
		}
	}
	result.Whole = r.summary(whole, samples, windows)
}

// window is a time interval, measured from the start of the run.
type window struct {
	from time.Duration
	to   time.Duration
}

// summary describes the chosen samples. Only goodput is computed from all samples,
// because tokens received within the windows may belong to requests that arrived
// before them.
func (r *runner) summary(chosen []*sample, all []sample, windows []window) Summary {
	s := Summary{
		Ranks:                make(map[string]Group),
		Workspaces:           make(map[string]Group),
		Flows:                make(map[string]Group),
		BoundTokensPerSecond: r.scenario.throughputBound(chosen),
	}
	groups := newGrouping(windows)
	for _, x := range chosen {
		groups.add(x)
	}
	for i := range all {
		groups.addTokens(&all[i])
	}
	s.All = groups.all.build(windows)
	for name, b := range groups.ranks {
		s.Ranks[name] = b.build(windows)
	}
	for name, b := range groups.workspaces {
		s.Workspaces[name] = b.build(windows)
	}
	for name, b := range groups.flows {
		s.Flows[name] = b.build(windows)
	}
	s.Jain = jainIndex(s.Workspaces)
	return s
}

func (a *arrival) rank() string {
	if a.flow.Rank == "" {
		return defaultRank
	}
	return a.flow.Rank
}

// compareRepeats marks a repeated order as Wrong if its response differs from the
// first one.
func (r *runner) compareRepeats(samples []sample) {
	first := make(map[string]*sample)
	for i := range samples {
		s := &samples[i]
		if s.arrival.orderKey == "" || s.outcome != Completed {
			continue
		}
		if known := first[s.arrival.orderKey]; known == nil {
			first[s.arrival.orderKey] = s
		} else if known.body != s.body {
			s.outcome = Wrong
			s.detail = "a repeated order got another answer"
		}
	}
}

// distributionOf computes the exact distribution of times in microseconds, and
// sorts them.
func distributionOf(times []time.Duration) metrics.Distribution {
	if len(times) == 0 {
		return metrics.Distribution{}
	}
	slices.Sort(times)
	sum := time.Duration(0)
	for _, t := range times {
		sum += t
	}
	at := func(p float64) int64 {
		rank := int(math.Ceil(p / 100 * float64(len(times))))
		return times[max(rank, 1)-1].Microseconds()
	}
	return metrics.Distribution{
		Count: int64(len(times)),
		Mean:  (sum / time.Duration(len(times))).Microseconds(),
		P50:   at(50), P90: at(90), P95: at(95), P99: at(99), Max: at(100),
	}
}

func statusName(status int) string {
	if status == 0 {
		return labelNone
	}
	return strconv.Itoa(status)
}
