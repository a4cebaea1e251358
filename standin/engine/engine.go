// Package engine is a small stand-in for a model engine that holds a range of
// layers. The generated tokens are correct only if every layer ran exactly once for
// each token, in order, so that a test recognizes a wrong pipeline by its output.
package engine

import (
	"net/http"
	"sync"

	"masticbank.example/node/wire"
	"masticbank.example/standin/fault"
)

const (
	finishLength = "length"
	finishStop   = "stop"
	// maxEnded is the number of ended attempts that are kept.
	maxEnded = 1024
)

// Engine is one replica. It is an http.Handler and safe for concurrent use.
type Engine struct {
	options Options
	clock   Clock
	mux     *http.ServeMux

	mu             sync.Mutex
	state          wire.EngineState
	sequences      map[attemptKey]*sequence
	ended          map[attemptKey]*sequence
	endedOrder     []attemptKey
	running        int
	waiting        waitQueue
	cache          *prefixCache
	reports        reportHistory
	faults         faultState
	network        Network
	stepChecker    *StepChecker
	sweepScheduled bool

	violations []Violation
	runs       int
}

// Violation is a step that did not follow the previous step of its attempt.
type Violation struct {
	Engine    string
	RequestID string
	Attempt   int
	Position  int
	// Code is wire.CodeGap or wire.CodeRepeat.
	Code   string
	Detail string
}

// New returns an engine that holds the layers in its options.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		options:   o,
		clock:     o.Clock,
		sequences: make(map[attemptKey]*sequence),
		ended:     make(map[attemptKey]*sequence),
		cache:     newPrefixCache(o),
		faults:    newFaultState(),
		state: wire.EngineState{
			Model: o.Model, Version: o.Version,
			FirstLayer: o.FirstLayer, LastLayer: o.LastLayer,
			Fencing: o.Fencing,
		},
	}
	e.recordLoad()
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST "+wire.PathStep, e.serveStep)
	e.mux.HandleFunc("POST "+wire.PathCancel, e.serveCancel)
	e.mux.HandleFunc("GET "+wire.PathLoad, e.serveLoad)
	e.mux.HandleFunc("GET "+wire.PathProbe, e.serveProbe)
	e.mux.HandleFunc("GET "+wire.PathCacheEvents, e.serveCacheEvents)
	e.mux.HandleFunc("POST "+wire.PathLayerAssignment, e.serveAssignment)
	e.mux.HandleFunc("GET "+wire.PathState, e.serveState)
	e.mux.HandleFunc("POST "+fault.Path, e.serveFault)
	return e
}

// ServeHTTP serves the paths of an engine as defined in package wire, and fault.Path.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != fault.Path {
		e.applyConnectionFaults(r)
	}
	e.mux.ServeHTTP(w, r)
}

// Options returns the options of the engine with defaults filled in.
func (e *Engine) Options() Options { return e.options }

// Violations returns every gap and repetition that this engine refused so far.
func (e *Engine) Violations() []Violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Violation(nil), e.violations...)
}

// Runs returns the number of steps that ran.
func (e *Engine) Runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

// State returns the model and the layers that the engine holds or loads.
func (e *Engine) State() wire.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}
