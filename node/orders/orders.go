// Package orders makes non-idempotent calls at most once by key, through claims
// on a stream of the platform's log. Package core/order decides; this one reads,
// appends, waits and sends.
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
	defaultPoll     = 5 * time.Second
	defaultDispatch = 2 * time.Second
	defaultSkew     = 30 * time.Second
	defaultGrace    = time.Second
	maxBatch        = 1024
	minRetry        = 20 * time.Millisecond
	maxRetry        = 200 * time.Millisecond
	queueRetry      = 50 * time.Millisecond
)

// DefaultPolicy returns the usual times for a log that keeps records for
// retention at least: keys are accepted for half of it.
func DefaultPolicy(retention time.Duration) order.Policy {
	return order.Policy{
		Window:    retention / 2,
		Retention: retention,
		Dispatch:  defaultDispatch,
		Skew:      min(defaultSkew, retention/8),
		Grace:     defaultGrace,
	}
}

// Options sets up a Coordinator. Log, Appender, Stream, Policy and Claimant are
// required.
type Options struct {
	Log      logstream.Log
	Appender *logstream.Appender
	Stream   string
	Policy   order.Policy
	// Claimant names this instance in its claims.
	Claimant string
	// Poll is how long one read waits for a record.
	Poll   time.Duration
	Logger *zap.Logger
}

// Coordinator makes non-idempotent calls for one shard of keys. It is safe for
// concurrent use.
type Coordinator struct {
	opts Options

	mu      sync.Mutex
	table   *order.Table
	unread  bool
	waiters map[record.OrderKey]map[*waiter]struct{}

	// background counts the outcomes and releases not yet appended.
	background sync.WaitGroup
}

type waiter struct{ wake chan struct{} }

// New returns a Coordinator; Run must be running for Do to make calls. It fails
// if the policy lets keys outlive what the log keeps.
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

// Run reads the stream until ctx ends and returns its error.
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

// Flush waits until all outcomes and releases are appended or ctx ends. Call it
// after the last Do and before Run and the Appender are stopped.
func (c *Coordinator) Flush(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Keys returns the number of keys remembered.
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

func (c *Coordinator) readFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	first := !c.unread
	c.unread = true
	c.mu.Unlock()
	if first {
		c.opts.Logger.Warn("orders stream can't be read", zap.Error(err))
	}
	pause(ctx, minRetry+rand.N(maxRetry-minRetry))
}

func (c *Coordinator) apply(batch record.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = false
	changed, gap := c.table.Apply(time.Now(), batch)
	if gap {
		c.opts.Logger.Warn("orders stream was truncated before it was read", zap.Uint64("first", batch.First))
		for key := range c.waiters {
			c.wake(key)
		}
	}
	for _, key := range changed {
		c.wake(key)
	}
}

func (c *Coordinator) wake(key record.OrderKey) {
	for w := range c.waiters[key] {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

func (c *Coordinator) subscribe(key record.OrderKey) *waiter {
	w := &waiter{wake: make(chan struct{}, 1)}
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

// appendLater appends an outcome or a release, for as long as it can matter.
func (c *Coordinator) appendLater(r record.Record) {
	data, err := record.Encode(r)
	if err != nil {
		c.opts.Logger.Error("order record can't be encoded", zap.String("record", string(r.ID)), zap.Error(err))
		return
	}
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.opts.Policy.Window)
		defer cancel()
		err := c.opts.Appender.Append(ctx, data)
		for errors.Is(err, logstream.ErrQueueFull) && ctx.Err() == nil {
			pause(ctx, queueRetry)
			err = c.opts.Appender.Append(ctx, data)
		}
		if err != nil {
			c.opts.Logger.Error("order record was not appended", zap.String("record", string(r.ID)), zap.Error(err))
		}
	})
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func newID() record.ID { return record.ID(uuid.NewString()) }
