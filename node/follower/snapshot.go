package follower

import (
	"context"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/record"
)

// writeSnapshot appends the state if this instance holds the duty and the last
// snapshot is old. It does not wait for the append.
func (f *Follower) writeSnapshot(ctx context.Context) {
	if !f.opts.HoldsSnapshotDuty() {
		return
	}
	state, due := f.snapshotDue(time.Now())
	if !due {
		return
	}
	data, err := record.Encode(record.Record{ID: newID(), Snapshot: &state})
	if err != nil {
		f.opts.Logger.Error("snapshot can't be encoded", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	done, err := f.opts.Appender.Start(ctx, data)
	if err != nil {
		cancel()
		f.snapshotWritten(err)
		return
	}
	go func() {
		defer cancel()
		f.snapshotWritten(<-done)
	}()
}

// snapshotDue notes when snapshots of others are read. One that was read before
// the stream's end may be about to be forgotten and counts for nothing.
func (f *Follower) snapshotDue(now time.Time) (record.Snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.machine.State()
	if f.writing || !f.machine.CaughtUp() || state.Revision == 0 {
		return record.Snapshot{}, false
	}
	next, ok := f.machine.SnapshotNext()
	if ok && next > f.snapshotNext && !f.lastSnapshot.IsZero() {
		f.snapshotNext, f.lastSnapshot = next, now
	}
	old := now.Sub(f.lastSnapshot) >= f.opts.SnapshotEvery
	far := state.Next >= f.snapshotNext+f.opts.SnapshotRecords
	f.writing = old || far
	return state, f.writing
}

func (f *Follower) snapshotWritten(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writing = false
	if err != nil {
		f.opts.Logger.Warn("snapshot was not written", zap.Error(err))
		return
	}
	f.lastSnapshot = time.Now()
	f.snapshotNext = f.machine.State().Next
}
