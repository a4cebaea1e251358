package route

import "time"

const (
	// reportMaxAge is the age after which a load report expires.
	reportMaxAge = 10 * time.Second
	// defaultSlots is used while a replica's number of slots is unknown.
	defaultSlots = 8
	// batchSlope is the relative increase of the step time from an empty to a
	// full batch.
	batchSlope = 0.25
)

// replica is the state of one replica. Latencies and costs are in seconds,
// points in time in Unix nanoseconds.
type replica struct {
	Replica
	removed bool
	weight  float64
	limit   int
	latency float64

	// inFlight is the number of this instance's own requests.
	inFlight int
	// position is the index of this instance among the live ones for this
	// replica; see updatePosition.
	position int
	// inFlightDelta is the change of inFlight since the last load report.
	inFlightDelta int
	// unreportedTokens is the number of prompt tokens dispatched since the last
	// load report.
	unreportedTokens int

	load       Load
	reportedAt int64
	reported   bool

	ownTimes         tokenTimes
	acceleratorTimes *tokenTimes

	// cost is the request's cost on this replica in the current choice.
	cost float64
	// freeSlots is the estimated number of unused slots in the current choice,
	// at least 1.
	freeSlots float64
	// excludedStamp and cachedStamp are the sequence numbers of the last choice
	// that excluded the replica and of the last one that set cachedFraction.
	excludedStamp uint64
	cachedStamp   uint64
	// cachedFraction is the fraction of the prompt, 0 to 1, expected in the
	// prefix cache.
	cachedFraction float64
}

func (r *replica) recordDispatch(tokens int) {
	r.inFlight++
	r.inFlightDelta++
	r.unreportedTokens += max(tokens, 0)
}

func (r *replica) recordEnd(tokens int) {
	if r.inFlight == 0 {
		return
	}
	r.inFlight--
	r.inFlightDelta--
	r.unreportedTokens = max(r.unreportedTokens-max(tokens, 0), 0)
}

func (r *replica) applyLoad(now int64, load Load) {
	if r.reported && now < r.reportedAt {
		return
	}
	r.load = load
	r.reportedAt = now
	r.reported = true
	r.inFlightDelta = 0
	r.unreportedTokens = 0
	slowdownFactor := slowdown(float64(load.Running), r.slots())
	if load.Step > 0 {
		r.ownTimes.decode.addReported(load.Step.Seconds() / slowdownFactor)
	}
	if load.PrefillTokensPerSecond > 0 {
		r.ownTimes.prefill.addReported(1 / (load.PrefillTokensPerSecond * slowdownFactor))
	}
}

// recordSteps updates the token times with the measured duration of steps. It
// ignores a prefill while no slot is free, as its duration then includes the
// wait for one.
func (r *replica) recordSteps(prefillTokens, decodeTokens int, seconds float64) {
	if prefillTokens > 0 && float64(r.reportedOccupancy()) > r.slots() {
		return
	}
	steps := max(decodeTokens, 0)
	if prefillTokens > 0 {
		steps++
	}
	if steps == 0 {
		return
	}
	seconds = max(seconds-2*r.latency*float64(steps), 0)
	seconds /= slowdown(float64(r.reportedOccupancy()), r.slots())
	prefill := r.prefillTokenTime() * float64(max(prefillTokens, 0))
	decode := r.decodeStepTime() * float64(max(decodeTokens, 0))
	// Attribute the duration to prefill and decode in the proportion of the
	// current estimates.
	ratio := seconds / (prefill + decode)
	layers := float64(r.layers())
	if prefillTokens > 0 {
		sample := ratio * r.prefillTokenTime()
		r.ownTimes.prefill.add(sample, sampleGain)
		r.acceleratorTimes.prefill.add(sample/layers, sampleGain)
	}
	if decodeTokens > 0 {
		sample := ratio * r.decodeStepTime()
		r.ownTimes.decode.add(sample, sampleGain)
		r.acceleratorTimes.decode.add(sample/layers, sampleGain)
	}
}

// prefillTokenTime returns the estimated seconds per prefilled token, without
// queueing.
func (r *replica) prefillTokenTime() float64 {
	return r.estimate(&r.ownTimes.prefill, &r.acceleratorTimes.prefill, defaultPrefill)
}

// decodeStepTime returns the estimated seconds per decode step, without
// queueing.
func (r *replica) decodeStepTime() float64 {
	return r.estimate(&r.ownTimes.decode, &r.acceleratorTimes.decode, defaultDecode)
}

// estimate returns the best known time per token: the replica's own average,
// that of its accelerator type, its own average with too few samples, or the
// default.
func (r *replica) estimate(own, accelerator *mean, perLayer float64) float64 {
	layers := float64(r.layers())
	var perToken float64
	switch {
	case own.reliable():
		perToken = own.value
	case accelerator.reliable():
		perToken = accelerator.value * layers
	case own.samples > 0:
		perToken = own.value
	default:
		perToken = perLayer * layers
	}
	return max(perToken, minTokenTime)
}

// minTokenTime is the lower bound of the estimates, in seconds per token. It
// keeps them above zero.
const minTokenTime = 1e-9

func (r *replica) layers() int {
	return r.Last - r.First + 1
}

func (r *replica) slots() float64 {
	if r.reported && r.load.Slots > 0 {
		return float64(r.load.Slots)
	}
	return defaultSlots
}

// reportFresh reports whether there is a load report that has not expired.
func (r *replica) reportFresh(now int64) bool {
	return r.reported && now-r.reportedAt <= int64(reportMaxAge)
}

// occupancy estimates the number of sequences held: that of the last report,
// corrected by this instance's dispatches since then, and at least its own
// requests in flight.
func (r *replica) occupancy(now int64) int {
	if !r.reportFresh(now) {
		return r.inFlight
	}
	return r.reportedOccupancy()
}

// reportedOccupancy is occupancy whatever the age of the last report.
func (r *replica) reportedOccupancy() int {
	return max(r.load.Running+r.inFlightDelta, r.inFlight)
}

// expectedOccupancy estimates the number of sequences held including the
// dispatches of the other instances since the last report. Each is assumed to
// have dispatched as many as this one.
func (r *replica) expectedOccupancy(now int64, instances int) int {
	n := r.occupancy(now)
	if r.reportFresh(now) && r.inFlightDelta > 0 {
		n += r.inFlightDelta * (instances - 1)
	}
	return n
}

// atLimit reports whether the replica has reached its limit of requests in
// flight.
func (r *replica) atLimit(now int64) bool {
	if r.limit == 0 {
		return false
	}
	return r.occupancy(now) >= r.weightedLimit()
}

// weightedLimit returns the number of requests, of all instances, that the
// replica accepts at its weight.
func (r *replica) weightedLimit() int {
	return max(int(float64(r.limit)*r.weight), 1)
}

// slowdown returns the ratio of the step time at this batch size to that of an
// idle replica. Each sequence in the batch adds the same amount.
func slowdown(sequences, slots float64) float64 {
	return 1 + batchSlope*min(sequences/slots, 1)
}
