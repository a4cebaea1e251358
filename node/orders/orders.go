// Package orders makes non-idempotent calls at most once per key, by means of claims on a
// stream of the platform's log. Package core/order decides; this package reads, appends,
// waits and sends.
package orders

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"masticbank.example/core/order"
	"masticbank.example/core/record"
	"masticbank.example/node/logstream"
)

const (
	defaultPoll           = 5 * time.Second
	defaultDispatchWindow = 2 * time.Second
	defaultSkew           = 30 * time.Second
	defaultGrace          = time.Second
	maxBatch              = 1024
	minRetry              = 20 * time.Millisecond
	maxRetry              = 200 * time.Millisecond
	queueRetry            = 50 * time.Millisecond
)

// DefaultPolicy returns the default durations for a log that keeps records for at least
// retention. Keys are accepted for half of it.
func DefaultPolicy(retention time.Duration) order.Policy {
	return order.Policy{
		AcceptanceWindow: retention / 2,
		Retention:        retention,
		DispatchWindow:   defaultDispatchWindow,
		ClockSkew:        min(defaultSkew, retention/8),
		Grace:            defaultGrace,
	}
}

// Options configures a Coordinator. Log, Appender, Stream, Policy and Claimant are
// required.
type Options struct {
	Log      logstream.Log
	Appender *logstream.Appender
	Stream   string
	Policy   order.Policy
	// Claimant is the name of this instance in its claims.
	Claimant string
	// Poll is how long a read waits for a record.
	Poll   time.Duration
	Logger *zap.Logger
}

// Coordinator makes non-idempotent calls for one shard of keys. It is safe for concurrent
// use.
type Coordinator struct {
	opts Options

	mu          sync.Mutex
	table       *order.Table
	readFailing bool
	waiters     map[record.OrderKey]map[*waiter]struct{}

	// pendingAppends counts the outcomes and releases that are not appended yet.
	pendingAppends sync.WaitGroup
}

// waiter is a call that waits for a change of its key.
type waiter struct{ notified chan struct{} }

// New returns a Coordinator. Do makes calls only while Run is running. It fails if the
// policy accepts keys for longer than the log keeps their records.
func New(opts Options) (*Coordinator, error) {
	if err := opts.Policy.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	if opts.Poll == 0 {
		opts.Poll = defaultPoll
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	return &Coordinator{
		opts:    opts,
		table:   order.NewTable(opts.Policy),
		waiters: map[record.OrderKey]map[*waiter]struct{}{},
	}, nil
}

// Run reads the stream until ctx ends and returns the error of ctx.
func (c *Coordinator) Run(ctx context.Context) error {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		batch, err := c.opts.Log.Read(ctx, c.opts.Stream, c.nextRead(), maxBatch, wait)
		if err != nil {
			wait = 0
			c.readFailed(ctx, err)
			continue
		}
		c.apply(batch)
		wait = 0
		if len(batch.Entries) == 0 {
			wait = c.opts.Poll
		}
	}
	return trace.Wrap(ctx.Err())
}

// Flush waits until all outcomes and releases are appended or ctx ends. Call it after the
// last Do and before Run and the Appender stop.
func (c *Coordinator) Flush(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.pendingAppends.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Keys returns the number of keys whose state is kept.
func (c *Coordinator) Keys() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}

func (c *Coordinator) nextRead() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Next()
}

// readFailed records that the log is unavailable and waits before the next read.
func (c *Coordinator) readFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	first := !c.readFailing
	c.readFailing = true
	c.mu.Unlock()
	if first {
		c.opts.Logger.Warn("reading the orders stream failed", zap.Error(err))
	}
	sleep(ctx, minRetry+rand.N(maxRetry-minRetry))
}

// apply applies a batch and notifies the waiters of changed keys, or all of them if records
// were missed.
func (c *Coordinator) apply(batch record.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readFailing = false
	changed, gap := c.table.Apply(time.Now(), batch)
	if gap {
		c.opts.Logger.Warn("orders stream was truncated before all records were read", zap.Uint64("first", batch.First))
		for key := range c.waiters {
			c.notify(key)
		}
	}
	for _, key := range changed {
		c.notify(key)
	}
}

// notify wakes the waiters of a key. The lock is held.
func (c *Coordinator) notify(key record.OrderKey) {
	for w := range c.waiters[key] {
		select {
		case w.notified <- struct{}{}:
		default:
		}
	}
}

// subscribe adds a waiter for a key. The lock is held.
func (c *Coordinator) subscribe(key record.OrderKey) *waiter {
	w := &waiter{notified: make(chan struct{}, 1)}
	if c.waiters[key] == nil {
		c.waiters[key] = map[*waiter]struct{}{}
	}
	c.waiters[key][w] = struct{}{}
	return w
}

func (c *Coordinator) unsubscribe(key record.OrderKey, w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters[key], w)
	if len(c.waiters[key]) == 0 {
		delete(c.waiters, key)
	}
}

// appendInBackground appends an outcome or a release. It retries while the queue is full,
// for as long as the key is accepted.
func (c *Coordinator) appendInBackground(r record.Record) {
	data, err := record.Encode(r)
	if err != nil {
		c.opts.Logger.Error("encoding an order record failed", zap.String("record", string(r.ID)), zap.Error(err))
		return
	}
	c.pendingAppends.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.opts.Policy.AcceptanceWindow)
		defer cancel()
		err := c.opts.Appender.Append(ctx, data)
		for errors.Is(err, logstream.ErrQueueFull) && ctx.Err() == nil {
			sleep(ctx, queueRetry)
			err = c.opts.Appender.Append(ctx, data)
		}
		if err != nil {
			c.opts.Logger.Error("appending an order record failed", zap.String("record", string(r.ID)), zap.Error(err))
		}
	})
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func newID() record.ID { return record.ID(uuid.NewString()) }
