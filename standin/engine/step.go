package engine

import (
	"time"

	"masticbank.example/node/wire"
)

// refusal is an answer that says why nothing ran.
type refusal struct {
	code    string
	message string
}

func refuse(code, message string) *refusal {
	return &refusal{code: code, message: message}
}

// begin returns the step to wait for, new or stored, or why there is none.
// Every step it returns counts one more waiter.
func (e *Engine) begin(req *wire.StepRequest) (*step, *refusal) {
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
		return e.beginKnown(seq, s)
	}
	if seq, ok := e.ended[key]; ok {
		return e.beginEnded(seq, s)
	}
	return e.beginNew(key, s)
}

func (e *Engine) checkRange(req *wire.StepRequest) *refusal {
	h := &e.held
	switch {
	case h.Loading:
		return refuse(wire.CodeWrongRange, "loading another model")
	case req.Model != h.Model || req.Version != h.Version:
		return refuse(wire.CodeWrongRange, "another model or version is held")
	case req.FirstLayer != h.FirstLayer || req.LastLayer != h.LastLayer:
		return refuse(wire.CodeWrongRange, "other layers are held")
	}
	return nil
}

// decodeInput checks that the request holds one input for each position that
// it covers.
func (e *Engine) decodeInput(req *wire.StepRequest) (hiddenState, *refusal) {
	want := 1
	if req.Prefill {
		want = req.Position + 1
	}
	input := e.embed(req)
	if e.held.FirstLayer != 0 {
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

// beginKnown handles a step of a sequence that is held.
func (e *Engine) beginKnown(seq *sequence, s *step) (*step, *refusal) {
	if old := seq.step(s.req.Position); old != nil {
		return e.repeat(old, s)
	}
	if s.req.Prefill {
		return nil, e.violate(s.req, wire.CodeRepeat, "prefill of an attempt that is held")
	}
	next := seq.start + len(seq.steps)
	if s.req.Position != next || !seq.last().isDone() {
		return nil, e.violate(s.req, wire.CodeGap, "the step does not follow the last one")
	}
	s.seq = seq
	seq.steps = append(seq.steps, s)
	e.start(s, e.scaled(e.options.StepTime))
	return s, nil
}

// beginEnded handles a step of an attempt that has ended.
func (e *Engine) beginEnded(seq *sequence, s *step) (*step, *refusal) {
	if seq.dropped {
		return nil, refuse(wire.CodeUnknownAttempt, "the attempt was dropped")
	}
	if old := seq.step(s.req.Position); old != nil {
		return e.repeat(old, s)
	}
	if s.req.Resend && s.req.Position < seq.start {
		return nil, refuse(wire.CodeUnknownAttempt, "the result is no longer kept")
	}
	return nil, e.violate(s.req, wire.CodeGap, "the attempt has finished")
}

// repeat answers a step that was sent before.
func (e *Engine) repeat(old, s *step) (*step, *refusal) {
	if !s.req.Resend || old.req.Prefill != s.req.Prefill {
		return nil, e.violate(s.req, wire.CodeRepeat, "the step ran before")
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
	layers := e.held.LastLayer - e.held.FirstLayer + 1
	s.seq = &sequence{
		key: key, start: s.req.Position, steps: []*step{s},
		states: make([]layerState, layers), progress: e.clock.Now(),
	}
	e.sequences[key] = s.seq
	if !e.sweeping {
		e.armSweep()
	}
	e.waiting.push(s)
	e.startWaiting()
	return s, nil
}

// startWaiting gives free slots to waiting prefills.
func (e *Engine) startWaiting() {
	for e.running < e.options.Slots && e.waiting.len() > 0 {
		s := e.waiting.pop()
		s.seq.slot = true
		e.running++
		s.cached = min(e.cache.hit(s.input.blocks), max(s.req.CoveredTokens-1, 0))
		e.start(s, e.prefillTime(s))
	}
	e.noteLoad()
}

func (e *Engine) prefillTime(s *step) time.Duration {
	if e.options.PrefillTokensPerSecond <= 0 {
		return 0
	}
	tokens := float64(s.req.CoveredTokens - s.cached)
	seconds := tokens / e.options.PrefillTokensPerSecond
	return e.scaled(time.Duration(seconds * float64(time.Second)))
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.faults.factor)
}

func (e *Engine) start(s *step, d time.Duration) {
	e.clock.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.finish(s)
	})
}

// finish runs the layers of a step, unless its sequence was dropped meanwhile.
func (e *Engine) finish(s *step) {
	if s.isDone() {
		return
	}
	s.response = e.compute(s)
	s.seq.progress = e.clock.Now()
	e.runs++
	if s.req.Prefill {
		e.cache.store(e.clock.Now(), s.input.blocks)
	}
	if e.ledger != nil {
		e.ledger.record(e.options.ID, s.req)
	}
	s.forgetInput()
	close(s.done)
	if s.seq.finished {
		e.end(s.seq, false)
	}
}

// forgetInput frees what only the run needed; the result is kept.
func (s *step) forgetInput() {
	s.input = hiddenState{}
	s.req = &wire.StepRequest{Prefill: s.req.Prefill, Position: s.req.Position}
}

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

func (e *Engine) finishToken(seq *sequence, token *wire.Token) {
	if e.options.StopOneIn > 0 && token.ID%e.options.StopOneIn == 0 {
		token.Finish = finishStop
		seq.finished = true
	}
	if seq.finished && token.Finish == "" {
		token.Finish = finishLength
	}
}

// leave stops waiting for a step. A prefill that nobody waits for any more
// leaves the queue, as nothing of it has run.
func (e *Engine) leave(s *step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.waiters--
	if s.waiters == 0 && !s.isDone() && !s.seq.slot {
		e.dropSteps(s.seq)
		e.release(s.seq)
	}
}

// cancel ends an attempt, also one that has not arrived yet.
func (e *Engine) cancel(req wire.CancelRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := attemptKey{req.RequestID, req.Attempt}
	if s, ok := e.sequences[key]; ok {
		e.end(s, true)
		return
	}
	if _, ok := e.ended[key]; !ok {
		e.remember(&sequence{key: key, dropped: true})
	}
}

func (e *Engine) violate(req *wire.StepRequest, code, detail string) *refusal {
	e.violations = append(e.violations, Violation{
		Engine: e.options.ID, RequestID: req.RequestID, Attempt: req.Attempt,
		Position: req.Position, Code: code, Detail: detail,
	})
	return refuse(code, detail)
}
