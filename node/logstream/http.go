package logstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/core/record"
	"masticbank.example/node/bounded"
	"masticbank.example/node/statusline"
	"masticbank.example/node/wire"
)

const (
	defaultTimeout   = 2 * time.Second
	maxResponseBytes = 64 << 20
	maxErrorText     = 256
)

// HTTP is a Log that uses the HTTP interface of the platform's log. It is safe for
// concurrent use.
type HTTP struct {
	// Base is the base URL of the log service without a trailing slash.
	Base string
	// Client sends the requests; nil means bounded.DefaultClient.
	Client *http.Client
	// Timeout is the maximum duration of a request in addition to its long-poll wait;
	// 0 means 2 s.
	Timeout time.Duration
}

var _ Log = (*HTTP)(nil)

// Append implements Log.
func (h *HTTP) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	body, err := json.Marshal(wire.AppendRequest{Stream: stream, Records: records})
	if err != nil {
		return 0, trace.Wrap(ErrRejected, err.Error())
	}
	var resp wire.AppendResponse
	if err := h.do(ctx, http.MethodPost, wire.PathLogAppend, body, 0, &resp); err != nil {
		return 0, err
	}
	return resp.Offset, nil
}

// Read implements Log.
func (h *HTTP) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (record.Batch, error) {
	query := url.Values{}
	query.Set("stream", stream)
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("max", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var resp wire.ReadResponse
	if err := h.do(ctx, http.MethodGet, wire.PathLogRead+"?"+query.Encode(), nil, wait, &resp); err != nil {
		return record.Batch{}, err
	}
	batch := record.Batch{First: resp.First, Next: resp.Next, Entries: make([]record.Entry, 0, len(resp.Records))}
	for _, r := range resp.Records {
		batch.Entries = append(batch.Entries, record.Entry{Offset: r.Offset, Data: r.Data})
	}
	return batch, nil
}

func (h *HTTP) do(ctx context.Context, method, path string, body []byte, wait time.Duration, result any) error {
	timeout := h.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, h.Base+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(ErrRejected, err.Error())
	}
	// Without GetBody, net/http does not retry an append on its own after a stale
	// connection was closed.
	req.GetBody = nil
	resp, err := h.client().Do(req)
	if err != nil {
		return trace.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusline.CheckFinal(resp, h.client()); err != nil {
		return trace.Wrap(ErrUnavailable, err.Error())
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	data, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return trace.Wrap(ErrUnavailable, err.Error())
	}
	if err := json.Unmarshal(data, result); err != nil {
		return trace.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}

func (h *HTTP) client() *http.Client {
	if h.Client != nil {
		return h.Client
	}
	return bounded.DefaultClient
}

// statusError converts an unsuccessful response to an error of this package, with the
// beginning of its body as text.
func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		return trace.Wrap(ErrThrottled, string(text))
	case resp.StatusCode >= http.StatusInternalServerError:
		return trace.Wrap(ErrUnavailable, "%s: %s", resp.Status, text)
	default:
		return trace.Wrap(ErrRejected, "%s: %s", resp.Status, text)
	}
}
