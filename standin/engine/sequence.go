package engine

import (
	"time"

	"masticbank.example/node/wire"
)

// attemptKey identifies a sequence.
type attemptKey struct {
	request string
	attempt int
}

// sequence is the state of one attempt on this replica.
type sequence struct {
	key    attemptKey
	states []layerState
	// start is the position of the prefill; steps[i] is position start+i.
	start    int
	steps    []*step
	slot     bool
	finished bool
	dropped  bool
	progress time.Time
}

// step is one step of a sequence.
type step struct {
	seq    *sequence
	req    *wire.StepRequest
	input  hiddenState
	cached int
	done   chan struct{}
	// response or refusal is set when done is closed.
	response *wire.StepResponse
	refusal  *refusal
	// waiters counts the handlers that wait for the step.
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

// step returns the step of a position, or nil.
func (s *sequence) step(position int) *step {
	i := position - s.start
	if i < 0 || i >= len(s.steps) {
		return nil
	}
	return s.steps[i]
}

// keepLast forgets the results before the last one, as only that can be asked
// for again once the attempt has ended.
func (s *sequence) keepLast() {
	if n := len(s.steps); n > 1 {
		s.start += n - 1
		s.steps = []*step{s.steps[n-1]}
	}
}

func (s *sequence) last() *step { return s.steps[len(s.steps)-1] }

// end ends a sequence and remembers it. The caller holds e.mu.
func (e *Engine) end(s *sequence, dropped bool) {
	if e.sequences[s.key] != s {
		return
	}
	s.dropped = dropped
	if dropped {
		e.dropSteps(s)
	}
	s.keepLast()
	e.remember(s)
	e.release(s)
}

// release forgets a sequence and frees its slot. The caller holds e.mu.
func (e *Engine) release(s *sequence) {
	delete(e.sequences, s.key)
	if s.slot {
		s.slot = false
		e.running--
	}
	e.startWaiting()
}

func (e *Engine) dropSteps(s *sequence) {
	for _, st := range s.steps {
		if st.isDone() {
			continue
		}
		e.waiting.remove(st)
		st.refuse(refuse(wire.CodeUnknownAttempt, "the attempt was dropped"))
	}
	s.steps = nil
}

// remember keeps an ended attempt, so that a late step of it is recognized.
func (e *Engine) remember(s *sequence) {
	e.ended[s.key] = s
	e.endedFIFO = append(e.endedFIFO, s.key)
	if len(e.endedFIFO) > maxEnded {
		delete(e.ended, e.endedFIFO[0])
		e.endedFIFO = e.endedFIFO[1:]
	}
}

// sweep drops idle sequences until none is held. The caller holds e.mu.
func (e *Engine) sweep() {
	now := e.clock.Now()
	for _, s := range e.sequences {
		if s.last().isDone() && now.Sub(s.progress) >= e.options.IdleTimeout {
			e.end(s, true)
		}
	}
	e.sweeping = len(e.sequences) > 0
	if e.sweeping {
		e.armSweep()
	}
}

func (e *Engine) armSweep() {
	e.sweeping = true
	e.clock.AfterFunc(e.options.IdleTimeout/2, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.sweep()
	})
}
