// Package logstream is the interface to the platform's append-only log. It contains a
// client for the log's HTTP interface and an Appender with group commit.
package logstream

import (
	"context"
	"errors"
	"time"

	"masticbank.example/core/record"
)

var (
	// ErrUnavailable means that the log did not respond. An append may have taken
	// effect.
	ErrUnavailable = errors.New("log unavailable")
	// ErrThrottled means that the log refused an append because of its rate limit.
	ErrThrottled = errors.New("log append limit reached")
	// ErrRejected means that the log will never accept this append.
	ErrRejected = errors.New("log rejected the request")
	// ErrQueueFull means that the queue of the Appender is full. Nothing was
	// appended.
	ErrQueueFull = errors.New("append queue full")
	// ErrStopped means that the Appender is no longer running. Nothing was appended.
	ErrStopped = errors.New("appender stopped")
)

// Log is the platform's log. Implementations are safe for concurrent use.
type Log interface {
	// Append appends the records atomically and returns the offset of the first one.
	// After ErrUnavailable the records may still have been appended.
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read returns at most limit records, starting at offset from or, if the log no
	// longer has that record, at its oldest one. If there is none to return, it waits
	// for one for at most wait.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (record.Batch, error)
}
