// Package duty keeps the leases of an instance's duties on a stream of the
// platform's log. Package core/lease decides; this one reads, appends and keeps
// the time.
package duty

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"masticbank.example/core/lease"
	"masticbank.example/core/record"
	"masticbank.example/node/logstream"
)

// Snapshots is the duty of writing snapshots of the configuration.
const Snapshots = "snapshots"

const (
	defaultTTL    = 10 * time.Second
	defaultMargin = 2 * time.Second
	defaultRenew  = 3 * time.Second
	// stepsPerRenewal is how often per renewal period the machine is stepped.
	stepsPerRenewal = 10
	maxBatch        = 1024
	minRetry        = 50 * time.Millisecond
	maxRetry        = 500 * time.Millisecond
)

// DefaultTerms returns the usual times.
func DefaultTerms() lease.Terms {
	return lease.Terms{TTL: defaultTTL, Margin: defaultMargin, Renew: defaultRenew}
}

// Options sets up a Keeper. Log, Appender, Stream, Self and Terms are required.
type Options struct {
	Log      logstream.Log
	Appender *logstream.Appender
	Stream   string
	// Self names this instance.
	Self   string
	Terms  lease.Terms
	Logger *zap.Logger
}

// Keeper holds and renews the wanted duties of one instance. It is safe for
// concurrent use.
type Keeper struct {
	opts Options

	mu      sync.Mutex
	machine *lease.Machine
}

// New returns a Keeper that wants no duty yet; Run must be running for it to
// hold any.
func New(opts Options) *Keeper {
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	return &Keeper{opts: opts, machine: lease.New(opts.Terms, opts.Self, uuid.NewString())}
}

// Want sets whether this instance is to hold the duty.
func (k *Keeper) Want(duty string, wanted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machine.Want(duty, wanted)
}

// Valid tells whether this instance may act for the duty now, and with which
// epoch, the fencing number. Ask again after every wait, immediately before each
// order; an order that is held up after that carries an older epoch than any of
// the next holder's.
func (k *Keeper) Valid(duty string) (epoch uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Valid(time.Now(), duty)
}

// Holder returns the last known holder of the duty, which may have stopped.
func (k *Keeper) Holder(duty string) (holder string, epoch uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Holder(duty)
}

// Run reads the stream, acquires and renews until ctx ends, and returns its
// error.
func (k *Keeper) Run(ctx context.Context) error {
	var reader sync.WaitGroup
	reader.Go(func() { k.follow(ctx) })
	defer reader.Wait()
	ticker := time.NewTicker(k.opts.Terms.Renew / stepsPerRenewal)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-ticker.C:
			k.step(ctx)
		}
	}
}

// Release gives all duties back, so that others need not wait for them to lapse.
// It returns when the log has taken the records or ctx ends. This instance wants
// no duty afterwards.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	records := k.machine.Release(time.Now())
	k.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	done, err := k.append(ctx, records)
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return trace.Wrap(err)
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

func (k *Keeper) follow(ctx context.Context) {
	failures := 0
	wait := time.Duration(0)
	for ctx.Err() == nil {
		k.mu.Lock()
		from := k.machine.Next()
		k.mu.Unlock()
		batch, err := k.opts.Log.Read(ctx, k.opts.Stream, from, maxBatch, wait)
		if err != nil {
			failures++
			k.readFailed(ctx, err, failures)
			continue
		}
		failures = 0
		wait = k.opts.Terms.Renew
		k.mu.Lock()
		k.machine.Apply(time.Now(), batch)
		k.mu.Unlock()
	}
}

func (k *Keeper) readFailed(ctx context.Context, err error, failures int) {
	if ctx.Err() != nil {
		return
	}
	if failures == 1 {
		k.opts.Logger.Warn("lease stream can't be read", zap.Error(err))
	}
	timer := time.NewTimer(minRetry + rand.N(maxRetry-minRetry))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// step appends what the machine asks for and does not wait for it. A record that
// is not appended within TTL is of no more use.
func (k *Keeper) step(ctx context.Context) {
	k.mu.Lock()
	records := k.machine.Step(time.Now())
	k.mu.Unlock()
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.opts.Terms.TTL)
	done, err := k.append(ctx, records)
	if err != nil {
		cancel()
		k.opts.Logger.Warn("lease records were not queued", zap.Error(err))
		return
	}
	go func() {
		defer cancel()
		if err := <-done; err != nil && ctx.Err() == nil {
			k.opts.Logger.Warn("lease records were not appended", zap.Error(err))
		}
	}()
}

// append queues the records for one append, however many duties they renew.
func (k *Keeper) append(ctx context.Context, records []record.Record) (<-chan error, error) {
	encoded := make([][]byte, 0, len(records))
	for _, r := range records {
		data, err := record.Encode(r)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		encoded = append(encoded, data)
	}
	return k.opts.Appender.Start(ctx, encoded...)
}
