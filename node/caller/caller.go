// Package caller tells whether the client of a request still waits for it.
//
// A request's context ends only some time after its client has left or its deadline has passed, as
// closed connections are looked for periodically and timers run late, and later still in a process
// that gets the processor late. Whoever sends a request on to a replica asks here right before.
package caller

import (
	"context"
	"net"
	"time"
)

type key struct{}

// WithConnection returns a context of a request with a client. endIfLeft looks whether the client is
// still connected, and if not ends the context that the returned one is derived from. It must be safe
// for concurrent use and must not block.
func WithConnection(ctx context.Context, endIfLeft func()) context.Context {
	return context.WithValue(ctx, key{}, endIfLeft)
}

// Dialer dials for clients that take a connection from a pool right after. It looks for the client of
// the request again when the connection is established, so that the request's context has ended
// before the connection is used. The context of the dial itself may live on.
type Dialer struct{ net.Dialer }

// DialContext implements the dial function of http.Transport.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err == nil {
		_ = Check(ctx) // ends the request's context
	}
	return c, err
}

// Check returns nil if the request with the given context may still be sent, else
// context.Canceled or context.DeadlineExceeded. It is up to date at the moment of the call. Work that
// goes on without its client, in a context from context.WithoutCancel, is not stopped.
func Check(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if end, ok := ctx.Deadline(); ok && !time.Now().Before(end) {
		return context.DeadlineExceeded
	}
	if endIfLeft, ok := ctx.Value(key{}).(func()); ok {
		endIfLeft()
	}
	return ctx.Err()
}
