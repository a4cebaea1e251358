// Package engine defines the client interface through which the router calls model
// engines. Each subpackage implements it for one protocol.
package engine

import (
	"context"

	"masticbank.example/node/wire"
)

// Target identifies one engine.
type Target struct {
	ID string
	// Address is host:port.
	Address string
}

// Client calls model engines. Implementations are safe for concurrent use. All
// returned errors are of type *CallError.
type Client interface {
	// Step runs one stage of the model for one position.
	Step(ctx context.Context, t Target, r *wire.StepRequest) (*wire.StepResponse, error)
	// Cancel ends an attempt. The engine may already have discarded it.
	Cancel(ctx context.Context, t Target, r *wire.CancelRequest) error
	// Load reads the engine's load report.
	Load(ctx context.Context, t Target) (*wire.LoadReport, error)
	// Probe checks on a new connection whether the engine responds.
	Probe(ctx context.Context, t Target) error
	// CacheEvents reads the changes of the prefix cache, starting with event number
	// from.
	CacheEvents(ctx context.Context, t Target, from uint64) (*wire.CacheEvents, error)
	// AssignLayers sends a layer assignment. It carries the complete target state, so
	// sending it again is harmless.
	AssignLayers(ctx context.Context, t Target, a *wire.LayerAssignment) (*wire.LayerAssignmentResponse, error)
	// State reads which model, version and layers the engine holds.
	State(ctx context.Context, t Target) (*wire.EngineState, error)
	// ReplaceConnections closes the idle connections to the engine, so that later
	// calls open new ones.
	ReplaceConnections(t Target)
	// Release releases all resources held for the engine.
	Release(t Target)
}

// Proof states what is known about the execution of a failed call.
type Proof uint8

const (
	// ProofNone means that the engine may have executed the call.
	ProofNone Proof = iota
	// ProofNotSent means that the call was not executed because nothing was written to
	// the engine.
	ProofNotSent
	// ProofRefused means that the call was not executed because the engine refused it
	// in its protocol.
	ProofRefused
)

// CallError describes a call that got no usable response.
type CallError struct {
	Proof Proof
	// Code is the error code that the engine returned, or one of the Code constants
	// below.
	Code string
	Err  error
}

// Codes of calls that failed without an error code from the engine.
const (
	// CodeTimeout means that the deadline passed before a response arrived.
	CodeTimeout = "timeout"
	// CodeConnection means that the connection was refused, reset or closed.
	CodeConnection = "connection"
	// CodeProtocol means that the request could not be encoded or the response could
	// not be decoded.
	CodeProtocol = "protocol"
	// CodeCancelled means that the context of the call was cancelled.
	CodeCancelled = "cancelled"
)

// Error returns the code followed by the cause.
func (e *CallError) Error() string {
	if e.Err == nil {
		return e.Code
	}
	return e.Code + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
