// Package wire holds the JSON messages that the reference upstreams and the
// platform stand-ins speak. Adapters under node translate them to the types of
// core; stand-ins serve them.
package wire

// Paths served by a model engine.
const (
	// PathStep takes a StepRequest by POST and answers a StepResponse.
	PathStep = "/v1/step"
	// PathCancel takes a CancelRequest by POST and answers 204.
	PathCancel = "/v1/cancel"
	// PathLoad answers a LoadReport.
	PathLoad = "/v1/load"
	// PathProbe answers 204 when the engine can take work.
	PathProbe = "/v1/probe"
	// PathCacheEvents answers CacheEvents from the sequence number in query
	// parameter "from".
	PathCacheEvents = "/v1/cache-events"
	// PathOrder takes an Order by POST and answers an OrderResponse.
	PathOrder = "/v1/order"
	// PathState answers an EngineState.
	PathState = "/v1/state"
)

// StepRequest asks a stage to run its layers for one token position. Position
// counts generated tokens: the first step of an attempt covers the prompt and
// the tokens generated so far, every later step covers one token.
type StepRequest struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Position  int    `json:"position"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	// FirstLayer and LastLayer, both inclusive, must equal the replica's range.
	FirstLayer int `json:"first_layer"`
	LastLayer  int `json:"last_layer"`
	// Priority is the rank: 0 is the most urgent.
	Priority int `json:"priority"`
	// Prefill is true for the first step of an attempt.
	Prefill bool `json:"prefill"`
	// Resend is true when the step was sent before on another connection; the
	// engine then answers a step that it has run with the stored result.
	Resend bool `json:"resend,omitempty"`
	// Prompt is set on the first stage's prefill.
	Prompt string `json:"prompt,omitempty"`
	// Tokens on the first stage: at prefill all tokens generated so far, later
	// the one generated last.
	Tokens []int `json:"tokens,omitempty"`
	// Hidden is the previous stage's output; empty on the first stage.
	Hidden []byte `json:"hidden,omitempty"`
	// CoveredTokens is the number of tokens that the step runs.
	CoveredTokens int `json:"covered_tokens"`
	// MaxTokens is the position at which the last stage reports finish "length".
	MaxTokens int `json:"max_tokens"`
}

// StepResponse is a stage's answer. RequestID, Attempt and Position repeat the
// request's.
type StepResponse struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Position  int    `json:"position"`
	// Hidden is set by every stage but the last.
	Hidden []byte `json:"hidden,omitempty"`
	// Token is set by the last stage.
	Token *Token `json:"token,omitempty"`
	// CachedTokens is the part of a prefill served from the prefix cache.
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

// LoadReport is an engine's or service's own view of its load. It may lag.
type LoadReport struct {
	// Running is the number of sequences held.
	Running int `json:"running"`
	// Waiting is the number of steps that wait for a slot.
	Waiting int `json:"waiting"`
	// Slots is the number of sequences that it can batch.
	Slots int `json:"slots"`
	// StepMillis is the recent mean time of one decode step, in milliseconds.
	StepMillis float64 `json:"step_ms"`
	// PrefillTokensPerSecond is the recent prefill speed.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// Leaving is true when the upstream takes no new work.
	Leaving bool `json:"leaving"`
}

// CacheEvents reports changes of the prefix cache. Events may be late, and
// Next may skip numbers when events were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// CacheEvent tells that a prompt block was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Block is the hash of the prompt prefix that ends with this block.
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted"`
}

// PrefixBlockBytes is the length of prompt that one cache block covers.
const PrefixBlockBytes = 64

// Order asks an engine to hold a target state. Orders carry the whole target,
// so that repeating one changes nothing.
type Order struct {
	// Fence is the epoch of the duty that sends the order.
	Fence      uint64 `json:"fence"`
	Model      string `json:"model"`
	Version    string `json:"version"`
	FirstLayer int    `json:"first_layer"`
	LastLayer  int    `json:"last_layer"`
}

// OrderResponse tells whether an engine took an order.
type OrderResponse struct {
	Accepted bool `json:"accepted"`
	// Fence is the highest fencing number seen.
	Fence uint64 `json:"fence"`
}

// EngineState is what an engine holds.
type EngineState struct {
	Model      string `json:"model"`
	Version    string `json:"version"`
	FirstLayer int    `json:"first_layer"`
	LastLayer  int    `json:"last_layer"`
	Loading    bool   `json:"loading"`
	Fence      uint64 `json:"fence"`
	// Fencing is true when the engine refuses orders with an old fence.
	Fencing bool `json:"fencing"`
}

// Error codes in an ErrorBody.
const (
	// CodeLeaving means the upstream takes no new attempt; nothing ran.
	CodeLeaving = "leaving"
	// CodeOverloaded means no slot is free; nothing ran.
	CodeOverloaded = "overloaded"
	// CodeWrongRange means the replica does not hold the layers asked for;
	// nothing ran.
	CodeWrongRange = "wrong_range"
	// CodeGap means that the step does not follow the last one; nothing ran.
	CodeGap = "gap"
	// CodeRepeat means that the step ran before; it did not run again.
	CodeRepeat = "repeat"
	// CodeUnknownAttempt means the engine holds no such attempt; nothing ran.
	CodeUnknownAttempt = "unknown_attempt"
	// CodeMalformed means the request could not be parsed; nothing ran.
	CodeMalformed = "malformed"
)

// ErrorBody is the body of every answer with a status of 400 or more.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}
