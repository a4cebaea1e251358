// Package attempt decides how one request crosses its route: which step is
// sent next, which answers count, when a new attempt begins, and what the
// caller is told at the end.
//
// Invariants:
//   - At most one step is open. An answer counts only when it belongs to the
//     open step and states the same request, attempt and position.
//   - Each position is emitted once, in order, whatever the number of attempts.
//   - Exactly one Finish is produced, as the last effect.
//   - Finish reports execution.NotRun only if every step sent was refused.
//
// A Machine is driven by one goroutine; it is not safe for concurrent use.
package attempt

import (
	"slices"

	"masticbank.example/core/execution"
)

// maxResends bounds how often one step is repeated on new connections.
const maxResends = 2

// Reasons of an unsuccessful outcome.
const (
	// ReasonAttempts means that the attempts allowed were used up.
	ReasonAttempts = "attempts_exhausted"
	// ReasonDeadline means that the deadline passed.
	ReasonDeadline = "deadline"
	// ReasonCancelled means that the caller left.
	ReasonCancelled = "cancelled"
)

// Config bounds one request.
type Config struct {
	RequestID string
	// MaxFailures is the number of attempts that may fail.
	MaxFailures int
	// MaxRefusals is the number of attempts that may end because an upstream
	// refused a step, which proves that it did not run it.
	MaxRefusals int
	// MaxTokens is the number of tokens after which the request is complete.
	MaxTokens int
}

// Machine is the state of one request.
type Machine struct {
	cfg      Config
	attempt  int
	failures int
	refusals int
	hops     []Hop
	open     *Send
	probing  bool
	resends  int
	tokens   []int
	exclude  []string
	unproven int  // steps sent that were neither answered nor refused
	ran      bool // a stage answered
	started  bool
	finished bool
	// attemptStart is the position at which the current attempt began.
	attemptStart int
	effects      []Effect
}

// New returns a machine for one request.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg}
}

// Start returns the first effects. It is called once, before any Step.
func (m *Machine) Start() []Effect {
	if m.started {
		panic("attempt: started twice")
	}
	m.started = true
	m.emit(Route{Attempt: 1})
	return m.take()
}

// Step applies one event and returns the effects in the order in which they
// are to be carried out. Events after Finish change nothing.
func (m *Machine) Step(e Event) []Effect {
	if m.finished {
		if a, ok := e.(Answered); ok {
			m.emit(Drop{Kind: DropLate, Asked: a.Asked})
		}
		return m.take()
	}
	switch e := e.(type) {
	case Routed:
		m.onRouted(e)
	case Unroutable:
		m.finish(false, e.Reason)
	case Answered:
		m.onAnswered(e)
	case Refused:
		m.onRefused(e)
	case Failed:
		m.onFailed(e.Asked)
	case Silent:
		m.onSilent(e)
	case Probed:
		m.onProbed(e)
	case Cancelled:
		m.finish(false, ReasonCancelled)
	case Expired:
		m.finish(false, ReasonDeadline)
	}
	return m.take()
}

// Execution returns what is known so far about whether the request ran.
func (m *Machine) Execution() execution.Status {
	switch {
	case m.ran:
		return execution.Ran
	case m.unproven > 0:
		return execution.Unknown
	default:
		return execution.NotRun
	}
}

func (m *Machine) onRouted(e Routed) {
	if m.open != nil || len(e.Hops) == 0 {
		return
	}
	m.attempt++
	m.hops = slices.Clone(e.Hops)
	m.attemptStart = len(m.tokens)
	m.send(0, nil)
}

// send opens the step of one stage at the current position.
func (m *Machine) send(stage int, hidden []byte) {
	s := Send{
		Step:    Identity{RequestID: m.cfg.RequestID, Attempt: m.attempt, Stage: stage, Position: len(m.tokens)},
		Hop:     m.hops[stage],
		Prefill: len(m.tokens) == m.attemptStart,
		Hidden:  hidden,
	}
	if stage == 0 {
		s.Tokens = m.inputTokens(s.Prefill)
	}
	m.open = &s
	m.resends = 0
	m.probing = false
	m.unproven++
	m.emit(s)
}

