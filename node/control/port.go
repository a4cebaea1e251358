// Package control keeps an instance up to date with what the platform's store
// holds: the operator's configuration, the replicas and the other instances. The
// instance that holds the duty also orders replicas to hold layers.
package control

import (
	"context"
	"errors"
	"time"

	"masticbank.example/core/roster"
	"masticbank.example/core/routing"
)

// ErrHistoryGone tells that the changes since the cursor are no longer kept; the
// whole state has to be read.
var ErrHistoryGone = errors.New("the history since the cursor is gone")

// ConfigSource tells the operator's configurations in order.
type ConfigSource interface {
	// Newest returns the newest configuration, nil if there is none, and a cursor.
	// A malformed one is an error of the type *Malformed.
	Newest(ctx context.Context) (*routing.Config, int64, error)
	// Next waits up to wait for configurations after the cursor. Malformed ones are
	// returned beside the good ones.
	Next(ctx context.Context, cursor int64, wait time.Duration) ([]*routing.Config, []*Malformed, int64, error)
}

// Malformed is a record that cannot be read.
type Malformed struct {
	Key string
	Err error
}

// Error returns the cause.
func (m *Malformed) Error() string { return m.Key + ": " + m.Err.Error() }

// Unwrap returns the cause.
func (m *Malformed) Unwrap() error { return m.Err }

// ReplicaChange is one change of an entry.
type ReplicaChange struct {
	ID string
	// Entry is nil when the entry was removed.
	Entry *roster.Entry
}

// ReplicaSource tells the replicas' entries.
type ReplicaSource interface {
	// Newest returns all entries and a cursor. Malformed entries are returned
	// beside the good ones.
	Newest(ctx context.Context) ([]roster.Entry, []*Malformed, int64, error)
	// Next returns the changes after the cursor.
	Next(ctx context.Context, cursor int64) ([]ReplicaChange, []*Malformed, int64, error)
}

// Membership is what the group tells a member.
type Membership struct {
	// Generation grows with each change of the group; it is the fencing token of
	// the duty.
	Generation int64
	// Duty is true when this member holds the duty of ordering replicas.
	Duty bool
}

// Group is the group of all entry instances, which the store keeps.
type Group interface {
	// Join enters the group or stays in it for ttl.
	Join(ctx context.Context, ttl time.Duration, generation int64) (Membership, error)
	// Members returns the names of the members.
	Members(ctx context.Context) ([]string, error)
	// Leave leaves the group at once.
	Leave(ctx context.Context) error
}
