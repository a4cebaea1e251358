package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Headers of requests and answers.
const (
	headerRank      = "X-Masticbank-Rank"
	headerDeadline  = "X-Masticbank-Deadline"
	headerExecution = "X-Masticbank-Execution"
	headerRequestID = "X-Masticbank-Request-Id"
	headerKey       = "Idempotency-Key"
)

const (
	executionNotRun = "not_run"
	dialTimeout     = 5 * time.Second
	// timeoutSlack is added to a deadline, so that the router can refuse first.
	timeoutSlack = 2 * time.Second
	maxBodyBytes = 8 << 20
	maxDetail    = 200
)

// client sends requests. Safe for concurrent use.
type client struct {
	http     *http.Client
	scenario *Scenario
	runID    string
	expected expected
}

func newClient(s *Scenario, runID string, transport http.RoundTripper) *client {
	if transport == nil {
		transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: s.MaxInFlight,
			DisableCompression:  true,
		}
	}
	return &client{
		http: &http.Client{Transport: transport}, scenario: s, runID: runID,
		expected: newExpected(s),
	}
}

// chatBody is the body of POST /v1/chat/completions and /v1/completions.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages,omitempty"`
	Prompt    string        `json:"prompt,omitempty"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// answerBody is a whole answer, one event of a stream, or an error.
type answerBody struct {
	Choices []struct {
		Message chatMessage `json:"message"`
		Delta   chatMessage `json:"delta"`
		Text    string      `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code      string `json:"code"`
		Message   string `json:"message"`
		Execution string `json:"execution"`
	} `json:"error"`
}

func (a *answerBody) text() string {
	if len(a.Choices) == 0 {
		return ""
	}
	c := a.Choices[0]
	return c.Message.Content + c.Delta.Content + c.Text
}

// do sends one request to target and measures it from the intended time.
func (c *client) do(ctx context.Context, a *arrival, target string, intended time.Time) sample {
	s := sample{arrival: a, lateSend: time.Since(intended)}
	timeout := c.scenario.Timeout
	if a.flow.Deadline > 0 {
		timeout = a.flow.Deadline + timeoutSlack
	}
	ctx, cancel := context.WithDeadline(ctx, intended.Add(timeout))
	defer cancel()
	request, err := c.request(ctx, a, target)
	if err != nil {
		return s.failed(err, intended)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return s.failed(err, intended)
	}
	defer func() { _ = response.Body.Close() }()
	s.status = response.StatusCode
	s.execution = response.Header.Get(headerExecution)
	s.requestID = response.Header.Get(headerRequestID)
	switch {
	case response.StatusCode >= http.StatusBadRequest:
		err = s.readError(response.Body)
	case a.isModel() && a.flow.Stream:
		err = c.readStream(&s, response.Body, intended)
	default:
		err = c.readWhole(&s, response.Body)
	}
	s.total = time.Since(intended)
	if err != nil {
		return s.failed(err, intended)
	}
	return s
}

func (c *client) request(ctx context.Context, a *arrival, target string) (*http.Request, error) {
	f := a.flow
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(nil)
	var err error
	switch f.Kind {
	case Chat, Text:
		message := chatBody{Model: c.scenario.Model, MaxTokens: a.maxTokens, Stream: f.Stream}
		if f.Kind == Chat {
			message.Messages = []chatMessage{{Role: "user", Content: a.prompt}}
		} else {
			path, message.Prompt = "/v1/completions", a.prompt
		}
		body, err = json.Marshal(message)
	case Order:
		path = "/services/" + f.Service + f.Path
		body, err = json.Marshal(a.prompt)
	case Query:
		method, path = http.MethodGet, "/services/"+f.Service+f.Path
	}
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+target+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	c.setHeaders(r, a)
	return r, nil
}

func (c *client) setHeaders(r *http.Request, a *arrival) {
	r.Header.Set("Authorization", "Bearer "+c.scenario.key(a.workspace))
	r.Header.Set("Content-Type", "application/json")
	if a.flow.Rank != "" {
		r.Header.Set(headerRank, a.flow.Rank)
	}
	if a.flow.Deadline > 0 {
		r.Header.Set(headerDeadline, strconv.FormatFloat(a.flow.Deadline.Seconds(), 'f', -1, 64))
	}
	if a.orderKey != "" {
		r.Header.Set(headerKey, c.fullKey(a))
	}
}

// fullKey returns the idempotency key of an order, unique to the run.
func (c *client) fullKey(a *arrival) string { return c.runID + "-" + a.orderKey }

// readError reads the body of an unsuccessful answer.
func (s *sample) readError(body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return err
	}
	var answer answerBody
	if json.Unmarshal(data, &answer) == nil && answer.Error != nil {
		s.detail = answer.Error.Code
		if s.execution == "" {
			s.execution = answer.Error.Execution
		}
	}
	s.outcome = Failed
	if s.execution == executionNotRun {
		s.outcome = Refused
	}
	return nil
}

// readWhole reads an answer that comes in one piece.
func (c *client) readWhole(s *sample, body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return err
	}
	s.outcome = Completed
	if !s.arrival.isModel() {
		s.body = string(data)
		return nil
	}
	var answer answerBody
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	s.tokens = s.arrival.maxTokens
	c.check(s, answer.text())
	return nil
}

var errCut = errors.New("the stream ended without its end mark")

// readStream reads server-sent events up to the end mark.
func (c *client) readStream(s *sample, body io.Reader, intended time.Time) error {
	var text strings.Builder
	last := time.Duration(0)
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxBodyBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.outcome = Completed
			c.check(s, text.String())
			return nil
		}
		var event answerBody
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return err
		}
		if event.Error != nil {
			s.execution = event.Error.Execution
			s.detail = event.Error.Code
			s.outcome = Failed
			return nil
		}
		if event.text() == "" {
			continue
		}
		text.WriteString(event.text())
		last = s.token(time.Since(intended), last)
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errCut
}

// token counts a token that came at the given time.
func (s *sample) token(at, last time.Duration) time.Duration {
	s.tokens++
	if s.tokens == 1 {
		s.firstToken = at
	} else {
		s.gaps = append(s.gaps, at-last)
	}
	return at
}

// check compares the answer with the expected one.
func (c *client) check(s *sample, text string) {
	want, known := c.expected.text(s.arrival)
	if known && text != want {
		s.outcome = Wrong
		s.detail = "differs from the expected answer"
	}
}

// failed completes a sample whose answer did not come whole.
func (s sample) failed(err error, intended time.Time) sample {
	s.total = time.Since(intended)
	s.detail = err.Error()
	if len(s.detail) > maxDetail {
		s.detail = s.detail[:maxDetail]
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded):
		s.outcome = TimedOut
	case s.tokens > 0 || (s.status > 0 && s.status < http.StatusBadRequest):
		s.outcome = Partial
	default:
		s.outcome = Failed
	}
	return s
}
