package engine

import (
	"time"

	"masticbank.example/node/wire"
)

// refusal is the reason why a step was not run.
type refusal struct {
	code    string
	message string
}

func refuse(code, message string) *refusal {
	return &refusal{code: code, message: message}
}

// beginStep returns the step to wait for, which may have been started before, or a
// refusal. The caller is counted as a waiter of the returned step and has to call
// stopWaiting.
func (e *Engine) beginStep(req *wire.StepRequest) (*step, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.checkRange(req); r != nil {
		return nil, r
	}
	input, r := e.decodeInput(req)
	if r != nil {
		return nil, r
	}
	s := &step{req: req, input: input, done: make(chan struct{}), waiters: 1, index: -1}
	key := attemptKey{req.RequestID, req.Attempt}
	if seq, ok := e.sequences[key]; ok {
		return e.beginActive(seq, s)
	}
	if seq, ok := e.ended[key]; ok {
		return e.beginEnded(seq, s)
	}
	return e.beginNew(key, s)
}

// checkRange refuses a request for another model, version or layer range than the
// engine holds.
func (e *Engine) checkRange(req *wire.StepRequest) *refusal {
	held := &e.state
	switch {
	case held.Loading:
		return refuse(wire.CodeWrongRange, "loading another model")
	case req.Model != held.Model || req.Version != held.Version:
		return refuse(wire.CodeWrongRange, "another model or version is held")
	case req.FirstLayer != held.FirstLayer || req.LastLayer != held.LastLayer:
		return refuse(wire.CodeWrongRange, "other layers are held")
	}
	return nil
}

// decodeInput returns the input of a step. It refuses a request that does not have one
// input for each position that it covers.
func (e *Engine) decodeInput(req *wire.StepRequest) (hiddenState, *refusal) {
	want := 1
	if req.Prefill {
		want = req.Position + 1
	}
	input := e.embed(req)
	if e.state.FirstLayer != 0 {
		var err error
		if input, err = decodeHidden(req.Hidden); err != nil {
			return input, refuse(wire.CodeMalformed, err.Error())
		}
	}
	if len(input.positions) != want {
		return input, refuse(wire.CodeMalformed, "the input does not match the position")
	}
	return input, nil
}

// embed returns the input of the first layer.
func (e *Engine) embed(req *wire.StepRequest) hiddenState {
	input := hiddenState{}
	if req.Prefill {
		input.blocks = PrefixBlocks(req.Prompt)
		input.positions = append(input.positions, embedPrompt(req.Model, req.Prompt))
	}
	for _, id := range req.Tokens {
		input.positions = append(input.positions, embedToken(id))
	}
	return input
}

// beginActive handles a step of an active sequence.
func (e *Engine) beginActive(seq *sequence, s *step) (*step, *refusal) {
	if old := seq.step(s.req.Position); old != nil {
		return e.resend(old, s)
	}
	if s.req.Prefill {
		return nil, e.recordViolation(s.req, wire.CodeRepeat, "prefill of an attempt that is held")
	}
	next := seq.start + len(seq.steps)
	if s.req.Position != next || !seq.last().isDone() {
		return nil, e.recordViolation(s.req, wire.CodeGap, "the step does not follow the last one")
	}
	s.seq = seq
	seq.steps = append(seq.steps, s)
	e.scheduleFinish(s, e.slowed(e.options.StepTime))
	return s, nil
}

// beginEnded handles a step of an attempt that has ended.
func (e *Engine) beginEnded(seq *sequence, s *step) (*step, *refusal) {
	if seq.discarded {
		return nil, refuse(wire.CodeUnknownAttempt, "the attempt was dropped")
	}
	if old := seq.step(s.req.Position); old != nil {
		return e.resend(old, s)
	}
	if s.req.Resend && s.req.Position < seq.start {
		return nil, refuse(wire.CodeUnknownAttempt, "the result is no longer kept")
	}
	return nil, e.recordViolation(s.req, wire.CodeGap, "the attempt has finished")
}

// resend returns a step that was sent before, if the request is marked as a resend.
func (e *Engine) resend(old, s *step) (*step, *refusal) {
	if !s.req.Resend || old.req.Prefill != s.req.Prefill {
		return nil, e.recordViolation(s.req, wire.CodeRepeat, "the step ran before")
	}
	old.waiters++
	return old, nil
}

