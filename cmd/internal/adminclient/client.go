// Package adminclient calls the administration API of one instance.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/node/admin"
)

const (
	timeout        = 30 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client calls one instance. It is safe for concurrent use.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client for the instance at base, such as "http://10.0.0.1:8081".
func New(base, key string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), key: key, http: &http.Client{Timeout: timeout}}
}

// StatusError is an answer with an unexpected status.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status and the message of the body.
func (e *StatusError) Error() string {
	var body admin.ErrorBody
	if err := json.Unmarshal(e.Body, &body); err == nil && body.Error != "" {
		return body.Error
	}
	return fmt.Sprintf("status %d", e.Status)
}

// Status reads the state of the instance.
func (c *Client) Status(ctx context.Context) (*admin.Status, error) {
	out := &admin.Status{}
	return out, c.call(ctx, http.MethodGet, "/admin/v1/status", nil, out)
}

// Config reads the configuration in force.
func (c *Client) Config(ctx context.Context) (*admin.Config, error) {
	out := &admin.Config{}
	return out, c.call(ctx, http.MethodGet, "/admin/v1/config", nil, out)
}

// Publish proposes a configuration. A *StatusError with status 409 tells that
// another proposal came before, with status 202 that the fate is not known.
func (c *Client) Publish(ctx context.Context, p *admin.Publish) (*admin.Published, error) {
	out := &admin.Published{}
	return out, c.call(ctx, http.MethodPost, "/admin/v1/config", p, out)
}

// Drain stops new work to an upstream.
func (c *Client) Drain(ctx context.Context, upstream string) (*admin.Drained, error) {
	out := &admin.Drained{}
	return out, c.call(ctx, http.MethodPost, "/admin/v1/drain", admin.Drain{Upstream: upstream}, out)
}

// ExplainRequest tells what is known of a request.
func (c *Client) ExplainRequest(ctx context.Context, id string) (*admin.RequestExplanation, error) {
	out := &admin.RequestExplanation{}
	return out, c.call(ctx, http.MethodGet, "/admin/v1/explain?request="+url.QueryEscape(id), nil, out)
}

// ExplainRoute gives the grounds of a route choice made now. A prompt that is not
// empty replaces promptTokens.
func (c *Client) ExplainRoute(ctx context.Context, model, prompt string, promptTokens, outputTokens int) (*admin.RouteExplanation, error) {
	q := url.Values{}
	q.Set("model", model)
	q.Set("prompt", prompt)
	q.Set("prompt_tokens", strconv.Itoa(promptTokens))
	q.Set("output_tokens", strconv.Itoa(outputTokens))
	out := &admin.RouteExplanation{}
	return out, c.call(ctx, http.MethodGet, "/admin/v1/explain?"+q.Encode(), nil, out)
}

// LogLevel changes the level of the instance's log.
func (c *Client) LogLevel(ctx context.Context, level string) (*admin.LogLevel, error) {
	out := &admin.LogLevel{}
	return out, c.call(ctx, http.MethodPut, "/admin/v1/log-level", admin.LogLevel{Level: level}, out)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode, Body: data}
	}
	return trace.Wrap(json.Unmarshal(data, out))
}
