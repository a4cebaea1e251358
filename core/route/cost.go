package route

// CostTerms holds the terms, in seconds, that one replica contributes to the
// expected time of a request.
type CostTerms struct {
	// Wait is the queueing time: until the first step gets a slot and the
	// prompts dispatched since the last load report are prefilled.
	Wait float64
	// Prefill is the time to run the prompt tokens that are not cached.
	Prefill float64
	// Decode is the time of all decode steps.
	Decode float64
	// Link is the network time to the replica and back, over all steps.
	Link float64
}

// Total returns the sum of the terms.
func (c CostTerms) Total() float64 {
	return c.Wait + c.Prefill + c.Decode + c.Link
}

// costTerms estimates the cost of the request on the replica. cached is the
// fraction of the prompt, 0 to 1, expected in the prefix cache.
//
// A sequence holds its slot while every stage of its path processes its tokens.
// If the other stages take the same time per layer, this is the time of a path
// over all layers. When all slots are held, one is freed per hold time divided
// by the number of slots.
func (t *Table) costTerms(now int64, req *Request, r *replica, cached float64) CostTerms {
	slots := max(r.slots()*r.weight, 1)
	occupancy := float64(r.expectedOccupancy(now, t.instances))
	slowdownFactor := slowdown(occupancy+1, slots)
	step := r.decodeStepTime() * slowdownFactor
	prefill := r.prefillTokenTime() * slowdownFactor

	queued := max(occupancy+1-slots, 0)
	backlog := 0.0
	if r.reportFresh(now) {
		queued = max(queued, float64(r.load.Waiting))
		backlog = float64(r.unreportedTokens * t.instances)
	}
	steps := float64(max(req.OutputTokens, 1))
	uncached := float64(req.PromptTokens) * (1 - cached)
	layerRatio := float64(t.layers) / float64(r.layers())
	hold := (uncached*prefill + steps*step) * layerRatio
	return CostTerms{
		Wait:    queued*hold/slots + backlog*prefill,
		Prefill: uncached * prefill,
		Decode:  (steps - 1) * step,
		Link:    2 * r.latency * steps,
	}
}
