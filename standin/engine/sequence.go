package engine

import (
	"time"

	"masticbank.example/node/wire"
)

// attemptKey identifies an attempt of a request.
type attemptKey struct {
	request string
	attempt int
}

// sequence is the state of one attempt on this replica.
type sequence struct {
	key    attemptKey
	states []layerState
	// steps[i] is the step of position start+i. start is the position of the
	// prefill until older steps are discarded.
	start        int
	steps        []*step
	hasSlot      bool
	finished     bool
	discarded    bool
	lastProgress time.Time
}

// step is one step of a sequence: the prefill or the decoding of one token.
type step struct {
	seq    *sequence
	req    *wire.StepRequest
	input  hiddenState
	cached int
	done   chan struct{}
	// Either response or refusal is set before done is closed.
	response *wire.StepResponse
	refusal  *refusal
	// waiters is the number of HTTP handlers that wait for the step.
	waiters int
	arrival uint64
	index   int
}

func (s *step) isDone() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

func (s *step) refuse(r *refusal) {
	s.refusal = r
	close(s.done)
}

// step returns the step of a position, or nil if there is none.
func (s *sequence) step(position int) *step {
	i := position - s.start
	if i < 0 || i >= len(s.steps) {
		return nil
	}
	return s.steps[i]
}

// keepLastStep discards all steps but the last one. After the end of an attempt, only its
// last step can be sent again.
func (s *sequence) keepLastStep() {
	if n := len(s.steps); n > 1 {
		s.start += n - 1
		s.steps = []*step{s.steps[n-1]}
	}
}

func (s *sequence) last() *step { return s.steps[len(s.steps)-1] }

// endSequence ends a sequence and keeps it among the ended ones. The caller holds e.mu.
func (e *Engine) endSequence(s *sequence, discard bool) {
	if e.sequences[s.key] != s {
		return
	}
	s.discarded = discard
	if discard {
		e.discardSteps(s)
	}
	s.keepLastStep()
	e.keepEnded(s)
	e.releaseSequence(s)
}

// releaseSequence removes a sequence and frees its slot. The caller holds e.mu.
func (e *Engine) releaseSequence(s *sequence) {
	delete(e.sequences, s.key)
	if s.hasSlot {
		s.hasSlot = false
		e.running--
	}
	e.startWaiting()
}

// discardSteps refuses the steps that are not done and discards all steps. The caller
// holds e.mu.
func (e *Engine) discardSteps(s *sequence) {
	for _, st := range s.steps {
		if st.isDone() {
			continue
		}
		e.waiting.remove(st)
		st.refuse(refuse(wire.CodeUnknownAttempt, "the attempt was dropped"))
	}
	s.steps = nil
}

// keepEnded keeps an ended attempt, so that a late step of it is recognized. The caller
// holds e.mu.
func (e *Engine) keepEnded(s *sequence) {
	e.ended[s.key] = s
	e.endedOrder = append(e.endedOrder, s.key)
	if len(e.endedOrder) > maxEnded {
		delete(e.ended, e.endedOrder[0])
		e.endedOrder = e.endedOrder[1:]
	}
}

// discardIdle discards idle sequences and schedules the next sweep while there are
// sequences. The caller holds e.mu.
func (e *Engine) discardIdle() {
	now := e.clock.Now()
	for _, s := range e.sequences {
		if s.last().isDone() && now.Sub(s.lastProgress) >= e.options.IdleTimeout {
			e.endSequence(s, true)
		}
	}
	e.sweepScheduled = len(e.sequences) > 0
	if e.sweepScheduled {
		e.scheduleSweep()
	}
}

// scheduleSweep schedules the next sweep. The caller holds e.mu.
func (e *Engine) scheduleSweep() {
	e.sweepScheduled = true
	e.clock.AfterFunc(e.options.IdleTimeout/2, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.discardIdle()
	})
}
