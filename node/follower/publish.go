package follower

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"masticbank.example/core/record"
	"masticbank.example/core/revision"
	"masticbank.example/node/logstream"
)

var (
	// ErrInvalid means that the content was refused.
	ErrInvalid = errors.New("configuration is not valid")
	// ErrBaseUnknown means that the base is above the revision known here.
	ErrBaseUnknown = errors.New("base revision is not known here")
	// ErrUndecided means that the fate of the proposal is not known yet; it may
	// have been accepted or may still be.
	ErrUndecided = errors.New("fate of the proposal is not known")
)

// LostError means that another proposal replaced the base revision.
type LostError struct {
	// Winner is the proposal that did; its ID is empty if no longer known.
	Winner record.Winner
	// Revision is the accepted revision.
	Revision uint64
}

// Error names the winner.
func (e *LostError) Error() string {
	return fmt.Sprintf("lost to %q, who published revision %d; revision %d is accepted", e.Winner.Author, e.Winner.Revision, e.Revision)
}

type waiter struct {
	base    uint64
	verdict chan revision.Verdict
}

// Publish proposes content in place of revision base and waits until ctx ends
// for the log to decide. It returns the new revision, or an error that matches
// ErrInvalid, ErrBaseUnknown, ErrUndecided, *LostError, or one of logstream if
// nothing was proposed.
func (f *Follower) Publish(ctx context.Context, author string, content []byte, base uint64) (uint64, error) {
	if _, err := f.opts.Decode(content); err != nil {
		return 0, trace.Wrap(ErrInvalid, err.Error())
	}
	id := newID()
	data, err := record.Encode(record.Record{ID: id, Proposal: &record.Proposal{Base: base, Author: author, Content: content}})
	if err != nil {
		return 0, trace.Wrap(ErrInvalid, err.Error())
	}
	w, err := f.await(id, base)
	if err != nil {
		return 0, err
	}
	defer f.forget(id)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if _, err := f.opts.Appender.Start(ctx, data); err != nil {
		return 0, err
	}
	select {
	case v := <-w.verdict:
		return outcome(v)
	case <-ctx.Done():
		return 0, trace.Wrap(ErrUndecided, ctx.Err().Error())
	}
}

// await registers a waiter, unless the fate of a proposal on base is clear.
func (f *Follower) await(id record.ID, base uint64) (*waiter, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.machine.State()
	if base < s.Revision {
		w, _ := revision.FindWinner(s, base)
		return nil, trace.Wrap(&LostError{Winner: w, Revision: s.Revision})
	}
	if base > s.Revision {
		return nil, trace.Wrap(ErrBaseUnknown)
	}
	if f.machine.Status().Reason == revision.ReasonUnavailable {
		return nil, trace.Wrap(logstream.ErrUnavailable)
	}
	w := &waiter{base: base, verdict: make(chan revision.Verdict, 1)}
	f.waiters[id] = w
	return w, nil
}

func (f *Follower) forget(id record.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, id)
}

// decide passes a verdict on to its waiter.
func (f *Follower) decide(v revision.Verdict) {
	if w, ok := f.waiters[v.ID]; ok {
		w.verdict <- v
		delete(f.waiters, v.ID)
	}
}

// settle decides the proposals whose own records were skipped by taking over the
// state of a peer, or whose base another proposal has replaced.
func (f *Follower) settle(s record.Snapshot) {
	for id, w := range f.waiters {
		winner, ok := revision.FindWinner(s, w.base)
		if !ok {
			continue
		}
		f.decide(revision.Verdict{ID: id, Accepted: winner.ID == id, Revision: s.Revision, Winner: winner})
	}
}

func outcome(v revision.Verdict) (uint64, error) {
	switch {
	case v.Accepted:
		return v.Winner.Revision, nil
	case v.Invalid:
		return 0, trace.Wrap(ErrInvalid)
	default:
		return 0, trace.Wrap(&LostError{Winner: v.Winner, Revision: v.Revision})
	}
}
