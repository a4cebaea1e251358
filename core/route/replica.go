package route

import "time"

const (
	// reportMaxAge is the age at which a load report is no longer used.
	reportMaxAge = 10 * time.Second
	// defaultSlots applies while a replica's slots are unknown.
	defaultSlots = 8
	// batchSlope is the relative growth of the step time from an empty batch to
	// a full one.
	batchSlope = 0.25
)

// replica is the state of one replica. Times are in seconds.
type replica struct {
	Replica
	removed bool
	weight  float64
	limit   int
	latency float64

	// inFlight counts this instance's own requests.
	inFlight int
	// position is that of this instance among the live ones.
	position int
	// delta is the change of inFlight since the last report.
	delta int
	// newTokens counts the prompt tokens dispatched since the last report.
	newTokens int

	load       Load
	reportedAt int64
	reported   bool

	own  pace
	kind *pace

	// cost is the cost in the choice under way.
	cost float64
	// free estimates the free slots in the choice under way; it is at least 1.
	free float64
	// excludedAt and cachedAt are the numbers of the choices that excluded the
	// replica and that set cached.
	excludedAt uint64
	cachedAt   uint64
	// cached is the part of the prompt, 0 to 1, expected in the prefix cache.
	cached float64
}

func (r *replica) begin(tokens int) {
	r.inFlight++
	r.delta++
	r.newTokens += max(tokens, 0)
}

func (r *replica) end(tokens int) {
	if r.inFlight == 0 {
		return
	}
	r.inFlight--
	r.delta--
	r.newTokens = max(r.newTokens-max(tokens, 0), 0)
}

func (r *replica) report(now int64, load Load) {
	if r.reported && now < r.reportedAt {
		return
	}
	r.load = load
	r.reportedAt = now
	r.reported = true
	r.delta = 0
	r.newTokens = 0
	slow := slowdown(float64(load.Running), r.slots())
	if load.Step > 0 {
		r.own.decode.addReported(load.Step.Seconds() / slow)
	}
	if load.PrefillTokensPerSecond > 0 {
		r.own.prefill.addReported(1 / (load.PrefillTokensPerSecond * slow))
	}
}

// observe ignores a prefill while no slot is free: its duration then includes the
// wait for one.
func (r *replica) observe(prefillTokens, decodeTokens int, seconds float64) {
	if prefillTokens > 0 && float64(r.held()) > r.slots() {
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
	seconds /= slowdown(float64(r.held()), r.slots())
	prefill := r.prefillPace() * float64(max(prefillTokens, 0))
	decode := r.decodePace() * float64(max(decodeTokens, 0))
	// The duration is divided between prefill and decode as the current
	// estimates divide it.
	ratio := seconds / (prefill + decode)
	layers := float64(r.layers())
	if prefillTokens > 0 {
		sample := ratio * r.prefillPace()
		r.own.prefill.add(sample, paceGain)
		r.kind.prefill.add(sample/layers, paceGain)
	}
	if decodeTokens > 0 {
		sample := ratio * r.decodePace()
		r.own.decode.add(sample, paceGain)
		r.kind.decode.add(sample/layers, paceGain)
	}
}

// prefillPace returns seconds per prefilled token without waiting.
func (r *replica) prefillPace() float64 {
	return r.choosePace(&r.own.prefill, &r.kind.prefill, defaultPrefill)
}

// decodePace returns seconds per decode step without waiting.
func (r *replica) decodePace() float64 {
	return r.choosePace(&r.own.decode, &r.kind.decode, defaultDecode)
}

func (r *replica) choosePace(own, kind *mean, perLayer float64) float64 {
	layers := float64(r.layers())
	var pace float64
	switch {
	case own.known():
		pace = own.value
	case kind.known():
		pace = kind.value * layers
	case own.samples > 0:
		pace = own.value
	default:
		pace = perLayer * layers
	}
	return max(pace, minPace)
}

// minPace keeps estimates above zero, in seconds per token.
const minPace = 1e-9

func (r *replica) layers() int {
	return r.Last - r.First + 1
}

func (r *replica) slots() float64 {
	if r.reported && r.load.Slots > 0 {
		return float64(r.load.Slots)
	}
	return defaultSlots
}

// fresh tells whether the last load report is in use.
func (r *replica) fresh(now int64) bool {
	return r.reported && now-r.reportedAt <= int64(reportMaxAge)
}

// occupancy estimates the sequences held: the last report corrected by the own
// dispatches since, and never less than the own requests in flight.
func (r *replica) occupancy(now int64) int {
	if !r.fresh(now) {
		return r.inFlight
	}
	return r.held()
}

// held is occupancy whatever the age of the report.
func (r *replica) held() int {
	return max(r.load.Running+r.delta, r.inFlight)
}

// expected estimates the sequences held with the dispatches of the other instances
// since the last report, which are taken to equal the own ones.
func (r *replica) expected(now int64, instances int) int {
	n := r.occupancy(now)
	if r.fresh(now) && r.delta > 0 {
		n += r.delta * (instances - 1)
	}
	return n
}

// full tells whether the replica holds as many requests as it takes.
func (r *replica) full(now int64) bool {
	if r.limit == 0 {
		return false
	}
	return r.occupancy(now) >= r.allowed()
}

// allowed returns how many requests of all instances the replica takes at its
// weight.
func (r *replica) allowed() int {
	return max(int(float64(r.limit)*r.weight), 1)
}

// slowdown returns by which factor a step takes longer than on an idle replica:
// each sequence in the batch slows it by the same amount.
func slowdown(sequences, slots float64) float64 {
	return 1 + batchSlope*min(sequences/slots, 1)
}
