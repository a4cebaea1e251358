// Package gateway serves callers in front of replicas that hold the layers of a
// model or answer plain calls. It carries out what core decides: it finds the
// route and the workspace, chooses replicas, forwards requests, passes the events
// of streams on as they arrive, and repairs streams whose replicas fail.
//
// What the system around speaks is translated by a Codec and a ReplicaControl.
package gateway

import (
	"context"
	"net/http"
	"time"

	"masticbank.example/core/pipeline"
)

// Request is what the headers of a caller's request say.
type Request struct {
	// ID is the caller's ID of this attempt.
	ID string
	// Key is the API key, or "".
	Key string
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	// LastEvent is the ID of the last event that the caller has, or "".
	LastEvent string
	// PromptTokens and MaxOutputTokens are 0 if the caller does not say.
	PromptTokens    float64
	MaxOutputTokens float64
	// OutputHint is the caller's own estimate of the output, 0 if it has none.
	OutputHint float64
}

// Send is what the router tells a replica beside the caller's headers.
type Send struct {
	// Replica is the ID of the replica that is meant.
	Replica string
	// Workspace owns the key; "" if the route needs none.
	Workspace string
	// Deadline is the time that is left.
	Deadline time.Duration
	// LastEvent, if set, is the last event that the caller has received.
	LastEvent string
	// Path, if set, is the way through the layers.
	Path pipeline.Path
	// Rank is 0 for the most urgent; below 0 it is not sent.
	Rank int
}

// Answer is what the headers of a replica's answer say.
type Answer struct {
	// ID is the ID of the request that the answer belongs to.
	ID string
	// Signed answers come from a replica that ran the request.
	Signed bool
	// NotRun is the replica's word that the request did not run.
	NotRun bool
	// FailingPart is the address of the replica at fault on a path, or "".
	FailingPart string
	// Running and Waiting are counts of requests, if HasLoad.
	Running, Waiting int
	HasLoad          bool
	// Leaving is the word of the replica that answers that it leaves: it wants no new
	// requests.
	Leaving bool
	// Pause is how long the replica wants no more requests from this instance; 0 if it
	// does not say.
	Pause time.Duration
}

// Codec translates headers.
type Codec interface {
	// Request decodes a caller's request.
	Request(http.Header) Request
	// Forward makes the headers for a replica.
	Forward(http.Header, Send) http.Header
	// Answer decodes a replica's answer.
	Answer(status int, h http.Header) Answer
	// ToCaller makes the headers of a replica's answer for the caller.
	ToCaller(http.Header) http.Header
	// Refusal makes the headers of an answer of the router's own.
	Refusal(id string, retryAfter time.Duration) http.Header
}

// Replica names a replica and its address.
type Replica struct {
	ID      string
	Address string
	// Born is the start of its process, in Unix milliseconds; 0 where it does not
	// matter.
	Born int64
}

// Report is the state of a replica some hundred milliseconds ago.
type Report struct {
	// CacheUsed and CacheRoom are in tokens times layers.
	CacheUsed, CacheRoom float64
	// Pace over 1 means that the replica is slow.
	Pace float64
	// From and To bound the layers held; both are 0 if the replica holds none.
	From, To int
	// HasLayers is false if the report does not tell.
	HasLayers bool
	// Born is the start of the replica's process, in Unix milliseconds; 0 if the report
	// does not tell.
	Born int64
	// Leaving replicas want no new requests.
	Leaving bool
	// Stalled holds, by request ID, the address of the part that is silent.
	Stalled map[string]string
}

// OrderStatus is what a replica says of an order.
type OrderStatus int

// Answers to orders.
const (
	// OrderTaken orders have begun or are done.
	OrderTaken OrderStatus = iota
	// OrderConflict means that the order does not fit the state of the replica.
	OrderConflict
	// OrderFenced means that a higher fencing token was seen.
	OrderFenced
	// OrderUnknownRequest means that the replica does not run the request.
	OrderUnknownRequest
	// OrderOtherReplica means that another replica has the address now.
	OrderOtherReplica
)

// String returns the name used in logs.
func (s OrderStatus) String() string {
	return [...]string{"taken", "conflict", "fenced", "unknown_request", "other_replica"}[s]
}

// OrderResult is the answer to an order.
type OrderResult struct {
	Status OrderStatus
	// Part is the address of the part that was missing or full, or "".
	Part string
	// Leaving and Pause have the meaning that they have in an Answer.
	Leaving bool
	Pause   time.Duration
}

// ReplicaControl reads the state of replicas and orders them.
type ReplicaControl interface {
	Report(ctx context.Context, r Replica) (Report, error)
	Place(ctx context.Context, r Replica, from, to int, fence int64) (OrderResult, error)
	Repath(ctx context.Context, r Replica, requestID string, path pipeline.Path) (OrderResult, error)
}
