// Package logstream is the port to the platform's append-only log, with an
// adapter for its HTTP interface and an Appender that groups appends.
package logstream

import (
	"context"
	"errors"
	"time"

	"masticbank.example/core/record"
)

var (
	// ErrUnavailable means that the log gave no answer; an append may have taken
	// effect.
	ErrUnavailable = errors.New("log unavailable")
	// ErrThrottled means that the log refused an append for its limit.
	ErrThrottled = errors.New("log append limit reached")
	// ErrRejected means that the log will never take this append.
	ErrRejected = errors.New("log rejected the request")
	// ErrQueueFull means that the Appender's queue has no room; nothing was
	// appended.
	ErrQueueFull = errors.New("append queue full")
	// ErrStopped means that the Appender has ended; nothing was appended.
	ErrStopped = errors.New("appender stopped")
)

// Log is the platform's log. Implementations are safe for concurrent use.
type Log interface {
	// Append adds the records as one unit and returns the first one's offset.
	// After ErrUnavailable the records may have been added all the same.
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read returns at most limit records from offset on, or from the first kept
	// one. With none to return it waits up to wait for one.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (record.Batch, error)
}
