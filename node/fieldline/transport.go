package fieldline

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

// tlsHandshakeTimeout is that of http.DefaultTransport.
const tlsHandshakeTimeout = 10 * time.Second

// Transport is an http.Transport that fails with ErrInvalid on an HTTP/1.1 response with an invalid field
// line, and closes its connection. It does not retry the request. HTTP/2 has no field lines.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that checks the responses received by t. It takes over t and replaces its
// dial functions.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return handshake(ctx, c, address, t.TLSClientConfig)
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used *conn
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if used, _ = info.Conn.(*conn); used != nil {
				used.reader.ExpectResponse()
			}
		},
	})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil && used != nil && used.reader.Err() != nil {
		return nil, fmt.Errorf("%w: %w", used.reader.Err(), err)
	}
	return resp, err
}

// handshake performs the TLS handshake of a new connection to address and returns the connection to use,
// or closes it. http.Transport needs a *tls.Conn for HTTP/2.
func handshake(ctx context.Context, c net.Conn, address string, config *tls.Config) (net.Conn, error) {
	if config = config.Clone(); config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	ctx, cancel := context.WithTimeout(ctx, tlsHandshakeTimeout)
	defer cancel()
	secure := tls.Client(c, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		c.Close()
		return nil, err
	}
	if secure.ConnectionState().NegotiatedProtocol == "h2" {
		return secure, nil
	}
	return newConn(secure), nil
}
