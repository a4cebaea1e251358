package logstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Defaults of AppenderOptions, and timing of retries.
const (
	defaultMaxQueued   = 4096
	defaultMaxRecords  = 256
	defaultMaxBytes    = 4 << 20
	defaultMinInterval = 20 * time.Millisecond
	minBackoff         = 20 * time.Millisecond
	maxBackoff         = time.Second
	failingTime        = time.Second
)

// AppenderOptions configures an Appender. Zero values select the defaults.
type AppenderOptions struct {
	// MaxQueued is the maximum number of queued records.
	MaxQueued int
	// MaxRecords is the maximum number of records in one append; 1 disables group
	// commit.
	MaxRecords int
	// MaxBytes is the maximum size of one append. A larger record is appended on its
	// own.
	MaxBytes int
	// MinInterval is the minimum time between the starts of two appends. It keeps
	// one instance within its share of the log's append rate limit. A negative value
	// disables it.
	MinInterval time.Duration
}

// Appender appends the records of one instance to one stream with group commit: only
// one append is in progress at a time, and records that arrive meanwhile share the
// next one. After a failure or a lost response it retries the same records until their
// contexts end, so readers may see duplicates. It is safe for concurrent use.
type Appender struct {
	log    Log
	stream string
	opts   AppenderOptions
	wake   chan struct{}

	mu      sync.Mutex
	queue   []*pending
	queued  int
	appends int64
	records int64
	// failedAt is the time of the last append without a response; it is zero after a
	// success. retrying is set while the records of that append are to be retried.
	failedAt time.Time
	retrying bool
	stopped  bool
}

// pending is a group of records that were queued together and so share one append.
type pending struct {
	ctx     context.Context
	records [][]byte
	size    int
	done    chan error
}

// NewAppender returns an Appender for stream. It appends only while Run is running.
func NewAppender(log Log, stream string, opts AppenderOptions) *Appender {
	if opts.MaxQueued == 0 {
		opts.MaxQueued = defaultMaxQueued
	}
	if opts.MaxRecords == 0 {
		opts.MaxRecords = defaultMaxRecords
	}
	if opts.MaxBytes == 0 {
		opts.MaxBytes = defaultMaxBytes
	}
	if opts.MinInterval == 0 {
		opts.MinInterval = defaultMinInterval
	}
	return &Appender{log: log, stream: stream, opts: opts, wake: make(chan struct{}, 1)}
}

// AppendAsync queues records, which will share one append, and returns a channel that
// receives one result: nil when the records are in the log, an error matching
// ErrRejected if they never will be, or the error of ctx if the outcome is unknown. It
// returns ErrQueueFull if the queue is full, and ErrStopped after Run has returned.
func (a *Appender) AppendAsync(ctx context.Context, records ...[]byte) (<-chan error, error) {
	p := &pending{ctx: ctx, records: records, done: make(chan error, 1)}
	for _, data := range records {
		p.size += len(data)
	}
	if err := a.enqueue(p); err != nil {
		return nil, trace.Wrap(err)
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return p.done, nil
}

func (a *Appender) enqueue(p *pending) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return ErrStopped
	}
	if a.queued+len(p.records) > a.opts.MaxQueued {
		return ErrQueueFull
	}
	a.queue = append(a.queue, p)
	a.queued += len(p.records)
	return nil
}

// Append queues one record and waits until the result of its append is known.
func (a *Appender) Append(ctx context.Context, data []byte) error {
	done, err := a.AppendAsync(ctx, data)
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Counts returns the number of successful appends and the number of records in them.
func (a *Appender) Counts() (appends, records int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.appends, a.records
}

// Run appends queued records until ctx ends. It returns the error of ctx, which is
// also the result of the records still queued.
func (a *Appender) Run(ctx context.Context) error {
	var batch []*pending
	defer func() { a.stop(ctx, batch) }()
	failures := 0
	for {
		batch = a.nextBatch(batch)
		if len(batch) == 0 {
			select {
			case <-a.wake:
				continue
			case <-ctx.Done():
				return trace.Wrap(ctx.Err())
			}
		}
		started := time.Now()
		err := a.append(ctx, batch)
		if err == nil || errors.Is(err, ErrRejected) {
			finish(batch, err)
			batch, failures = nil, 0
			err = sleep(ctx, a.opts.MinInterval-time.Since(started))
		} else {
			failures++
			err = sleep(ctx, backoff(failures))
		}
		if err != nil {
			return err
		}
	}
}

// append sends one batch to the log and updates the counts and the failure state.
func (a *Appender) append(ctx context.Context, batch []*pending) error {
	records := make([][]byte, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.records...)
	}
	_, err := a.log.Append(ctx, a.stream, records)
	a.mu.Lock()
	defer a.mu.Unlock()
	if errors.Is(err, ErrUnavailable) {
		a.failedAt = time.Now()
		a.retrying = true
	}
	if err == nil {
		a.failedAt = time.Time{}
		a.retrying = false
		a.appends++
		a.records += int64(len(records))
	}
	return err
}

// Failing reports whether the last append had no response and is being retried, or had
// none within the last second. After that second, callers may try again.
func (a *Appender) Failing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	recent := !a.failedAt.IsZero() && time.Since(a.failedAt) < failingTime
	return a.retrying || recent
}

// nextBatch returns the records of the next append: those of batch and the queued ones,
// up to the limits of one append. Records whose contexts have ended are removed.
func (a *Appender) nextBatch(batch []*pending) []*pending {
	a.mu.Lock()
	defer a.mu.Unlock()
	candidates := append(batch, a.queue...)
	a.queue, a.queued = nil, 0
	kept := make([]*pending, 0, min(len(candidates), a.opts.MaxRecords))
	count, size := 0, 0
	for _, p := range candidates {
		if err := p.ctx.Err(); err != nil {
			p.done <- trace.Wrap(err)
			continue
		}
		count += len(p.records)
		size += p.size
		full := count > a.opts.MaxRecords || size > a.opts.MaxBytes
		if full && len(kept) > 0 {
			a.queue = append(a.queue, p)
			a.queued += len(p.records)
			continue
		}
		kept = append(kept, p)
	}
	if len(kept) == 0 {
		a.retrying = false
	}
	return kept
}

// stop ends the Appender. All remaining records get the error of ctx.
func (a *Appender) stop(ctx context.Context, batch []*pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	finish(append(batch, a.queue...), ctx.Err())
	a.queue, a.queued = nil, 0
	a.stopped = true
}

// finish delivers the result of an append to all waiting callers.
func finish(batch []*pending, err error) {
	for _, p := range batch {
		p.done <- err
	}
}

// backoff returns a random delay, whose range doubles with each failure up to
// maxBackoff.
func backoff(failures int) time.Duration {
	limit := minBackoff << min(failures, 10)
	return minBackoff + rand.N(min(limit, maxBackoff))
}

// sleep waits for d. It returns the error of ctx if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return trace.Wrap(ctx.Err())
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}
