// Package follower reads the configuration stream of the platform's log and keeps the
// accepted configuration for lock-free reads. It also exchanges the state with peers,
// publishes proposals and writes snapshots.
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

// Options configures a Follower. Log, Appender and Stream are required.
type Options struct {
	Log      logstream.Log
	Appender *logstream.Appender
	Stream   string
	// Decode parses and validates the content of a proposal. Its result must depend on the
	// content alone, so that all instances decide alike. nil means DecodeJSON.
	Decode func(content []byte) (*config.Config, error)
	// IsSnapshotLeader reports whether this instance should write snapshots; nil means
	// never.
	IsSnapshotLeader func() bool
	// SnapshotEvery is the time between snapshots. It must be at most a quarter of the
	// log's retention.
	SnapshotEvery time.Duration
	// SnapshotRecords is the number of records after which a snapshot is written before
	// SnapshotEvery has passed.
	SnapshotRecords uint64
	// Poll is how long a read waits for a record.
	Poll   time.Duration
	Logger *zap.Logger
}

// Revision is an accepted configuration. It is shared and must not be modified.
type Revision struct {
	Number uint64
	// Winner identifies the accepted proposal. It is empty if no longer known.
	Winner record.Winner
	Config *config.Config
}

// Follower follows one configuration stream. It is safe for concurrent use.
type Follower struct {
	opts    Options
	current atomic.Pointer[Revision]

	mu          sync.Mutex
	machine     *revision.Machine
	waiters     map[record.ID]*proposalWaiter
	subscribers map[*Subscription]struct{}

	// lastReadEmpty is set after a read that returned no records.
	lastReadEmpty bool
	// cancelRead ends the read in progress.
	cancelRead context.CancelFunc

	lastSnapshot    time.Time
	snapshotNext    uint64
	snapshotPending bool
}

// New returns a Follower. It follows the log only while Run is running.
func New(opts Options) *Follower {
	if opts.Decode == nil {
		opts.Decode = DecodeJSON
	}
	if opts.IsSnapshotLeader == nil {
		opts.IsSnapshotLeader = func() bool { return false }
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
		waiters:     map[record.ID]*proposalWaiter{},
		subscribers: map[*Subscription]struct{}{},
	}
}

// Current returns the configuration in force, or nil. It acquires no lock.
func (f *Follower) Current() *Revision { return f.current.Load() }

// Ready reports whether a configuration is in force. reason says why not, or that the log
// is currently unavailable.
func (f *Follower) Ready() (ready bool, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.machine.Status()
	return s.Ready, string(s.Reason)
}

// State returns the state to send to peers. Its Revision is 0 if there is none.
func (f *Follower) State() record.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.State()
}

// MergePeerState merges the state of a peer, which must be authenticated, and reports
// whether it changed anything. A state whose content is not valid here is rejected.
func (f *Follower) MergePeerState(s record.Snapshot) bool {
	if _, err := f.opts.Decode(s.Content); err != nil || len(s.Winners) > revision.MaxWinners {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.machine.Offer(s)
	f.activateRevision()
	if changed && f.cancelRead != nil {
		f.cancelRead()
	}
	return changed
}

// Run follows the log until ctx ends and returns the error of ctx.
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

// readOnce reads and applies one batch. A peer's state that is newer ends the read early.
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

// nextRead returns where the next read begins and how long it may wait.
func (f *Follower) nextRead(cancel context.CancelFunc) (from uint64, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelRead = cancel
	if f.lastReadEmpty {
		wait = f.opts.Poll
	}
	return f.machine.NextRead(), wait
}

// readFailed records that the log is unavailable and waits before the next read.
func (f *Follower) readFailed(ctx context.Context, err error, failures int) {
	if ctx.Err() != nil {
		return
	}
	if failures == 1 {
		f.opts.Logger.Warn("reading the configuration stream failed", zap.Error(err))
	}
	f.mu.Lock()
	f.machine.SetUnavailable()
	f.activateRevision()
	f.mu.Unlock()
	sleep(ctx, minRetry+rand.N(maxRetry-minRetry))
}

// apply applies a batch, unless a peer's state has made it obsolete since the read began.
func (f *Follower) apply(from uint64, batch record.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.machine.NextRead() != from {
		f.lastReadEmpty = false
		return
	}
	for _, result := range f.machine.Apply(batch) {
		f.resolve(result)
	}
	f.lastReadEmpty = len(batch.Entries) == 0 && f.machine.NextRead() == from
	f.activateRevision()
}

// activateRevision puts a new revision in force and notifies waiters and subscribers. The
// lock is held.
func (f *Follower) activateRevision() {
	state := f.machine.State()
	f.resolveFromState(state)
	if !f.machine.Status().Ready {
		return
	}
	if current := f.current.Load(); current != nil && current.Number >= state.Revision {
		return
	}
	c, err := f.opts.Decode(state.Content)
	if err != nil {
		f.opts.Logger.Error("decoding the accepted configuration failed", zap.Uint64("revision", state.Revision), zap.Error(err))
		return
	}
	r := &Revision{Number: state.Revision, Config: c}
	if state.Revision > 0 {
		r.Winner, _ = revision.FindWinner(state, state.Revision-1)
	}
	f.current.Store(r)
	for s := range f.subscribers {
		s.replace(r)
	}
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

// newID returns a random record ID.
func newID() record.ID { return record.ID(uuid.NewString()) }
