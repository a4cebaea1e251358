package httpserver

import (
	"context"
	"time"
)

// requestInfoKey is the key of a request's *requestInfo in its context.
type requestInfoKey struct{}

// requestInfo is what the server knows of a request in progress.
type requestInfo struct {
	// receivedAt is when the first bytes of the request were read from its connection.
	receivedAt time.Time
}

// ReceivedAt returns when the first bytes of the request with the given context were read. It is
// false if the context is not that of a request of a Server.
func ReceivedAt(ctx context.Context) (time.Time, bool) {
	info, ok := ctx.Value(requestInfoKey{}).(*requestInfo)
	if !ok {
		return time.Time{}, false
	}
	return info.receivedAt, true
}
