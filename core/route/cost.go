package route

// Terms are the parts of the expected time, in seconds, that one replica adds to
// a request.
type Terms struct {
	// Wait is the time for which the first step waits for a slot and for the
	// prefill of requests dispatched since the last report.
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
func (r *replica) terms(now int64, req *Request, cached float64) Terms {
	slots := max(r.slots()*r.weight, 1)
	occupancy := float64(r.occupancy(now))
	slow := slowdown(occupancy+1, slots)
	step := r.decodePace()
	prefill := r.prefillPace()

	waiting := max(occupancy+1-slots, 0)
	backlog := 0.0
	if r.fresh(now) {
		waiting = max(waiting, float64(r.load.Waiting))
		backlog = float64(r.newTokens)
	}
	uncached := float64(req.PromptTokens) * (1 - cached)
	steps := float64(max(req.OutputTokens, 1))
	return Terms{
		Wait:    waiting*step/slots + backlog*prefill,
		Prefill: uncached * prefill * slow,
		Decode:  (steps - 1) * step * slow,
		Link:    2 * r.latency * steps,
	}
}
