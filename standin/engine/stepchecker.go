package engine

import (
	"fmt"
	"sync"

	"masticbank.example/node/wire"
)

// StepChecker checks that each position of an attempt runs through every layer once and
// in order, across all engines that share it. It is safe for concurrent use.
type StepChecker struct {
	layers int

	mu         sync.Mutex
	next       map[attemptKey]layerPosition
	attempts   map[string]int // number of tracked attempts by request ID
	order      []attemptKey
	violations []Violation
}

// layerPosition identifies a layer at a position of an attempt.
type layerPosition struct {
	position int
	layer    int
}

// maxTrackedAttempts is the maximum number of tracked attempts.
const maxTrackedAttempts = 1 << 18

// NewStepChecker returns a checker for a model with the given number of layers.
func NewStepChecker(layers int) *StepChecker {
	return &StepChecker{layers: layers, next: make(map[attemptKey]layerPosition), attempts: make(map[string]int)}
}

// Violations returns every step that did not continue its attempt in order.
func (c *StepChecker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}

// record checks a step that ran on an engine against the position and layer expected.
func (c *StepChecker) record(engine string, req *wire.StepRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := attemptKey{req.RequestID, req.Attempt}
	want, known := c.next[key]
	if !known {
		want = layerPosition{position: req.Position}
		c.track(key)
	}
	got := layerPosition{position: req.Position, layer: req.FirstLayer}
	if got != want {
		c.violations = append(c.violations, Violation{
			Engine: engine, RequestID: req.RequestID, Attempt: req.Attempt,
			Position: req.Position, Code: violationCode(got, want),
			Detail: fmt.Sprintf("ran layer %d of position %d, expected layer %d of position %d",
				got.layer, got.position, want.layer, want.position),
		})
	}
	c.next[key] = c.after(req)
}

// after returns the layer and position that follow a step.
func (c *StepChecker) after(req *wire.StepRequest) layerPosition {
	if req.LastLayer == c.layers-1 {
		return layerPosition{position: req.Position + 1}
	}
	return layerPosition{position: req.Position, layer: req.LastLayer + 1}
}

// track tracks an attempt and, over the maximum, stops tracking the oldest one.
func (c *StepChecker) track(key attemptKey) {
	c.order = append(c.order, key)
	c.attempts[key.request]++
	if len(c.order) > maxTrackedAttempts {
		c.untrack(c.order[0])
		c.order = c.order[1:]
	}
}

func (c *StepChecker) untrack(key attemptKey) {
	delete(c.next, key)
	if c.attempts[key.request]--; c.attempts[key.request] == 0 {
		delete(c.attempts, key.request)
	}
}

// Ran reports whether a step of the request ran. It returns false if none of the
// request's attempts is tracked any longer.
func (c *StepChecker) Ran(requestID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts[requestID] > 0
}

// violationCode returns the code of the violation when got ran instead of want.
func violationCode(got, want layerPosition) string {
	if got.position < want.position || (got.position == want.position && got.layer < want.layer) {
		return wire.CodeRepeat
	}
	return wire.CodeGap
}

// SetStepChecker makes the engine record every step that it runs in c. It must be
// called before serving.
func (e *Engine) SetStepChecker(c *StepChecker) { e.stepChecker = c }
