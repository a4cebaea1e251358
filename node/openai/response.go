package openai

import (
	"encoding/json"
	"io"
	"time"
)

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// CompletionResponse holds the properties that all parts of the response to one
// request share.
type CompletionResponse struct {
	ID      string
	Kind    Kind
	Model   string
	Created time.Time
}

type completionBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Body returns the body of a response that is not streamed.
func (r CompletionResponse) Body(text, finish string, usage Usage) ([]byte, error) {
	c := choice{FinishReason: &finish}
	object := "text_completion"
	if r.Kind == KindChat {
		object = "chat.completion"
		c.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return json.Marshal(r.newBody(object, []choice{c}, &usage))
}

// WriteChunk writes one event of a stream. Finish is the finish reason; it is empty
// except in the last event.
func (r CompletionResponse) WriteChunk(w io.Writer, text, finish string) error {
	c := choice{}
	if finish != "" {
		c.FinishReason = &finish
	}
	object := "text_completion"
	if r.Kind == KindChat {
		object = "chat.completion.chunk"
		c.Delta = &chatMessage{Content: text}
	} else {
		c.Text = &text
	}
	return writeEvent(w, r.newBody(object, []choice{c}, nil))
}

// WriteUsage writes the event that reports the token usage of a stream.
func (r CompletionResponse) WriteUsage(w io.Writer, usage Usage) error {
	object := "text_completion"
	if r.Kind == KindChat {
		object = "chat.completion.chunk"
	}
	return writeEvent(w, r.newBody(object, []choice{}, &usage))
}

// WriteDone writes the [DONE] event, which ends a complete stream.
func WriteDone(w io.Writer) error {
	_, err := io.WriteString(w, "data: [DONE]\n\n")
	return err
}

// WriteError writes an error event, which ends a stream without a [DONE] event.
func WriteError(w io.Writer, e ErrorBody) error {
	return writeEvent(w, e)
}

func (r CompletionResponse) newBody(object string, choices []choice, usage *Usage) completionBody {
	return completionBody{ID: r.ID, Object: object, Created: r.Created.Unix(), Model: r.Model, Choices: choices, Usage: usage}
}

// writeEvent writes v in JSON as a server-sent event, in one call of Write.
func writeEvent(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	_, err = w.Write(event)
	return err
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and whether the request was executed.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
	// Execution is "not_run", "unknown" or "ran".
	Execution string `json:"execution"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterSeconds is the time after which the client may retry; 0 if there is
	// none to recommend.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

// ModelList is the response of /v1/models.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelItem `json:"data"`
}

// ModelItem is one model in a ModelList.
type ModelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
