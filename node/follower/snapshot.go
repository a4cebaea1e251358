package follower

import (
	"context"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/record"
)

// writeSnapshot appends the state to the log if this instance is the leader for snapshots
// and one is due. It does not wait for the append.
func (f *Follower) writeSnapshot(ctx context.Context) {
	if !f.opts.IsSnapshotLeader() {
		return
	}
	state, due := f.snapshotDue(time.Now())
	if !due {
		return
	}
	data, err := record.Encode(record.Record{ID: newID(), Snapshot: &state})
	if err != nil {
		f.opts.Logger.Error("encoding a snapshot failed", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	done, err := f.opts.Appender.AppendAsync(ctx, data)
	if err != nil {
		cancel()
		f.finishSnapshot(err)
		return
	}
	go func() {
		defer cancel()
		f.finishSnapshot(<-done)
	}()
}

// snapshotDue reports whether a snapshot should be written now, and returns the state to
// write. Snapshots of other instances count from when they are read. One that was read
// before the end of the stream was reached is ignored, as the log may be about to delete
// it.
func (f *Follower) snapshotDue(now time.Time) (record.Snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.machine.State()
	if f.snapshotPending || !f.machine.CaughtUp() || state.Revision == 0 {
		return record.Snapshot{}, false
	}
	next, ok := f.machine.SnapshotNext()
	if ok && next > f.snapshotNext && !f.lastSnapshot.IsZero() {
		f.snapshotNext, f.lastSnapshot = next, now
	}
	tooOld := now.Sub(f.lastSnapshot) >= f.opts.SnapshotEvery
	tooManyRecords := state.Next >= f.snapshotNext+f.opts.SnapshotRecords
	f.snapshotPending = tooOld || tooManyRecords
	return state, f.snapshotPending
}

// finishSnapshot records the result of writing a snapshot.
func (f *Follower) finishSnapshot(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshotPending = false
	if err != nil {
		f.opts.Logger.Warn("writing a snapshot failed", zap.Error(err))
		return
	}
	f.lastSnapshot = time.Now()
	f.snapshotNext = f.machine.State().Next
}
