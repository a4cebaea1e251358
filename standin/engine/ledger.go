package engine

import (
	"fmt"
	"sync"

	"masticbank.example/node/wire"
)

// Ledger checks over all engines that share it that each position of an
// attempt ran through every layer once and in order. Safe for concurrent use.
type Ledger struct {
	layers int

	mu         sync.Mutex
	next       map[attemptKey]place
	attempts   map[string]int // attempts followed, by request
	order      []attemptKey
	violations []Violation
}

// place is the next layer and position that an attempt has to run.
type place struct {
	position int
	layer    int
}

// maxLedger bounds the attempts that a ledger follows.
const maxLedger = 1 << 18

// NewLedger returns a ledger for a model with the given number of layers.
func NewLedger(layers int) *Ledger {
	return &Ledger{layers: layers, next: make(map[attemptKey]place), attempts: make(map[string]int)}
}

// Violations returns every step that did not continue its attempt.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.violations...)
}

func (l *Ledger) record(engine string, req *wire.StepRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := attemptKey{req.RequestID, req.Attempt}
	want, known := l.next[key]
	if !known {
		want = place{position: req.Position}
		l.remember(key)
	}
	got := place{position: req.Position, layer: req.FirstLayer}
	if got != want {
		l.violations = append(l.violations, Violation{
			Engine: engine, RequestID: req.RequestID, Attempt: req.Attempt,
			Position: req.Position, Code: codeOf(got, want),
			Detail: fmt.Sprintf("ran layer %d of position %d, expected layer %d of position %d",
				got.layer, got.position, want.layer, want.position),
		})
	}
	l.next[key] = l.after(req)
}

func (l *Ledger) after(req *wire.StepRequest) place {
	if req.LastLayer == l.layers-1 {
		return place{position: req.Position + 1}
	}
	return place{position: req.Position, layer: req.LastLayer + 1}
}

func (l *Ledger) remember(key attemptKey) {
	l.order = append(l.order, key)
	l.attempts[key.request]++
	if len(l.order) > maxLedger {
		l.forget(l.order[0])
		l.order = l.order[1:]
	}
}

func (l *Ledger) forget(key attemptKey) {
	delete(l.next, key)
	if l.attempts[key.request]--; l.attempts[key.request] == 0 {
		delete(l.attempts, key.request)
	}
}

// Ran reports whether a step of the request ran, as far as the ledger follows.
func (l *Ledger) Ran(requestID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[requestID] > 0
}

func codeOf(got, want place) string {
	if got.position < want.position || (got.position == want.position && got.layer < want.layer) {
		return wire.CodeRepeat
	}
	return wire.CodeGap
}

// SetLedger makes the engine record its runs in l. Call it before serving.
func (e *Engine) SetLedger(l *Ledger) { e.ledger = l }
