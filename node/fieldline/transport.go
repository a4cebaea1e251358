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

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.Transport that fails with ErrInvalid on a response with an invalid field line, and
// closes its connection. It does not retry the request.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that checks the responses received by t. It takes over t and replaces its
// dial functions. TLS connections use HTTP/1.1.
func NewTransport(t *http.Transport) *Transport {
	dial := dialFunc(t.DialContext)
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = dial.checked
	t.DialTLSContext = dial.withTLS(t.TLSClientConfig).checked
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

// checked dials a connection that is read through a Reader.
func (d dialFunc) checked(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: NewReader(c)}, nil
}

// withTLS returns a function that dials and performs the TLS handshake for HTTP/1.1.
func (d dialFunc) withTLS(config *tls.Config) dialFunc {
	if config == nil {
		config = &tls.Config{}
	}
	config = config.Clone()
	config.NextProtos = []string{"http/1.1"}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		own := config.Clone()
		if own.ServerName == "" {
			own.ServerName, _, _ = net.SplitHostPort(address)
		}
		secure := tls.Client(c, own)
		ctx, cancel := context.WithTimeout(ctx, tlsHandshakeTimeout)
		defer cancel()
		if err := secure.HandshakeContext(ctx); err != nil {
			c.Close()
			return nil, err
		}
		return secure, nil
	}
}
