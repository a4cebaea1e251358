// Package follower reads the configuration stream of the platform's log, keeps
// the accepted configuration for lock-free reading, takes and gives the state
// of peers, publishes proposals and writes snapshots.
package follower

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"masticbank.example/core/config"
	"masticbank.example/core/record"
	"masticbank.example/core/revision"
	"masticbank.example/node/logstream"
)

const (
	defaultPoll            = 5 * time.Second
	defaultSnapshotEvery   = 5 * time.Minute
	defaultSnapshotRecords = 256
	maxBatch               = 256
	minRetry               = 50 * time.Millisecond
	maxRetry               = 500 * time.Millisecond
	snapshotTimeout        = 30 * time.Second
)

// Options sets up a Follower. Log, Appender and Stream are required.
type Options struct {
	Log      logstream.Log
	Appender *logstream.Appender
	Stream   string
	// Decode parses and checks the content of a proposal. Its verdict must
	// depend on the content alone; nil means DecodeJSON.
	Decode func(content []byte) (*config.Config, error)
	// HoldsSnapshotDuty tells whether this instance is to write snapshots; nil
	// means never.
	HoldsSnapshotDuty func() bool
	// SnapshotEvery is the time between snapshots, a quarter of the log's
	// retention at most.
	SnapshotEvery time.Duration
	// SnapshotRecords is the number of records after which a snapshot is written
	// early.
	SnapshotRecords uint64
	// Poll is how long one read waits for a record.
	Poll   time.Duration
	Logger *zap.Logger
}

// Revision is an accepted configuration. It is shared and must not be modified.
type Revision struct {
	Number uint64
	// Winner names the proposal; it is empty if no longer known.
	Winner record.Winner
	Config *config.Config
}

// Follower follows one configuration stream. It is safe for concurrent use.
type Follower struct {
	opts    Options
	current atomic.Pointer[Revision]

	mu          sync.Mutex
	machine     *revision.Machine
	waiters     map[record.ID]*waiter
	subscribers map[*Subscription]struct{}

	// idle is set after a read that found nothing.
	idle bool
	// interrupt ends the read in progress.
	interrupt context.CancelFunc

	lastSnapshot time.Time
	snapshotNext uint64
	writing      bool
}

// New returns a Follower; Run must be running for it to follow the log.
func New(opts Options) *Follower {
	if opts.Decode == nil {
		opts.Decode = DecodeJSON
	}
	if opts.HoldsSnapshotDuty == nil {
		opts.HoldsSnapshotDuty = func() bool { return false }
	}
	if opts.SnapshotEvery == 0 {
		opts.SnapshotEvery = defaultSnapshotEvery
	}
	if opts.SnapshotRecords == 0 {
		opts.SnapshotRecords = defaultSnapshotRecords
	}
	if opts.Poll == 0 {
		opts.Poll = defaultPoll
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	validate := func(content []byte) error {
		_, err := opts.Decode(content)
		return err
	}
	return &Follower{
		opts:        opts,
		machine:     revision.New(validate),
		waiters:     map[record.ID]*waiter{},
		subscribers: map[*Subscription]struct{}{},
	}
}

// Current returns the configuration in force, or nil. It takes no lock.
func (f *Follower) Current() *Revision { return f.current.Load() }

// Ready tells whether a configuration is in force, and the reason if it is not
// or if the log can't be followed at present.
func (f *Follower) Ready() (ready bool, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.machine.Status()
	return s.Ready, string(s.Reason)
}

// State returns the state to hand out to peers; its Revision is 0 if there is
// none.
func (f *Follower) State() record.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.State()
}

// Offer takes the state of a peer, which must be authenticated, and tells
// whether it was news. A state whose content is not valid here is refused.
func (f *Follower) Offer(s record.Snapshot) bool {
	if _, err := f.opts.Decode(s.Content); err != nil || len(s.Winners) > revision.MaxWinners {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	news := f.machine.Offer(s)
	f.update()
	if news && f.interrupt != nil {
		f.interrupt()
	}
	return news
}

// Run follows the log until ctx ends and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if err != nil {
			failures++
			f.readFailed(ctx, err, failures)
			continue
		}
		failures = 0
		f.writeSnapshot(ctx)
	}
	return trace.Wrap(ctx.Err())
}

// readOnce reads and applies one batch. An offer that moves the state ends the
// read early.
func (f *Follower) readOnce(ctx context.Context) error {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	from, wait := f.nextRead(cancel)
	batch, err := f.opts.Log.Read(readCtx, f.opts.Stream, from, maxBatch, wait)
	if err == nil {
		f.apply(from, batch)
		return nil
	}
	interrupted := readCtx.Err() != nil && ctx.Err() == nil
	if interrupted {
		return nil
	}
	return err
}

func (f *Follower) nextRead(cancel context.CancelFunc) (from uint64, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt = cancel
	if f.idle {
		wait = f.opts.Poll
	}
	return f.machine.NextRead(), wait
}

func (f *Follower) readFailed(ctx context.Context, err error, failures int) {
	if ctx.Err() != nil {
		return
	}
	if failures == 1 {
		f.opts.Logger.Warn("configuration stream can't be read", zap.Error(err))
	}
	f.mu.Lock()
	f.machine.Unavailable()
	f.update()
	f.mu.Unlock()
	pause(ctx, minRetry+rand.N(maxRetry-minRetry))
}

// apply ignores a batch that an offered state has made obsolete.
func (f *Follower) apply(from uint64, batch record.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.machine.NextRead() != from {
		f.idle = false
		return
	}
	for _, v := range f.machine.Apply(batch) {
		f.decide(v)
	}
	f.idle = len(batch.Entries) == 0 && f.machine.NextRead() == from
	f.update()
}

// update puts a new revision in force and tells waiters and subscribers.
func (f *Follower) update() {
	state := f.machine.State()
	f.settle(state)
	if !f.machine.Status().Ready {
		return
	}
	if now := f.current.Load(); now != nil && now.Number >= state.Revision {
		return
	}
	c, err := f.opts.Decode(state.Content)
	if err != nil {
		f.opts.Logger.Error("accepted configuration can't be decoded", zap.Uint64("revision", state.Revision), zap.Error(err))
		return
	}
	r := &Revision{Number: state.Revision, Config: c}
	if state.Revision > 0 {
		r.Winner, _ = revision.FindWinner(state, state.Revision-1)
	}
	f.current.Store(r)
	for s := range f.subscribers {
		s.put(r)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// newID returns a random record ID.
func newID() record.ID { return record.ID(uuid.NewString()) }
