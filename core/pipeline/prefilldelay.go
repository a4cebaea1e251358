package pipeline

// prefillOn returns the time in milliseconds in which the replica reads tokens through the layers that it
// holds.
func (f *Fleet) prefillOn(m *member, tokens float64) float64 {
	return tokens / f.model.PrefillTokensPerMS * f.model.Kinds[m.Kind].PrefillFactor * m.stepTimeRatio * f.heldShare(m)
}

// heldShare returns the share of the model's layers that the replica holds.
func (f *Fleet) heldShare(m *member) float64 {
	return float64(max(0, m.To-m.From)) / float64(max(1, f.model.Layers))
}

// prefillDelayMS returns by how many milliseconds the reading of a prompt delays the other requests at the
// replica, summed over them, beyond what its tokens would cost in small prompts. Sequences that arrive
// while it is read for the time p wait for p/2 on average, and for p if other prompts are read before it
// meanwhile. A sequence comes once in the time of a circuit, in which a token and those that share its
// pass get through all layers. So the delay grows with the square of the prompt: short ones cost
// next to nothing, and long ones are read where that takes little time or little runs.
//
// It is 0 for a request whose route states no objective for pauses.
func (f *Fleet) prefillDelayMS(m *member, d Demand) float64 {
	if d.PauseObjective <= 0 || f.model.PrefillTokensPerMS <= 0 || m.To <= m.From {
		return 0
	}
	circuit := f.stepMS(m) * max(1, f.model.StepsPerPass) * m.stepTimeRatio * (1 + passWaitShare*f.busyShare(m))
	if circuit <= 0 {
		return 0
	}
	prefill := f.prefillOn(m, d.Prompt)
	// A prompt counts as read on all replicas of its path until its first event, but is at one of them at
	// a time.
	before := f.prefillOn(m, (m.prefill+m.remotePrefill)/float64(m.To-m.From)) * f.heldShare(m)
	return (m.sequences + m.remoteSequences) * prefill * (prefill/2 + before) / circuit
}

// disturbanceMS returns prefillDelayMS as milliseconds through all layers, as prefillMS. The delay of
// other requests counts as much as the request's own.
func (s *search) disturbanceMS(m *member) float64 {
	if s.constraint.Prefilled.Uses(m.ID) {
		return 0
	}
	return s.fleet.prefillDelayMS(m, s.demand) / max(s.fleet.heldShare(m), 1/float64(max(1, s.fleet.model.Layers)))
}

// linkDisturbanceMS returns by how many milliseconds the transfer of the prompt to another zone delays
// the streams that cross zones, summed over them. Transfers queue one behind another, so that it grows
// with the square of the prompt, as the delay by its reading does. A stream crosses once in a circuit,
// with the tokens of one pass.
func (s *search) linkDisturbanceMS() float64 {
	model := s.fleet.model
	tokens := model.MeanPromptTokens + model.MeanOutputTokens
	if s.demand.PauseObjective <= 0 || s.constraint.Begun || model.LinkMbps <= 0 || tokens <= 0 {
		return 0
	}
	const msPerSecond = 1000
	crossings := s.fleet.linkTokensPerSecond(s.now) * model.MeanOutputTokens / tokens / max(1, model.StepsPerPass)
	transfer := s.demand.Prompt * model.ActivationBytes * bitsPerByte / (model.LinkMbps * bytesPerMB) * msPerSecond
	return crossings / msPerSecond * transfer * transfer / 2
}

// choiceOf returns a path with its cost and what is expected of its prompt.
func (s *search) choiceOf(p Path, cost float64) Choice {
	prefill, delay := 0.0, 0.0
	for _, stage := range p {
		m := s.fleet.replicas[stage.ID]
		if m == nil || m.To <= m.From || s.constraint.Prefilled.includes(stage) {
			continue
		}
		used := float64(stage.To-stage.From) / float64(m.To-m.From)
		prefill += s.fleet.prefillOn(m, s.demand.Prompt) * used
		delay += s.fleet.prefillDelayMS(m, s.demand) * used
	}
	return Choice{
		Path: p, Cost: cost, FirstToken: s.timeToFirstToken(p),
		Prefill: milliseconds(prefill), PrefillDelay: milliseconds(delay),
	}
}
