package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"masticbank.example/standin/fault"
)

// Network is the server in front of an engine; it takes part in crashes.
type Network interface {
	// Cut closes all connections and refuses new ones.
	Cut()
	// Restore accepts connections again on the same address.
	Restore() error
}

// faultState holds the faults that are on. Engine.mu guards it.
type faultState struct {
	crashed  bool
	closed   bool
	leaving  bool
	hangAll  bool
	factor   float64
	poison   string
	answers  map[fault.Kind]int
	delay    time.Duration
	revision int
	// seen holds the remote addresses of connections; hung those that hang.
	seen map[string]bool
	hung map[string]bool
	// healed is closed when hanging connections go on.
	healed chan struct{}
}

// maxSeen bounds the remembered remote addresses.
const maxSeen = 1 << 14

func newFaultState() faultState {
	return faultState{
		factor:  1,
		answers: make(map[fault.Kind]int),
		seen:    make(map[string]bool),
		hung:    make(map[string]bool),
		healed:  make(chan struct{}),
	}
}

// Attach names the server that crashes together with the engine. Call it
// before serving. Without one, a crashed engine cuts each connection that
// brings a request.
func (e *Engine) Attach(n Network) { e.network = n }

// Inject shows a fault.
func (e *Engine) Inject(f fault.Fault) error {
	if err := f.Check(); err != nil {
		return err
	}
	e.mu.Lock()
	revision, err := e.set(f)
	e.mu.Unlock()
	if err != nil {
		return err
	}
	e.syncNetwork(f.Kind)
	if f.DurationMillis > 0 {
		e.clock.AfterFunc(f.Duration(), func() { e.restoreIf(revision) })
	}
	return nil
}

// Restore ends all faults.
func (e *Engine) Restore() {
	_ = e.Inject(fault.Fault{Kind: fault.Restore})
}

// Close drops everything that the engine holds and stops its work.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.closed = true
	e.dropAll()
	e.heal()
}

func (e *Engine) isClosed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.closed
}

// restoreIf ends all faults unless another one was injected meanwhile.
func (e *Engine) restoreIf(revision int) {
	e.mu.Lock()
	same := e.faults.revision == revision
	e.mu.Unlock()
	if same {
		e.Restore()
	}
}

func (e *Engine) set(f fault.Fault) (int, error) {
	state := &e.faults
	switch f.Kind {
	case fault.Crash:
		e.crash()
	case fault.CloseMidAnswer, fault.ForeignIdentity, fault.AnswerTwice, fault.DelayedDuplicate:
		state.answers[f.Kind] = f.Answers()
		state.delay = f.Delay()
	case fault.HangConnections:
		for address := range state.seen {
			state.hung[address] = true
		}
	case fault.HangAll:
		state.hangAll = true
	case fault.Slow:
		state.factor = f.Factor
	case fault.Leaving:
		state.leaving = true
	case fault.Poison:
		state.poison = f.Text
	case fault.Restore:
		e.clearFaults()
	default:
		return 0, fmt.Errorf("%w %q", fault.ErrUnknown, f.Kind)
	}
	e.noteLoad()
	state.revision++
	return state.revision, nil
}

// crash loses all sequences and the cache. The caller holds e.mu.
func (e *Engine) crash() {
	e.faults.crashed = true
	e.dropAll()
	clear(e.ended)
	e.endedFIFO = nil
	e.cache.clear()
	e.heal()
}

// heal releases the handlers of hanging connections.
func (e *Engine) heal() {
	close(e.faults.healed)
	e.faults.healed = make(chan struct{})
}

func (e *Engine) clearFaults() {
	e.heal()
	fresh := newFaultState()
	fresh.closed = e.faults.closed
	fresh.revision = e.faults.revision
	fresh.seen = e.faults.seen
	fresh.healed = e.faults.healed
	e.faults = fresh
}

func (e *Engine) syncNetwork(kind fault.Kind) {
	if e.network == nil {
		return
	}
	if kind == fault.Crash {
		e.network.Cut()
	}
	if kind == fault.Restore {
		_ = e.network.Restore()
	}
}

// passFaults returns when the request may be served; it cuts the connection of
// a crashed engine and keeps the request of a hanging one.
func (e *Engine) passFaults(r *http.Request) {
	for {
		e.mu.Lock()
		if len(e.faults.seen) >= maxSeen {
			clear(e.faults.seen)
		}
		e.faults.seen[r.RemoteAddr] = true
		crashed := e.faults.crashed || e.faults.closed
		hangs := e.faults.hangAll || e.faults.hung[r.RemoteAddr]
		healed := e.faults.healed
		e.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		if !hangs {
			return
		}
		select {
		case <-healed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// isPoison crashes the engine when the prompt holds the poison.
func (e *Engine) isPoison(prompt string) bool {
	e.mu.Lock()
	poison := e.faults.poison
	hit := poison != "" && strings.Contains(prompt, poison)
	if hit {
		e.crash()
		e.faults.revision++
	}
	e.mu.Unlock()
	if hit {
		e.syncNetwork(fault.Crash)
	}
	return hit
}

// useAnswerFault reports whether the next answer shows the fault.
func (e *Engine) useAnswerFault(kind fault.Kind) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	left := e.faults.answers[kind]
	if left > 0 {
		e.faults.answers[kind] = left - 1
	}
	return left != 0
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f fault.Fault
	err := json.NewDecoder(r.Body).Decode(&f)
	if err == nil {
		err = f.Check()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Kind != fault.Crash {
		if err := e.Inject(f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	_ = e.Inject(f)
}
