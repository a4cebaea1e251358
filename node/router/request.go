package router

import (
	"time"

	"masticbank.example/core/attempt"
	"masticbank.example/core/config"
	"masticbank.example/core/execution"
)

// bytesPerToken is the assumed average number of prompt bytes per token.
const bytesPerToken = 4

// Request is one validated completion request.
type Request struct {
	ID        string
	Workspace string
	Rank      config.Rank
	Model     string
	Prompt    string
	MaxTokens int
	// Deadline is the time by which the response must be complete.
	Deadline time.Time
	// Arrived is the time at which the request was read.
	Arrived time.Time
}

// PromptTokens estimates the number of tokens in the prompt from its length.
func (r *Request) PromptTokens() int {
	return len(r.Prompt)/bytesPerToken + 1
}

// Sink receives the tokens of one response in order. An error ends the request.
type Sink interface {
	Token(t attempt.Token) error
}

// Code classifies why a result is not a complete response.
type Code string

// Codes of unsuccessful results.
const (
	CodeUnknownModel         Code = "unknown_model"
	CodeUnknownService       Code = "unknown_service"
	CodeRefused              Code = "refused"
	CodeWorkspaceQueueFull   Code = "workspace_queue_full"
	CodePoolQueueFull        Code = "pool_queue_full"
	CodeDeadlineUnreachable  Code = "deadline_cannot_be_met"
	CodeDeadlinePassed       Code = "deadline_passed"
	CodeCancelled            Code = "caller_left"
	CodeNoRoute              Code = "no_route"
	CodeAttemptsExhausted    Code = "attempts_exhausted"
	CodeRetryBudgetExhausted Code = "retry_budget_exhausted"
	CodePoison               Code = "poison_request"
	CodeNoUpstream           Code = "no_upstream"
	CodeUpstreamFailed       Code = "upstream_failed"
	CodeNotReady             Code = "not_ready"
	CodeKeyReused            Code = "idempotency_key_reused"
	CodeKeyExpired           Code = "idempotency_key_expired"
	CodeKeyMalformed         Code = "idempotency_key_malformed"
	CodeKeyUndecided         Code = "idempotency_key_undecided"
	CodeResponseTooLarge     Code = "recorded_answer_too_large"
	CodeLogUnavailable       Code = "log_unavailable"
)

// Result is the final outcome of one request, with its statistics.
type Result struct {
	RequestID string
	Complete  bool
	Code      Code
	Message   string
	Execution execution.Status
	// RetryAfter is positive if the request may succeed when it is sent again later.
	RetryAfter time.Duration

	Workspace          string
	Rank               config.Rank
	Model              string
	Tokens             int
	Attempts           int
	Retries            int
	DiscardedResponses int
	QueueWait          time.Duration
	FirstToken         time.Duration
	Total              time.Duration
	// Route holds the replica IDs of the last attempt in layer order.
	Route []string
	// Expected is the duration that the router estimated for the chosen route.
	Expected time.Duration
}
