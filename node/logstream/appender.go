package logstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Defaults of AppenderOptions.
const (
	defaultMaxQueued   = 4096
	defaultMaxRecords  = 256
	defaultMaxBytes    = 4 << 20
	defaultMinInterval = 20 * time.Millisecond
	minBackoff         = 20 * time.Millisecond
	maxBackoff         = time.Second
	failingPeriod      = time.Second
)

// AppenderOptions sets up an Appender. The zero value takes the defaults.
type AppenderOptions struct {
	// MaxQueued bounds the records waiting.
	MaxQueued int
	// MaxRecords bounds the records of one append; 1 turns group commit off.
	MaxRecords int
	// MaxBytes bounds the size of one append; a larger single record goes alone.
	MaxBytes int
	// MinInterval is the least time between the starts of two appends. It keeps
	// one instance within its share of the log's append limit; a negative value
	// means none.
	MinInterval time.Duration
}

// Appender appends the records of one instance to one stream, at most one
// append at a time; records that arrive meanwhile share the next one. After a
// failure or a lost answer it repeats the same records until their callers give
// up, so readers may see copies. It is safe for concurrent use.
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
	// failed is when the last append had no answer, or zero; retrying is set
	// while its records wait to be repeated.
	failed   time.Time
	retrying bool
	stopped  bool
}

// pending are records that share one append.
type pending struct {
	ctx     context.Context
	records [][]byte
	size    int
	done    chan error
}

// NewAppender returns an Appender for stream; Run must be running for it to
// append.
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

// Start queues records, which will share one append, and returns a channel that
// yields one result: nil once they are in the log; an error matching ErrRejected
// if they will never be; or the error of ctx, after which they may or may not be
// in the log. It fails at once with ErrQueueFull if there is no room, and with
// ErrStopped after Run has ended.
func (a *Appender) Start(ctx context.Context, records ...[]byte) (<-chan error, error) {
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

// Append queues data and waits for the result described at Start.
func (a *Appender) Append(ctx context.Context, data []byte) error {
	done, err := a.Start(ctx, data)
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

// Counts returns the numbers of append requests answered by the log and of
// records in them.
func (a *Appender) Counts() (appends, records int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.appends, a.records
}

// Run appends until ctx ends and returns its error. Records still queued get
// that error.
func (a *Appender) Run(ctx context.Context) error {
	var batch []*pending
	defer func() { a.abandon(ctx, batch) }()
	failures := 0
	for {
		batch = a.fill(batch)
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

func (a *Appender) append(ctx context.Context, batch []*pending) error {
	records := make([][]byte, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.records...)
	}
	_, err := a.log.Append(ctx, a.stream, records)
	a.mu.Lock()
	defer a.mu.Unlock()
	if errors.Is(err, ErrUnavailable) {
		a.failed = time.Now()
		a.retrying = true
	}
	if err == nil {
		a.failed = time.Time{}
		a.retrying = false
		a.appends++
		a.records += int64(len(records))
	}
	return err
}

// Failing tells whether the last append had no answer and is being repeated, or
// had none less than a second ago. Later a caller may try again.
func (a *Appender) Failing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	recent := !a.failed.IsZero() && time.Since(a.failed) < failingPeriod
	return a.retrying || recent
}

// fill drops the records whose callers gave up and adds queued ones.
func (a *Appender) fill(batch []*pending) []*pending {
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

func (a *Appender) abandon(ctx context.Context, batch []*pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	finish(append(batch, a.queue...), ctx.Err())
	a.queue, a.queued = nil, 0
	a.stopped = true
}

func finish(batch []*pending, err error) {
	for _, p := range batch {
		p.done <- err
	}
}

// backoff returns a delay with full jitter that doubles with each failure.
func backoff(failures int) time.Duration {
	limit := minBackoff << min(failures, 10)
	return minBackoff + rand.N(min(limit, maxBackoff))
}

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
