package route

// Terms are the parts of the expected time, in seconds, that one replica adds to
// a request.
type Terms struct {
	// Wait is the time until the first step gets a slot and the prompts
	// dispatched since the last report are prefilled.
	Wait float64
	// Prefill is the time to run the prompt tokens that are not cached.
	Prefill float64
	// Decode is the time of all later steps.
	Decode float64
	// Link is the time on the link to the replica and back, of all steps.
	Link float64
}

// Total returns the sum of the terms.
func (c Terms) Total() float64 {
	return c.Wait + c.Prefill + c.Decode + c.Link
}

// terms estimates the request's cost on the replica. cached is the part of the
// prompt, 0 to 1, expected in the prefix cache.
//
// A sequence holds its slot while all stages run its tokens, which takes a full
// chain's time if the other stages are as fast per layer. With every slot held,
// one is freed per hold time divided by the number of slots.
func (t *Table) terms(now int64, req *Request, r *replica, cached float64) Terms {
	slots := max(r.slots()*r.weight, 1)
	occupancy := float64(r.expected(now, t.instances))
	slow := slowdown(occupancy+1, slots)
	step := r.decodePace() * slow
	prefill := r.prefillPace() * slow

	queued := max(occupancy+1-slots, 0)
	backlog := 0.0
	if r.fresh(now) {
		queued = max(queued, float64(r.load.Waiting))
		backlog = float64(r.newTokens * t.instances)
	}
	steps := float64(max(req.OutputTokens, 1))
	uncached := float64(req.PromptTokens) * (1 - cached)
	chain := float64(t.layers) / float64(r.layers())
	hold := (uncached*prefill + steps*step) * chain
	return Terms{
		Wait:    queued*hold/slots + backlog*prefill,
		Prefill: uncached * prefill,
		Decode:  (steps - 1) * step,
		Link:    2 * r.latency * steps,
	}
}
