// Package leader keeps the leases of an instance's leader tasks on a stream of the
// platform's log. Package core/lease decides what to append; this package reads and
// appends the records and provides the time.
package leader

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

// SnapshotTask is the leader task of writing configuration snapshots.
const SnapshotTask = "snapshots"

const (
	defaultTTL           = 10 * time.Second
	defaultMargin        = 2 * time.Second
	defaultRenewInterval = 3 * time.Second
	// stepsPerRenewal is how often the lease machine is stepped per renewal interval.
	stepsPerRenewal = 10
	maxBatch        = 1024
	minRetry        = 50 * time.Millisecond
	maxRetry        = 500 * time.Millisecond
)

// DefaultTiming returns the default lease durations.
func DefaultTiming() lease.Timing {
	return lease.Timing{TTL: defaultTTL, Margin: defaultMargin, Renew: defaultRenewInterval}
}

// Options configures a Keeper. Log, Appender, Stream, Self and Terms are required.
type Options struct {
	Log      logstream.Log
	Appender *logstream.Appender
	Stream   string
	// Self is the name of this instance.
	Self   string
	Timing lease.Timing
	Logger *zap.Logger
}

// Keeper acquires and renews the leases of the leader tasks that one instance wants. It is
// safe for concurrent use.
type Keeper struct {
	opts Options

	mu      sync.Mutex
	machine *lease.Machine
}

// New returns a Keeper that wants no leader task. It acquires leases only while Run is
// running.
func New(opts Options) *Keeper {
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	return &Keeper{opts: opts, machine: lease.New(opts.Timing, opts.Self, uuid.NewString())}
}

// Want sets whether this instance should be the leader of the task.
func (k *Keeper) Want(task string, wanted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machine.SetWanted(task, wanted)
}

// Valid reports whether this instance may act as the leader of the task now, and under
// which epoch, the fencing token. Call it again after every wait, immediately before each
// command: a command that is delayed after that carries an older epoch than any of the
// next leader's.
func (k *Keeper) Valid(task string) (epoch uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Valid(time.Now(), task)
}

// Leader returns the last known leader of the task, which may have stopped.
func (k *Keeper) Leader(task string) (leader string, epoch uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Holder(task)
}

// Run reads the stream and acquires and renews leases until ctx ends. It returns the error
// of ctx.
func (k *Keeper) Run(ctx context.Context) error {
	var reader sync.WaitGroup
	reader.Go(func() { k.readStream(ctx) })
	defer reader.Wait()
	ticker := time.NewTicker(k.opts.Timing.Renew / stepsPerRenewal)
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

// Release releases all leases so that other instances need not wait for them to expire. It
// returns when the records are appended or ctx ends. Afterwards this instance wants no
// leader task.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	records := k.machine.Release(time.Now())
	k.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	done, err := k.startAppend(ctx, records)
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

// readStream applies the records of the stream until ctx ends.
func (k *Keeper) readStream(ctx context.Context) {
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
		wait = k.opts.Timing.Renew
		k.mu.Lock()
		k.machine.Apply(time.Now(), batch)
		k.mu.Unlock()
	}
}

// readFailed logs the first of several failed reads and waits before the next one.
func (k *Keeper) readFailed(ctx context.Context, err error, failures int) {
	if ctx.Err() != nil {
		return
	}
	if failures == 1 {
		k.opts.Logger.Warn("reading the lease stream failed", zap.Error(err))
	}
	timer := time.NewTimer(minRetry + rand.N(maxRetry-minRetry))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// step appends the records that the lease machine returns and does not wait for the
// append. A record that is not appended within the TTL is useless.
func (k *Keeper) step(ctx context.Context) {
	k.mu.Lock()
	records := k.machine.Step(time.Now())
	k.mu.Unlock()
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.opts.Timing.TTL)
	done, err := k.startAppend(ctx, records)
	if err != nil {
		cancel()
		k.opts.Logger.Warn("lease records could not be queued", zap.Error(err))
		return
	}
	go func() {
		defer cancel()
		if err := <-done; err != nil && ctx.Err() == nil {
			k.opts.Logger.Warn("lease records could not be appended", zap.Error(err))
		}
	}()
}

// startAppend queues the records for a single append, however many leases they renew.
func (k *Keeper) startAppend(ctx context.Context, records []record.Record) (<-chan error, error) {
	encoded := make([][]byte, 0, len(records))
	for _, r := range records {
		data, err := record.Encode(r)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		encoded = append(encoded, data)
	}
	return k.opts.Appender.AppendAsync(ctx, encoded...)
}
