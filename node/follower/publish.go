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
	// ErrInvalid means that the content is not a valid configuration.
	ErrInvalid = errors.New("configuration is not valid")
	// ErrBaseUnknown means that the base is newer than the latest revision known here.
	ErrBaseUnknown = errors.New("base revision is not known here")
	// ErrUndecided means that the outcome of the proposal is not known yet. It may have
	// been accepted, or may still be.
	ErrUndecided = errors.New("fate of the proposal is not known")
)

// LostError means that another proposal has already replaced the base revision.
type LostError struct {
	// Winner identifies that proposal. Its ID is empty if no longer known.
	Winner record.Winner
	// Revision is the number of the accepted revision.
	Revision uint64
}

// Error names the author of the proposal that won.
func (e *LostError) Error() string {
	return fmt.Sprintf("lost to %q, who published revision %d; revision %d is accepted", e.Winner.Author, e.Winner.Revision, e.Revision)
}

// proposalWaiter is a call of Publish that waits for the decision on its proposal.
type proposalWaiter struct {
	base     uint64
	decision chan revision.ProposalResult
}

// Publish proposes content as the successor of revision base, and waits until the log
// decides or ctx ends. It returns the new revision, or an error that matches ErrInvalid,
// ErrBaseUnknown, ErrUndecided or *LostError, or one of logstream if nothing was proposed.
func (f *Follower) Publish(ctx context.Context, author string, content []byte, base uint64) (uint64, error) {
	if _, err := f.opts.Decode(content); err != nil {
		return 0, trace.Wrap(ErrInvalid, err.Error())
	}
	id := newID()
	data, err := record.Encode(record.Record{ID: id, Proposal: &record.Proposal{Base: base, Author: author, Content: content}})
	if err != nil {
		return 0, trace.Wrap(ErrInvalid, err.Error())
	}
	w, err := f.addWaiter(id, base)
	if err != nil {
		return 0, err
	}
	defer f.removeWaiter(id)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if _, err := f.opts.Appender.AppendAsync(ctx, data); err != nil {
		return 0, err
	}
	select {
	case result := <-w.decision:
		return publishResult(result)
	case <-ctx.Done():
		return 0, trace.Wrap(ErrUndecided, ctx.Err().Error())
	}
}

// addWaiter registers a waiter for the decision, or returns an error if a proposal on base
// cannot be accepted or cannot be made now.
func (f *Follower) addWaiter(id record.ID, base uint64) (*proposalWaiter, error) {
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
	w := &proposalWaiter{base: base, decision: make(chan revision.ProposalResult, 1)}
	f.waiters[id] = w
	return w, nil
}

func (f *Follower) removeWaiter(id record.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, id)
}

// resolve passes a decision to the waiter of the proposal. The lock is held.
func (f *Follower) resolve(result revision.ProposalResult) {
	if w, ok := f.waiters[result.ID]; ok {
		w.decision <- result
		delete(f.waiters, result.ID)
	}
}

// resolveFromState resolves proposals that the state s decides: their own records may have
// been skipped when a peer's state was merged, or another proposal has replaced their
// base. The lock is held.
func (f *Follower) resolveFromState(s record.Snapshot) {
	for id, w := range f.waiters {
		winner, ok := revision.FindWinner(s, w.base)
		if !ok {
			continue
		}
		f.resolve(revision.ProposalResult{ID: id, Accepted: winner.ID == id, Revision: s.Revision, Winner: winner})
	}
}

// publishResult converts a decision to the result of Publish.
func publishResult(result revision.ProposalResult) (uint64, error) {
	switch {
	case result.Accepted:
		return result.Winner.Revision, nil
	case result.Invalid:
		return 0, trace.Wrap(ErrInvalid)
	default:
		return 0, trace.Wrap(&LostError{Winner: result.Winner, Revision: result.Revision})
	}
}
