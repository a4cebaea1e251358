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

// Request and response headers.
const (
	headerRank           = "X-Masticbank-Rank"
	headerDeadline       = "X-Masticbank-Deadline"
	headerExecution      = "X-Masticbank-Execution"
	headerRequestID      = "X-Masticbank-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	executionNotRun = "not_run"
	dialTimeout     = 5 * time.Second
	// timeoutSlack is added to the deadline of a request, so that the router can
	// reject the request before the client times out.
	timeoutSlack   = 2 * time.Second
	maxBodyBytes   = 8 << 20
	maxDetailBytes = 200
)

// client sends requests and measures their responses. It is safe for concurrent
// use.
type client struct {
	http     *http.Client
	scenario *Scenario
	runID    string
	expected expectedResponses
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
		expected: newExpectedResponses(s),
	}
}

// requestBody is the body of POST /v1/chat/completions and /v1/completions.
type requestBody struct {
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

// responseBody is a complete response, one event of a stream, or an error.
type responseBody struct {
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

func (r *responseBody) text() string {
	if len(r.Choices) == 0 {
		return ""
	}
	c := r.Choices[0]
	return c.Message.Content + c.Delta.Content + c.Text
}

// do sends one request to target. All times are measured from the intended arrival.
func (c *client) do(ctx context.Context, a *arrival, target string, intended time.Time) sample {
	s := sample{arrival: a, lateSend: time.Since(intended)}
	timeout := c.scenario.Timeout
	if a.flow.Deadline > 0 {
		timeout = a.flow.Deadline + timeoutSlack
	}
	ctx, cancel := context.WithDeadline(ctx, intended.Add(timeout))
	defer cancel()
	request, err := c.newRequest(ctx, a, target)
	if err != nil {
		return s.withError(err, intended)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return s.withError(err, intended)
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
		err = c.readBody(&s, response.Body)
	}
	s.total = time.Since(intended)
	if err != nil {
		return s.withError(err, intended)
	}
	return s
}

func (c *client) newRequest(ctx context.Context, a *arrival, target string) (*http.Request, error) {
	f := a.flow
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(nil)
	var err error
	switch f.Kind {
	case Chat, Completion:
		message := requestBody{Model: c.scenario.Model, MaxTokens: a.maxTokens, Stream: f.Stream}
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
		r.Header.Set(headerIdempotencyKey, c.idempotencyKey(a))
	}
}

// idempotencyKey returns the idempotency key of an order, unique to the run.
func (c *client) idempotencyKey(a *arrival) string { return c.runID + "-" + a.orderKey }

// readError reads the body of an error response and classifies it as Refused or
// Failed.
func (s *sample) readError(body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return err
	}
	var response responseBody
	if json.Unmarshal(data, &response) == nil && response.Error != nil {
		s.detail = response.Error.Code
		if s.execution == "" {
			s.execution = response.Error.Execution
		}
	}
	s.outcome = Failed
	if s.execution == executionNotRun {
		s.outcome = Refused
	}
	return nil
}

// readBody reads a response that is not streamed.
func (c *client) readBody(s *sample, body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		return err
	}
	s.outcome = Completed
	if !s.arrival.isModel() {
		s.body = string(data)
		return nil
	}
	var response responseBody
	if err := json.Unmarshal(data, &response); err != nil {
		return err
	}
	s.tokens = s.arrival.maxTokens
	c.checkText(s, response.text())
	return nil
}

var errTruncatedStream = errors.New("the stream ended without its end mark")

// readStream reads server-sent events up to the [DONE] event.
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
			c.checkText(s, text.String())
			return nil
		}
		var event responseBody
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
		last = s.addToken(time.Since(intended), last)
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errTruncatedStream
}

// addToken records a token received at the given time. It returns that time, to be
// passed as last for the next token.
func (s *sample) addToken(at, last time.Duration) time.Duration {
	s.tokens++
	if s.tokens == 1 {
		s.firstToken = at
	} else {
		s.gaps = append(s.gaps, at-last)
	}
	return at
}

// checkText marks the sample as Wrong if the response text differs from the
// expected text.
func (c *client) checkText(s *sample, text string) {
	want, known := c.expected.text(s.arrival)
	if known && text != want {
		s.outcome = Wrong
		s.detail = "differs from the expected answer"
	}
}

// withError returns the sample of a request without a complete response, with its
// outcome derived from err and from what was received.
func (s sample) withError(err error, intended time.Time) sample {
	s.total = time.Since(intended)
	s.detail = err.Error()
	if len(s.detail) > maxDetailBytes {
		s.detail = s.detail[:maxDetailBytes]
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
