package gateway

import (
	"io"
	"net/http"
	"time"

	"masticbank.example/node/exchange"
)

// readBody reads the body of a request. It takes no more memory than that if the length is known.
func readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength <= 0 {
		return io.ReadAll(r.Body)
	}
	// The server has received the whole body, so the length is true.
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// newRequest builds the request to a replica. mayRun returns, right before it is sent, why it must
// not run there any more.
func (g *Gateway) newRequest(c *call, opts ForwardOptions, mayRun func() error) *exchange.Request {
	opts.Workspace = c.workspace
	host := c.http.Header.Get("Host")
	if host == "" {
		host = c.http.Host
	}
	r := &exchange.Request{
		ID: c.ID, Method: c.http.Method, Target: c.http.RequestURI, Host: host, Body: c.body,
		Unused: c.ID == "",
	}
	r.BeforeSend = func() error {
		if err := mayRun(); err != nil {
			return err
		}
		c.sends++
		c.lastSend = time.Now()
		opts.Deadline = c.remaining(c.lastSend)
		r.Header = g.opts.Codec.Forward(c.http.Header, opts)
		return nil
	}
	return r
}
