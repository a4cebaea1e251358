// Package attempt decides how one request passes through the stages of its path: which
// step is sent next, which responses are accepted, when a new attempt starts, and what
// the client receives at the end.
//
// Invariants:
//   - At most one step is open. A response is accepted only if it belongs to the open
//     step and reports the same request, attempt and position.
//   - Each position is emitted once, in order, regardless of the number of attempts.
//   - Exactly one Finish is produced. After it, only late responses have an effect:
//     they are reported as discarded.
//   - The outcome is execution.NotRun only if every step sent was refused.
//
// A Machine is used by one goroutine; it is not safe for concurrent use.
package attempt

import (
	"slices"

	"masticbank.example/core/execution"
)

// maxResends bounds how often one step is sent again on a new connection.
const maxResends = 2

// Reasons of an unsuccessful outcome.
const (
	// ReasonAttempts means that all allowed attempts were used.
	ReasonAttempts = "attempts_exhausted"
	// ReasonDeadline means that the deadline passed.
	ReasonDeadline = "deadline"
	// ReasonCancelled means that the client disconnected.
	ReasonCancelled = "cancelled"
)

// Config identifies one request and sets its limits.
type Config struct {
	RequestID string
	// MaxFailures is the number of failed attempts after which the request ends.
	MaxFailures int
	// MaxRefusals is the number of attempts that may end with a refusal, by which an
	// upstream proves that it did not execute the step. One more refusal ends the
	// request.
	MaxRefusals int
	// MaxTokens is the number of tokens after which the request is complete.
	MaxTokens int
}

// Machine is the state machine of one request.
type Machine struct {
	cfg        Config
	attempt    int
	failures   int
	refusals   int
	stages     []Stage
	openStep   *Send
	probing    bool
	resends    int
	tokens     []int
	excluded   []string
	unresolved int  // steps sent that got neither a response nor a refusal
	ran        bool // a stage responded with its output
	started    bool
	finished   bool
	// attemptStart is the position at which the current attempt started.
	attemptStart int
	effects      []Effect
}

// New returns a machine for one request.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg}
}

// Start returns the first effects. It must be called once, before any call of Step.
func (m *Machine) Start() []Effect {
	if m.started {
		panic("attempt: started twice")
	}
	m.started = true
	m.addEffect(Route{Attempt: 1})
	return m.drainEffects()
}

// Step applies one event and returns the effects, to be carried out in order. Events
// after the end of the request have no effect, except that a response is reported as
// discarded.
func (m *Machine) Step(e Event) []Effect {
	if m.finished {
		if r, ok := e.(Responded); ok {
			m.addEffect(Discard{Reason: DiscardLate, Step: r.Step})
		}
		return m.drainEffects()
	}
	switch e := e.(type) {
	case Routed:
		m.onRouted(e)
	case Unroutable:
		m.finish(false, e.Reason)
	case Responded:
		m.onResponse(e)
	case Refused:
		m.onRefused(e)
	case Failed:
		m.onFailed(e.Step)
	case Unresponsive:
		m.onUnresponsive(e)
	case Probed:
		m.onProbed(e)
	case Cancelled:
		m.finish(false, ReasonCancelled)
	case Expired:
		m.finish(false, ReasonDeadline)
	}
	return m.drainEffects()
}

// Execution returns whether the request ran, as far as is known so far.
func (m *Machine) Execution() execution.Status {
	switch {
	case m.ran:
		return execution.Ran
	case m.unresolved > 0:
		return execution.Unknown
	default:
		return execution.NotRun
	}
}

func (m *Machine) onRouted(e Routed) {
	if m.openStep != nil || len(e.Stages) == 0 {
		return
	}
	m.attempt++
	m.stages = slices.Clone(e.Stages)
	m.attemptStart = len(m.tokens)
	m.send(0, nil)
}

// send opens the step of one stage at the current position.
func (m *Machine) send(stage int, hidden []byte) {
	s := Send{
		Step:    Identity{RequestID: m.cfg.RequestID, Attempt: m.attempt, Stage: stage, Position: len(m.tokens)},
		Stage:   m.stages[stage],
		Prefill: len(m.tokens) == m.attemptStart,
		Hidden:  hidden,
	}
	if stage == 0 {
		s.Tokens = m.inputTokens(s.Prefill)
	}
	m.openStep = &s
	m.resends = 0
	m.probing = false
	m.unresolved++
	m.addEffect(s)
}

