// Package openai parses requests and encodes responses of the OpenAI-compatible
// completion API. Its only I/O is to the writers passed to it.
package openai

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Kind is the endpoint that received a request.
type Kind uint8

const (
	// KindChat is /v1/chat/completions.
	KindChat Kind = iota
	// KindText is /v1/completions.
	KindText
)

// CompletionRequest is a validated completion request.
type CompletionRequest struct {
	Kind   Kind
	Model  string
	Prompt string
	// MaxTokens is 0 when the request sets no limit.
	MaxTokens int
	Stream    bool
	// IncludeUsage requests a usage object at the end of a stream.
	IncludeUsage bool
}

// RequestError reports an invalid or unsupported request. Param is empty when it
// concerns the whole body.
type RequestError struct {
	Param  string
	Reason string
}

// Error implements error.
func (e *RequestError) Error() string {
	if e.Param == "" {
		return e.Reason
	}
	return e.Param + ": " + e.Reason
}

type requestBody struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N     *int            `json:"n"`
	Stop  json.RawMessage `json:"stop"`
	Tools json.RawMessage `json:"tools"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Parse parses and validates the body of a completion request. The error is a
// *RequestError.
func Parse(kind Kind, body []byte) (CompletionRequest, error) {
	var raw requestBody
	if err := json.Unmarshal(body, &raw); err != nil {
		return CompletionRequest{}, &RequestError{Reason: "malformed JSON: " + err.Error()}
	}
	if err := raw.check(); err != nil {
		return CompletionRequest{}, err
	}
	prompt, err := raw.prompt(kind)
	if err != nil {
		return CompletionRequest{}, err
	}
	return CompletionRequest{
		Kind:         kind,
		Model:        raw.Model,
		Prompt:       prompt,
		MaxTokens:    raw.maxTokens(),
		Stream:       raw.Stream,
		IncludeUsage: raw.StreamOptions.IncludeUsage,
	}, nil
}

func (r *requestBody) check() error {
	switch {
	case r.Model == "":
		return &RequestError{Param: "model", Reason: "is required"}
	case r.N != nil && *r.N != 1:
		return &RequestError{Param: "n", Reason: "only 1 is supported"}
	case hasValue(r.Stop):
		return &RequestError{Param: "stop", Reason: "is not supported"}
	case hasValue(r.Tools):
		return &RequestError{Param: "tools", Reason: "is not supported"}
	case r.MaxTokens != nil && *r.MaxTokens < 1:
		return &RequestError{Param: "max_tokens", Reason: "must be positive"}
	case r.MaxCompletionTokens != nil && *r.MaxCompletionTokens < 1:
		return &RequestError{Param: "max_completion_tokens", Reason: "must be positive"}
	}
	return nil
}

// hasValue reports whether an optional parameter has a value other than null or [].
func hasValue(raw json.RawMessage) bool {
	s := string(raw)
	return s != "" && s != "null" && s != "[]"
}

func (r *requestBody) maxTokens() int {
	if r.MaxCompletionTokens != nil {
		return *r.MaxCompletionTokens
	}
	if r.MaxTokens != nil {
		return *r.MaxTokens
	}
	return 0
}

// prompt returns the prompt of a text completion, or the messages of a chat joined as
// lines of role and text.
func (r *requestBody) prompt(kind Kind) (string, error) {
	if kind == KindText {
		return textPrompt(r.Prompt)
	}
	if len(r.Messages) == 0 {
		return "", &RequestError{Param: "messages", Reason: "must not be empty"}
	}
	lines := make([]string, 0, len(r.Messages))
	for i, m := range r.Messages {
		text, err := m.text()
		if err != nil {
			return "", &RequestError{Param: fmt.Sprintf("messages[%d].content", i), Reason: err.Error()}
		}
		if m.Role == "" {
			return "", &RequestError{Param: fmt.Sprintf("messages[%d].role", i), Reason: "is required"}
		}
		lines = append(lines, m.Role+": "+text)
	}
	return strings.Join(lines, "\n"), nil
}

func textPrompt(raw json.RawMessage) (string, error) {
	var s string
	if err := json.Unmarshal(raw, &s); err != nil || s == "" {
		return "", &RequestError{Param: "prompt", Reason: "must be a non-empty string"}
	}
	return s, nil
}

// text returns the content of a message, which is a string or a list of text parts.
func (m message) text() (string, error) {
	var s string
	if err := json.Unmarshal(m.Content, &s); err == nil {
		return s, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", fmt.Errorf("must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", fmt.Errorf("part of type %q is not supported", p.Type)
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}
