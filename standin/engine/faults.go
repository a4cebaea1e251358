package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"masticbank.example/standin/fault"
)

// Network is the server in front of an engine. It is disconnected while the engine is
// crashed.
type Network interface {
	// Disconnect closes all connections and refuses new ones.
	Disconnect()
	// Reconnect accepts connections on the same address again.
	Reconnect() error
}

// faultState holds the active faults of an engine. The engine's lock guards it.
type faultState struct {
	crashed   bool
	closed    bool
	leaving   bool
	hangAll   bool
	factor    float64
	poison    string
	remaining map[fault.Kind]int
	delay     time.Duration
	revision  int
	// seenAddresses holds the remote addresses of all connections that brought
	// requests, hungAddresses those of connections that hang.
	seenAddresses map[string]bool
	hungAddresses map[string]bool
	// resumed is closed when the requests on hanging connections may continue.
	resumed chan struct{}
}

// maxSeenAddresses is the maximum number of remote addresses that are kept.
const maxSeenAddresses = 1 << 14

func newFaultState() faultState {
	return faultState{
		factor:        1,
		remaining:     make(map[fault.Kind]int),
		seenAddresses: make(map[string]bool),
		hungAddresses: make(map[string]bool),
		resumed:       make(chan struct{}),
	}
}

// AttachNetwork sets the server that is disconnected while the engine is crashed. It
// must be called before serving. Without a server, a crashed engine closes each
// connection on which a request arrives.
func (e *Engine) AttachNetwork(n Network) { e.network = n }

// Inject applies a fault.
func (e *Engine) Inject(f fault.Fault) error {
	if err := f.Validate(); err != nil {
		return err
	}
	e.mu.Lock()
	revision, err := e.applyFault(f)
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

// Close discards all sequences and closes the connection of every further request.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.closed = true
	e.discardAll()
	e.resumeHung()
}

func (e *Engine) isClosed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.closed
}

// restoreIf ends all faults unless another one was injected since the given revision.
func (e *Engine) restoreIf(revision int) {
	e.mu.Lock()
	same := e.faults.revision == revision
	e.mu.Unlock()
	if same {
		e.Restore()
	}
}

// applyFault applies a fault and returns the new revision of the faults. The caller holds
// e.mu.
func (e *Engine) applyFault(f fault.Fault) (int, error) {
	state := &e.faults
	switch f.Kind {
	case fault.Crash:
		e.crash()
	case fault.CloseMidResponse, fault.WrongRequestID, fault.DuplicateResponse, fault.DelayedDuplicate:
		state.remaining[f.Kind] = f.Responses()
		state.delay = f.Delay()
	case fault.HangConnections:
		for address := range state.seenAddresses {
			state.hungAddresses[address] = true
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
	e.recordLoad()
	state.revision++
	return state.revision, nil
}

// crash discards all sequences, ended attempts and the cache. The caller holds e.mu.
func (e *Engine) crash() {
	e.faults.crashed = true
	e.discardAll()
	clear(e.ended)
	e.endedOrder = nil
	e.cache.clear()
	e.resumeHung()
}

// resumeHung lets the requests on hanging connections continue. The caller holds e.mu.
func (e *Engine) resumeHung() {
	close(e.faults.resumed)
	e.faults.resumed = make(chan struct{})
}

// clearFaults ends all faults. The caller holds e.mu.
func (e *Engine) clearFaults() {
	e.resumeHung()
	fresh := newFaultState()
	fresh.closed = e.faults.closed
	fresh.revision = e.faults.revision
	fresh.seenAddresses = e.faults.seenAddresses
	fresh.resumed = e.faults.resumed
	e.faults = fresh
}

// syncNetwork disconnects the server after a crash and reconnects it after Restore.
func (e *Engine) syncNetwork(kind fault.Kind) {
	if e.network == nil {
		return
	}
	if kind == fault.Crash {
		e.network.Disconnect()
	}
	if kind == fault.Restore {
		_ = e.network.Reconnect()
	}
}

// applyConnectionFaults returns when the request may be served. It aborts the connection
// if the engine is crashed or closed, and blocks while the connection hangs.
func (e *Engine) applyConnectionFaults(r *http.Request) {
	for {
		e.mu.Lock()
		if len(e.faults.seenAddresses) >= maxSeenAddresses {
			clear(e.faults.seenAddresses)
		}
		e.faults.seenAddresses[r.RemoteAddr] = true
		crashed := e.faults.crashed || e.faults.closed
		hangs := e.faults.hangAll || e.faults.hungAddresses[r.RemoteAddr]
		resumed := e.faults.resumed
		e.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		if !hangs {
			return
		}
		select {
		case <-resumed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// crashIfPoison crashes the engine if the prompt contains the poison text, and reports
// whether it did.
func (e *Engine) crashIfPoison(prompt string) bool {
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

// consumeResponseFault reports whether the fault applies to this response, and counts it
// down.
func (e *Engine) consumeResponseFault(kind fault.Kind) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	left := e.faults.remaining[kind]
	if left > 0 {
		e.faults.remaining[kind] = left - 1
	}
	return left != 0
}

// serveFault responds before a crash, because the crash closes the connection.
func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f fault.Fault
	err := json.NewDecoder(r.Body).Decode(&f)
	if err == nil {
		err = f.Validate()
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
