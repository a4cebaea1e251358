// Package adminclient is a client of the administration API of an instance.
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
	"masticbank.example/node/bounded"
	"masticbank.example/node/statusline"
)

const (
	timeout          = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// Client calls the administration API of one instance. It is safe for concurrent use.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client for the instance at base, such as "http://10.0.0.1:8081".
func New(base, key string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), key: key, http: &http.Client{Timeout: timeout, Transport: bounded.DefaultClient.Transport}}
}

// StatusError is a response with a status other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the error message in the body, or the status if there is none.
func (e *StatusError) Error() string {
	var body admin.ErrorBody
	if err := json.Unmarshal(e.Body, &body); err == nil && body.Error != "" {
		return body.Error
	}
	return fmt.Sprintf("status %d", e.Status)
}

// Status returns the state of the instance.
func (c *Client) Status(ctx context.Context) (*admin.Status, error) {
	out := &admin.Status{}
	return out, c.send(ctx, http.MethodGet, "/admin/v1/status", nil, out)
}

// Config returns the configuration in force and its revision.
func (c *Client) Config(ctx context.Context) (*admin.Config, error) {
	out := &admin.Config{}
	return out, c.send(ctx, http.MethodGet, "/admin/v1/config", nil, out)
}

// Publish proposes a configuration. It returns a *StatusError with status 409 if
// another proposal was accepted first, and with status 202 if the outcome is not
// known yet.
func (c *Client) Publish(ctx context.Context, p *admin.PublishRequest) (*admin.PublishResponse, error) {
	out := &admin.PublishResponse{}
	return out, c.send(ctx, http.MethodPost, "/admin/v1/config", p, out)
}

// Drain makes the instance and all peers that it can reach send no new work to an
// upstream.
func (c *Client) Drain(ctx context.Context, upstream string) (*admin.DrainResponse, error) {
	out := &admin.DrainResponse{}
	return out, c.send(ctx, http.MethodPost, "/admin/v1/drain", admin.DrainRequest{Upstream: upstream}, out)
}

// ExplainRequest returns the state of a request that was sent to the instance.
func (c *Client) ExplainRequest(ctx context.Context, id string) (*admin.RequestExplanation, error) {
	out := &admin.RequestExplanation{}
	return out, c.send(ctx, http.MethodGet, "/admin/v1/explain?request="+url.QueryEscape(id), nil, out)
}

// ExplainRoute returns the route that a request would take now, and the state of the
// replicas behind that choice. promptTokens is used only if the prompt is empty.
func (c *Client) ExplainRoute(ctx context.Context, model, prompt string, promptTokens, outputTokens int) (*admin.RouteExplanation, error) {
	q := url.Values{}
	q.Set("model", model)
	q.Set("prompt", prompt)
	q.Set("prompt_tokens", strconv.Itoa(promptTokens))
	q.Set("output_tokens", strconv.Itoa(outputTokens))
	out := &admin.RouteExplanation{}
	return out, c.send(ctx, http.MethodGet, "/admin/v1/explain?"+q.Encode(), nil, out)
}

// LogLevel changes the log level of the instance.
func (c *Client) LogLevel(ctx context.Context, level string) (*admin.LogLevel, error) {
	out := &admin.LogLevel{}
	return out, c.send(ctx, http.MethodPut, "/admin/v1/log-level", admin.LogLevel{Level: level}, out)
}

// send sends in as JSON, unless it is nil, and decodes the response into out.
func (c *Client) send(ctx context.Context, method, path string, in, out any) error {
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
	if err := statusline.CheckFinal(resp, c.http); err != nil {
		return trace.Wrap(err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode, Body: data}
	}
	return trace.Wrap(json.Unmarshal(data, out))
}
