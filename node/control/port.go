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

// Published is a configuration of the operator.
type Published struct {
	Config *routing.Config
	// Content is the configuration as the operator wrote it.
	Content []byte
}

// ConfigSource tells the operator's configurations in order.
type ConfigSource interface {
	// Newest returns the newest configuration, nil if there is none, and a cursor.
	// A malformed one is an error of the type *Malformed.
	Newest(ctx context.Context) (*Published, int64, error)
	// Next waits up to wait for configurations after the cursor. Malformed ones are
	// returned beside the good ones.
	Next(ctx context.Context, cursor int64, wait time.Duration) ([]*Published, []*Malformed, int64, error)
	// Decode reads what another instance passed on. The error has the type
	// *Malformed.
	Decode(content []byte) (*Published, error)
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

// ReplicaSource tells the replicas' entries.
type ReplicaSource interface {
	// Newest returns all entries and a cursor. Malformed entries are returned
	// beside the good ones.
	Newest(ctx context.Context) ([]roster.Entry, []*Malformed, int64, error)
	// Next returns the changes from the cursor on.
	Next(ctx context.Context, cursor int64) (roster.Updates, []*Malformed, error)
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
