// Package engine defines how the router calls model engines. Adapters in
// subpackages implement Client for one protocol each.
package engine

import (
	"context"

	"masticbank.example/node/wire"
)

// Target names one engine.
type Target struct {
	ID string
	// Address is host:port.
	Address string
}

// Client calls model engines. Implementations are safe for concurrent use.
// Errors are *CallError.
type Client interface {
	// Step runs one stage for one position.
	Step(ctx context.Context, t Target, r *wire.StepRequest) (*wire.StepResponse, error)
	// Cancel ends an attempt; the engine may already have forgotten it.
	Cancel(ctx context.Context, t Target, r *wire.CancelRequest) error
	// Load reads the load report.
	Load(ctx context.Context, t Target) (*wire.LoadReport, error)
	// Probe asks on a new connection whether the engine answers.
	Probe(ctx context.Context, t Target) error
	// CacheEvents reads changes of the prefix cache.
	CacheEvents(ctx context.Context, t Target, from uint64) (*wire.CacheEvents, error)
	// Order sends a target state.
	Order(ctx context.Context, t Target, o *wire.Order) (*wire.OrderResponse, error)
	// State reads what the engine holds.
	State(ctx context.Context, t Target) (*wire.EngineState, error)
	// ReplaceConnections closes the idle connections to the engine, so that
	// later calls open new ones.
	ReplaceConnections(t Target)
	// Forget releases everything held for the engine.
	Forget(t Target)
}

// Proof tells what a failed call proves about its execution.
type Proof uint8

const (
	// ProofNone means that the engine may have executed the call.
	ProofNone Proof = iota
	// ProofNotSent means that nothing was written to the engine.
	ProofNotSent
	// ProofRefused means that the engine refused the call in its protocol.
	ProofRefused
)

// CallError is a call without a usable answer.
type CallError struct {
	Proof Proof
	// Code is the engine's error code, or one of the codes below.
	Code string
	Err  error
}

// Codes of calls that ended without an answer of the engine.
const (
	// CodeTimeout means that no answer came in time.
	CodeTimeout = "timeout"
	// CodeConnection means that the connection was refused, reset or closed.
	CodeConnection = "connection"
	// CodeProtocol means that the answer could not be understood.
	CodeProtocol = "protocol"
	// CodeCancelled means that the caller of the client gave up.
	CodeCancelled = "cancelled"
)

// Error returns the code and the cause.
func (e *CallError) Error() string {
	if e.Err == nil {
		return e.Code
	}
	return e.Code + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