func (m *Machine) inputTokens(prefill bool) []int {
	if prefill {
		return slices.Clone(m.tokens)
	}
	return []int{m.tokens[len(m.tokens)-1]}
}

func (m *Machine) onAnswered(e Answered) {
	if !m.isOpen(e.Asked) {
		m.emit(Drop{Kind: DropLate, Asked: e.Asked})
		return
	}
	if !sameStep(e.Asked, e.Reported) {
		m.emit(Drop{Kind: DropForeign, Asked: e.Asked})
		m.fail()
		return
	}
	last := m.open.Step.Stage == len(m.hops)-1
	if last != (e.Token != nil) || last == (len(e.Hidden) > 0) {
		m.emit(Drop{Kind: DropMalformed, Asked: e.Asked})
		m.fail()
		return
	}
	m.unproven--
	m.ran = true
	stage := m.open.Step.Stage
	m.open = nil
	if last {
		m.onToken(*e.Token)
		return
	}
	m.send(stage+1, e.Hidden)
}

func (m *Machine) onToken(t Token) {
	position := len(m.tokens)
	m.tokens = append(m.tokens, t.ID)
	if t.Finish == "" && len(m.tokens) >= m.cfg.MaxTokens {
		t.Finish = "length"
	}
	m.emit(Emit{Position: position, Token: t})
	if t.Finish != "" {
		m.finish(true, "")
		return
	}
	m.send(0, nil)
}

func (m *Machine) onRefused(e Refused) {
	if !m.isOpen(e.Asked) {
		return
	}
	// A step that was sent before on another connection may have run there.
	if m.open.Resend {
		m.fail()
		return
	}
	m.unproven--
	m.refusals++
	m.next(m.refusals > m.cfg.MaxRefusals, m.ran || m.unproven > 0)
}

func (m *Machine) onFailed(asked Identity) {
	if !m.isOpen(asked) {
		return
	}
	m.fail()
}

func (m *Machine) onSilent(e Silent) {
	if !m.isOpen(e.Asked) || m.probing {
		return
	}
	if m.resends >= maxResends {
		m.fail()
		return
	}
	m.probing = true
	m.emit(Probe{Step: m.open.Step, Hop: m.open.Hop})
}

func (m *Machine) onProbed(e Probed) {
	if !m.isOpen(e.Asked) || !m.probing {
		return
	}
	m.probing = false
	if !e.Alive {
		m.fail()
		return
	}
	m.resends++
	m.open.Resend = true
	m.emit(*m.open)
}

// fail ends the attempt whose open step may have run.
func (m *Machine) fail() {
	m.failures++
	m.next(m.failures >= m.cfg.MaxFailures, true)
}

// next ends the attempt at the open step and asks for the next route, unless the
// attempts are exhausted.
func (m *Machine) next(exhausted, retry bool) {
	bad := m.open.Hop.ReplicaID
	if !slices.Contains(m.exclude, bad) {
		m.exclude = append(m.exclude, bad)
	}
	m.open = nil
	m.release()
	if exhausted {
		m.finish(false, ReasonAttempts)
		return
	}
	m.emit(Route{Attempt: m.attempt + 1, Exclude: slices.Clone(m.exclude), Retry: retry})
}

func (m *Machine) release() {
	if len(m.hops) == 0 {
		return
	}
	m.emit(Release{Attempt: m.attempt, Hops: m.hops})
	m.hops = nil
}

func (m *Machine) finish(complete bool, reason string) {
	m.finished = true
	m.open = nil
	m.release()
	m.emit(Finish{Outcome: Outcome{
		Complete:  complete,
		Execution: m.Execution(),
		Reason:    reason,
		Tokens:    len(m.tokens),
		Attempts:  m.attempt,
	}})
}

func (m *Machine) isOpen(id Identity) bool {
	return m.open != nil && m.open.Step == id
}

func sameStep(a, b Identity) bool {
	return a.RequestID == b.RequestID && a.Attempt == b.Attempt && a.Position == b.Position
}

func (m *Machine) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Machine) take() []Effect {
	out := m.effects
	m.effects = nil
	return out
}
