// Package gateway serves clients in front of replicas, which run the layers of a model or
// serve plain calls. It executes the decisions of the core packages: it finds the route
// and the workspace, selects replicas, forwards requests, relays stream events as they
// arrive, and moves streams to other replicas when theirs fail.
//
// A Codec and a ReplicaControl translate to and from the platform's protocols.
package gateway

import (
	"context"
	"net/http"
	"time"

	"masticbank.example/core/pipeline"
)

// Request is the decoded headers of a client's request.
type Request struct {
	// ID identifies this attempt; the client chooses it.
	ID string
	// Key is the API key, or "".
	Key string
	// Deadline is how long the client waits; 0 if not given.
	Deadline time.Duration
	// LastEvent is the ID of the last event that the client received, or "".
	LastEvent string
	// PromptTokens and MaxOutputTokens are 0 if not given.
	PromptTokens    float64
	MaxOutputTokens float64
	// OutputHint is the client's estimate of the number of output tokens; 0 if not given.
	OutputHint float64
	// SharedParts are the IDs of the prompt's parts that other requests may have too, in order.
	SharedParts []string
}

// ForwardOptions is what the router adds to the client's headers when it forwards a request.
type ForwardOptions struct {
	// Replica is the ID of the replica that the request is addressed to.
	Replica string
	// Workspace is the workspace of the API key; "" if the route needs no key.
	Workspace string
	// Deadline is the remaining time.
	Deadline time.Duration
	// LastEvent, if set, is the ID of the last event that the client received.
	LastEvent string
	// Path, if set, lists the stages that run the layers of the model.
	Path pipeline.Path
	// Rank is the priority class, 0 being the most urgent; a negative one is not sent.
	Rank int
}

// Response is the decoded headers of a replica's response.
type Response struct {
	// ID is the ID of the request that the response belongs to.
	ID string
	// Signed is true if the response has the signature of a replica that ran the request.
	Signed bool
	// NotRun is true if the replica reports that the request did not run.
	NotRun bool
	// OtherReplica is true if the address belongs to another replica than the expected one.
	OtherReplica bool
	// FailingStage is the address of the replica whose stage of the path failed, or "".
	FailingStage string
	// Running and Waiting are numbers of requests; valid if HasLoad is true.
	Running, Waiting int
	HasLoad          bool
	// Leaving is true if the responding replica shuts down and accepts no new requests.
	Leaving bool
	// Pause is how long this instance is asked to send no requests to the replica; 0 if
	// not given.
	Pause time.Duration
}

// Codec translates headers between the platform's protocol and the gateway's types.
type Codec interface {
	// Request decodes the headers of a client's request.
	Request(http.Header) Request
	// Forward returns the headers of a request to a replica.
	Forward(http.Header, ForwardOptions) http.Header
	// Response decodes the headers of a replica's response.
	Response(status int, h http.Header) Response
	// ToClient returns the headers that the client receives with a replica's response.
	ToClient(http.Header) http.Header
	// RouterError returns the headers of a response that the router makes itself.
	RouterError(id string, retryAfter time.Duration) http.Header
}

// Replica identifies a replica and, if its start time is set, one process of it.
type Replica struct {
	ID      string
	Address string
	// StartTime is the start time of the process in Unix milliseconds; 0 if any process is
	// meant.
	StartTime int64
}

// Report is the state that a replica reported. It is a few hundred milliseconds old.
type Report struct {
	// CacheUsed and CacheCapacity are the used and the total KV cache capacity, in tokens
	// times layers.
	CacheUsed, CacheCapacity float64
	// StepTimeRatio is the ratio of the replica's step time to the usual one; above 1 the
	// replica is slow.
	StepTimeRatio float64
	// From and To are the range of layers held; both are 0 if the replica holds none.
	From, To int
	// HasLayers is false if the report does not include From and To.
	HasLayers bool
	// StartTime is the start time of the replica's process in Unix milliseconds; 0 if not
	// reported.
	StartTime int64
	// Leaving is true if the replica shuts down and accepts no new requests.
	Leaving bool
	// Stalled maps the IDs of stalled requests to the address of the stage that does not
	// respond.
	Stalled map[string]string
}

// CommandStatus is the status with which a replica responds to a command: a layer assignment
// or a path change.
type CommandStatus int

// Results of commands.
const (
	// CommandAccepted means that execution has begun or is done.
	CommandAccepted CommandStatus = iota
	// CommandConflict means that the command does not fit the state of the replica.
	CommandConflict
	// CommandFenced means that the replica has seen a higher fencing token.
	CommandFenced
	// CommandUnknownRequest means that the replica does not run the request.
	CommandUnknownRequest
	// CommandOtherReplica means that the address now belongs to another replica.
	CommandOtherReplica
)

// String returns the name of the status in logs.
func (s CommandStatus) String() string {
	return [...]string{"taken", "conflict", "fenced", "unknown_request", "other_replica"}[s]
}

// CommandResult is a replica's response to a command.
type CommandResult struct {
	Status CommandStatus
	// Stage is the address of the stage that was missing or full, or "".
	Stage string
	// Leaving and Pause have the same meaning as in the headers of a response.
	Leaving bool
	Pause   time.Duration
}

// ReplicaControl reads the state of replicas and sends them commands.
type ReplicaControl interface {
	// Report returns the state that the replica reports.
	Report(ctx context.Context, r Replica) (Report, error)
	// AssignLayers assigns the layers [from, to) to the replica under the fencing token fence.
	AssignLayers(ctx context.Context, r Replica, from, to int, fence int64) (CommandResult, error)
	// Repath moves a running request, whose first stage is r, to another path.
	Repath(ctx context.Context, r Replica, requestID string, path pipeline.Path) (CommandResult, error)
}
