package router

import (
	"time"

	"masticbank.example/core/attempt"
	"masticbank.example/core/config"
	"masticbank.example/core/execution"
)

// bytesPerToken estimates the length of prompts in tokens.
const bytesPerToken = 4

// Request is one checked completion request.
type Request struct {
	ID        string
	Workspace string
	Rank      config.Rank
	Model     string
	Prompt    string
	MaxTokens int
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// Arrived is when the request was read.
	Arrived time.Time
}

// PromptTokens estimates the tokens of the prompt.
func (r *Request) PromptTokens() int {
	return len(r.Prompt)/bytesPerToken + 1
}

// Sink takes the tokens of one answer in order. An error ends the request.
type Sink interface {
	Token(t attempt.Token) error
}

// Code classifies results that are not complete answers.
type Code string

// Codes of unsuccessful results.
const (
	CodeUnknownModel   Code = "unknown_model"
	CodeUnknownService Code = "unknown_service"
	CodeRefused        Code = "refused"
	CodeWorkspaceFull  Code = "workspace_queue_full"
	CodePoolFull       Code = "pool_queue_full"
	CodeHopeless       Code = "deadline_cannot_be_met"
	CodeDeadline       Code = "deadline_passed"
	CodeCancelled      Code = "caller_left"
	CodeNoRoute        Code = "no_route"
	CodeAttempts       Code = "attempts_exhausted"
	CodeRetryBudget    Code = "retry_budget_exhausted"
	CodePoison         Code = "poison_request"
	CodeNoUpstream     Code = "no_upstream"
	CodeUpstreamFailed Code = "upstream_failed"
	CodeNotReady       Code = "not_ready"
	CodeKeyReused      Code = "idempotency_key_reused"
	CodeKeyExpired     Code = "idempotency_key_expired"
	CodeKeyMalformed   Code = "idempotency_key_malformed"
	CodeKeyUndecided   Code = "idempotency_key_undecided"
	CodeAnswerTooLarge Code = "recorded_answer_too_large"
	CodeLogUnavailable Code = "log_unavailable"
)

// Result is the final outcome of one request.
type Result struct {
	RequestID string
	Complete  bool
	Code      Code
	Message   string
	Execution execution.Status
	// RetryAfter is positive when the request may succeed later.
	RetryAfter time.Duration

	Workspace  string
	Rank       config.Rank
	Model      string
	Tokens     int
	Attempts   int
	Retries    int
	Dropped    int
	QueueWait  time.Duration
	FirstToken time.Duration
	Total      time.Duration
	// Route names the replicas of the last attempt in order of their layers.
	Route []string
	// Expected is the duration that the route choice estimated.
	Expected time.Duration
}