func (m *Machine) inputTokens(prefill bool) []int {
	if prefill {
		return slices.Clone(m.tokens)
	}
	return []int{m.tokens[len(m.tokens)-1]}
}

func (m *Machine) onResponse(e Responded) {
	if !m.isOpen(e.Step) {
		m.addEffect(Discard{Reason: DiscardLate, Step: e.Step})
		return
	}
	if !sameStep(e.Step, e.Reported) {
		m.addEffect(Discard{Reason: DiscardMismatched, Step: e.Step})
		m.failAttempt()
		return
	}
	last := m.openStep.Step.Stage == len(m.stages)-1
	if last != (e.Token != nil) || last == (len(e.Hidden) > 0) {
		m.addEffect(Discard{Reason: DiscardMalformed, Step: e.Step})
		m.failAttempt()
		return
	}
	m.unresolved--
	m.ran = true
	stage := m.openStep.Step.Stage
	m.openStep = nil
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
	m.addEffect(Emit{Position: position, Token: t})
	if t.Finish != "" {
		m.finish(true, "")
		return
	}
	m.send(0, nil)
}

func (m *Machine) onRefused(e Refused) {
	if !m.isOpen(e.Step) {
		return
	}
	// A step that was sent before on another connection may have been executed there.
	if m.openStep.Resend {
		m.failAttempt()
		return
	}
	m.unresolved--
	m.refusals++
	m.endAttempt(m.refusals > m.cfg.MaxRefusals, m.ran || m.unresolved > 0)
}

func (m *Machine) onFailed(step Identity) {
	if !m.isOpen(step) {
		return
	}
	m.failAttempt()
}

func (m *Machine) onUnresponsive(e Unresponsive) {
	if !m.isOpen(e.Step) || m.probing {
		return
	}
	if m.resends >= maxResends {
		m.failAttempt()
		return
	}
	m.probing = true
	m.addEffect(Probe{Step: m.openStep.Step, Stage: m.openStep.Stage})
}

func (m *Machine) onProbed(e Probed) {
	if !m.isOpen(e.Step) || !m.probing {
		return
	}
	m.probing = false
	if !e.Alive {
		m.failAttempt()
		return
	}
	m.resends++
	m.openStep.Resend = true
	m.addEffect(*m.openStep)
}

// failAttempt ends the attempt when its open step may have been executed.
func (m *Machine) failAttempt() {
	m.failures++
	m.endAttempt(m.failures >= m.cfg.MaxFailures, true)
}

// endAttempt ends the attempt at the open step, excludes its replica, and requests the
// next path unless the attempts are exhausted.
func (m *Machine) endAttempt(exhausted, retry bool) {
	failedReplica := m.openStep.Stage.ReplicaID
	if !slices.Contains(m.excluded, failedReplica) {
		m.excluded = append(m.excluded, failedReplica)
	}
	m.openStep = nil
	m.release()
	if exhausted {
		m.finish(false, ReasonAttempts)
		return
	}
	m.addEffect(Route{Attempt: m.attempt + 1, Exclude: slices.Clone(m.excluded), Retry: retry})
}

func (m *Machine) release() {
	if len(m.stages) == 0 {
		return
	}
	m.addEffect(Release{Attempt: m.attempt, Stages: m.stages})
	m.stages = nil
}

func (m *Machine) finish(complete bool, reason string) {
	m.finished = true
	m.openStep = nil
	m.release()
	m.addEffect(Finish{Outcome: Outcome{
		Complete:  complete,
		Execution: m.Execution(),
		Reason:    reason,
		Tokens:    len(m.tokens),
		Attempts:  m.attempt,
	}})
}

func (m *Machine) isOpen(id Identity) bool {
	return m.openStep != nil && m.openStep.Step == id
}

func sameStep(a, b Identity) bool {
	return a.RequestID == b.RequestID && a.Attempt == b.Attempt && a.Position == b.Position
}

func (m *Machine) addEffect(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Machine) drainEffects() []Effect {
	out := m.effects
	m.effects = nil
	return out
}
