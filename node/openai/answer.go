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

// Answer describes the answer to one request.
type Answer struct {
	ID      string
	Kind    Kind
	Model   string
	Created time.Time
}

type answerBody struct {
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

// Whole returns the body of a complete answer.
func (a Answer) Whole(text, finish string, usage Usage) ([]byte, error) {
	c := choice{FinishReason: &finish}
	object := "text_completion"
	if a.Kind == KindChat {
		object = "chat.completion"
		c.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return json.Marshal(a.body(object, []choice{c}, &usage))
}

// WriteChunk writes one event of a stream. Finish is empty until the last one.
func (a Answer) WriteChunk(w io.Writer, text, finish string) error {
	c := choice{}
	if finish != "" {
		c.FinishReason = &finish
	}
	object := "text_completion"
	if a.Kind == KindChat {
		object = "chat.completion.chunk"
		c.Delta = &chatMessage{Content: text}
	} else {
		c.Text = &text
	}
	return writeEvent(w, a.body(object, []choice{c}, nil))
}

// WriteUsage writes the event that carries the usage of a stream.
func (a Answer) WriteUsage(w io.Writer, usage Usage) error {
	object := "text_completion"
	if a.Kind == KindChat {
		object = "chat.completion.chunk"
	}
	return writeEvent(w, a.body(object, []choice{}, &usage))
}

// WriteDone writes the end mark of a complete stream.
func WriteDone(w io.Writer) error {
	_, err := io.WriteString(w, "data: [DONE]\n\n")
	return err
}

// WriteError writes an error event; no end mark follows it.
func WriteError(w io.Writer, e ErrorBody) error {
	return writeEvent(w, e)
}

func (a Answer) body(object string, choices []choice, usage *Usage) answerBody {
	return answerBody{ID: a.ID, Object: object, Created: a.Created.Unix(), Model: a.Model, Choices: choices, Usage: usage}
}

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

// ErrorBody is the body of an unsuccessful answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail tells what went wrong and whether the request ran.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
	// Execution is "not_run", "unknown" or "ran".
	Execution string `json:"execution"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterSeconds is set when the request may be sent again later.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

// ModelList is the answer of /v1/models.
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
