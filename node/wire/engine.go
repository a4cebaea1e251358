// Package wire defines the JSON messages of the reference upstreams and the
// platform stand-ins. Adapters under node translate them to types of core; the
// stand-ins serve them.
package wire

// Paths served by a model engine.
const (
	// PathStep accepts a StepRequest by POST and returns a StepResponse.
	PathStep = "/v1/step"
	// PathCancel accepts a CancelRequest by POST and returns status 204.
	PathCancel = "/v1/cancel"
	// PathLoad returns a LoadReport.
	PathLoad = "/v1/load"
	// PathProbe returns status 204 if the engine accepts work.
	PathProbe = "/v1/probe"
	// PathCacheEvents returns CacheEvents, starting at the sequence number in
	// the query parameter "from".
	PathCacheEvents = "/v1/cache-events"
	// PathLayerAssignment accepts a LayerAssignment by POST and returns a
	// LayerAssignmentResponse.
	PathLayerAssignment = "/v1/order"
	// PathState returns an EngineState.
	PathState = "/v1/state"
)

// StepRequest requests that a stage run its layers for one token position.
// Position counts generated tokens: the first step of an attempt covers the
// prompt and the tokens generated so far, each later step covers one token.
type StepRequest struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Position  int    `json:"position"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	// FirstLayer and LastLayer, both inclusive, must equal the replica's range.
	FirstLayer int `json:"first_layer"`
	LastLayer  int `json:"last_layer"`
	// Priority is the rank; 0 is the most urgent.
	Priority int `json:"priority"`
	// Prefill is true for the first step of an attempt.
	Prefill bool `json:"prefill"`
	// Resend is true if the step was sent before on another connection. If the
	// engine has run the step already, it returns the stored result.
	Resend bool `json:"resend,omitempty"`
	// Prompt is set for the prefill on the first stage.
	Prompt string `json:"prompt,omitempty"`
	// Tokens is set for the first stage: all tokens generated so far for the
	// prefill, the last generated one for later steps.
	Tokens []int `json:"tokens,omitempty"`
	// Hidden is the output of the previous stage; empty for the first stage.
	Hidden []byte `json:"hidden,omitempty"`
	// CoveredTokens is the number of tokens that the step processes.
	CoveredTokens int `json:"covered_tokens"`
	// MaxTokens is the position at which the last stage reports finish
	// "length".
	MaxTokens int `json:"max_tokens"`
}

// StepResponse is the result of a step. RequestID, Attempt and Position are
// those of the request.
type StepResponse struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Position  int    `json:"position"`
	// Hidden is set by every stage except the last.
	Hidden []byte `json:"hidden,omitempty"`
	// Token is set by the last stage.
	Token *Token `json:"token,omitempty"`
	// CachedTokens is the number of prefill tokens served from the prefix
	// cache.
	CachedTokens int `json:"cached_tokens,omitempty"`
}

// Token is one generated token.
type Token struct {
	ID   int    `json:"id"`
	Text string `json:"text"`
	// Finish is empty, "stop" or "length".
	Finish string `json:"finish,omitempty"`
}

// CancelRequest ends an attempt and frees its KV cache.
type CancelRequest struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
}

// LoadReport is the load of an engine or service as measured by itself. It may
// be out of date.
type LoadReport struct {
	// Running is the number of sequences held.
	Running int `json:"running"`
	// Waiting is the number of steps that wait for a slot.
	Waiting int `json:"waiting"`
	// Slots is the maximum number of sequences in a batch.
	Slots int `json:"slots"`
	// StepMillis is the recent mean time of one decode step, in milliseconds.
	StepMillis float64 `json:"step_ms"`
	// PrefillTokensPerSecond is the recent prefill throughput.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// Leaving is true if the upstream accepts no new work.
	Leaving bool `json:"leaving"`
}

// CacheEvents reports changes of the prefix cache. Events may be late. If
// events were lost, Next skips their numbers.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// CacheEvent reports that a prompt block was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Block is the hash of the prompt prefix that ends with this block.
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted"`
}

// PrefixBlockBytes is the length of the part of a prompt that one cache block
// covers.
const PrefixBlockBytes = 64

// LayerAssignment assigns a range of layers to an engine. It contains the whole
// target state, so repeating it has no effect.
type LayerAssignment struct {
	// Fence is the epoch of the leader that sends the assignment.
	Fence      uint64 `json:"fence"`
	Model      string `json:"model"`
	Version    string `json:"version"`
	FirstLayer int    `json:"first_layer"`
	LastLayer  int    `json:"last_layer"`
}

// LayerAssignmentResponse reports whether an engine accepted a layer assignment.
type LayerAssignmentResponse struct {
	Accepted bool `json:"accepted"`
	// Fence is the highest fence received so far.
	Fence uint64 `json:"fence"`
}

// EngineState is the range of layers that an engine holds and the state of
// loading it.
type EngineState struct {
	Model      string `json:"model"`
	Version    string `json:"version"`
	FirstLayer int    `json:"first_layer"`
	LastLayer  int    `json:"last_layer"`
	Loading    bool   `json:"loading"`
	Fence      uint64 `json:"fence"`
	// Fencing is true if the engine rejects layer assignments with an older
	// fence.
	Fencing bool `json:"fencing"`
}

// Error codes in an ErrorBody.
const (
	// CodeLeaving means that the upstream accepts no new attempt; nothing ran.
	CodeLeaving = "leaving"
	// CodeOverloaded means that no slot is free; nothing ran.
	CodeOverloaded = "overloaded"
	// CodeWrongRange means that the replica does not hold the requested layers;
	// nothing ran.
	CodeWrongRange = "wrong_range"
	// CodeGap means that the step does not follow the last one; nothing ran.
	CodeGap = "gap"
	// CodeRepeat means that the step has run before; it did not run again.
	CodeRepeat = "repeat"
	// CodeUnknownAttempt means that the engine has no such attempt; nothing
	// ran.
	CodeUnknownAttempt = "unknown_attempt"
	// CodeMalformed means that the request could not be parsed; nothing ran.
	CodeMalformed = "malformed"
)

// ErrorBody is the body of every response with a status of 400 or higher.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Step is the step that the response refuses; nil if it refuses something else. A refusal
	// of a step is believed only if it identifies the step.
	Step *StepID `json:"step,omitempty"`
}

// StepID identifies one step on an engine.
type StepID struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Position  int    `json:"position"`
}

// ID returns the ID of the step.
func (r *StepRequest) ID() *StepID {
	return &StepID{RequestID: r.RequestID, Attempt: r.Attempt, Position: r.Position}
}