// beginNew handles the first step of an attempt.
func (e *Engine) beginNew(key attemptKey, s *step) (*step, *refusal) {
	switch {
	case !s.req.Prefill:
		return nil, refuse(wire.CodeUnknownAttempt, "no such attempt")
	case e.faults.leaving:
		return nil, refuse(wire.CodeLeaving, "no new attempts")
	case e.running >= e.options.Slots && e.waiting.len() >= e.options.MaxWaiting:
		return nil, refuse(wire.CodeOverloaded, "the queue is full")
	}
	layers := e.state.LastLayer - e.state.FirstLayer + 1
	s.seq = &sequence{
		key: key, start: s.req.Position, steps: []*step{s},
		states: make([]layerState, layers), lastProgress: e.clock.Now(),
	}
	e.sequences[key] = s.seq
	if !e.sweepScheduled {
		e.scheduleSweep()
	}
	e.waiting.push(s)
	e.startWaiting()
	return s, nil
}

// startWaiting gives free slots to waiting prefills. The caller holds e.mu.
func (e *Engine) startWaiting() {
	for e.running < e.options.Slots && e.waiting.len() > 0 {
		s := e.waiting.pop()
		s.seq.hasSlot = true
		e.running++
		s.cached = min(e.cache.cachedTokens(s.input.blocks), max(s.req.CoveredTokens-1, 0))
		e.scheduleFinish(s, e.prefillTime(s))
	}
	e.recordLoad()
}

func (e *Engine) prefillTime(s *step) time.Duration {
	if e.options.PrefillTokensPerSecond <= 0 {
		return 0
	}
	tokens := float64(s.req.CoveredTokens - s.cached)
	seconds := tokens / e.options.PrefillTokensPerSecond
	return e.slowed(time.Duration(seconds * float64(time.Second)))
}

// slowed returns d multiplied by the factor of fault.Slow.
func (e *Engine) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.faults.factor)
}

// scheduleFinish schedules the end of a step after d.
func (e *Engine) scheduleFinish(s *step, d time.Duration) {
	e.clock.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.finish(s)
	})
}

// finish runs the layers of a step, unless its sequence was discarded. The caller holds
// e.mu.
func (e *Engine) finish(s *step) {
	if s.isDone() {
		return
	}
	s.response = e.compute(s)
	s.seq.lastProgress = e.clock.Now()
	e.runs++
	if s.req.Prefill {
		e.cache.store(e.clock.Now(), s.input.blocks)
	}
	if e.stepChecker != nil {
		e.stepChecker.record(e.options.ID, s.req)
	}
	s.releaseInput()
	close(s.done)
	if s.seq.finished {
		e.endSequence(s.seq, false)
	}
}

// releaseInput releases the input of a finished step. The result is kept.
func (s *step) releaseInput() {
	s.input = hiddenState{}
	s.req = &wire.StepRequest{Prefill: s.req.Prefill, Position: s.req.Position}
}

// compute runs the layers of a step and returns its response.
func (e *Engine) compute(s *step) *wire.StepResponse {
	req := s.req
	out := hiddenState{blocks: s.input.blocks}
	for _, p := range s.input.positions {
		out.positions = append(out.positions, runLayers(req.FirstLayer, s.seq.states, p))
	}
	response := &wire.StepResponse{
		RequestID: req.RequestID, Attempt: req.Attempt, Position: req.Position,
		CachedTokens: s.cached,
	}
	s.seq.finished = req.Position+1 >= req.MaxTokens
	if req.LastLayer != e.options.Layers-1 {
		response.Hidden = out.encode()
		return response
	}
	token := tokenOf(out.positions[len(out.positions)-1])
	e.finishToken(s.seq, &token)
	response.Token = &token
	return response
}

// finishToken sets the finish reason of the last token of a sequence.
func (e *Engine) finishToken(seq *sequence, token *wire.Token) {
	if e.options.StopOneIn > 0 && token.ID%e.options.StopOneIn == 0 {
		token.Finish = finishStop
		seq.finished = true
	}
	if seq.finished && token.Finish == "" {
		token.Finish = finishLength
	}
}

// stopWaiting removes a waiter from a step. A queued prefill without waiters is removed
// from the queue, because nothing of it has run.
func (e *Engine) stopWaiting(s *step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.waiters--
	if s.waiters == 0 && !s.isDone() && !s.seq.hasSlot {
		e.discardSteps(s.seq)
		e.releaseSequence(s.seq)
	}
}

// cancel ends an attempt. An attempt that is not known is recorded as ended, so that a
// prefill that arrives later is refused.
func (e *Engine) cancel(req wire.CancelRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := attemptKey{req.RequestID, req.Attempt}
	if s, ok := e.sequences[key]; ok {
		e.endSequence(s, true)
		return
	}
	if _, ok := e.ended[key]; !ok {
		e.keepEnded(&sequence{key: key, discarded: true})
	}
}

// recordViolation records a violation and returns it as a refusal.
func (e *Engine) recordViolation(req *wire.StepRequest, code, detail string) *refusal {
	e.violations = append(e.violations, Violation{
		Engine: e.options.ID, RequestID: req.RequestID, Attempt: req.Attempt,
		Position: req.Position, Code: code, Detail: detail,
	})
	return refuse(code, detail)
}
