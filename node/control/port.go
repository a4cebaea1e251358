// Package control keeps an instance up to date with the platform's store: the operator's
// configuration, the replicas and the other instances. The leader among the instances also
// assigns layers to replicas.
package control

import (
	"context"
	"errors"
	"time"

	"masticbank.example/core/era"
	"masticbank.example/core/roster"
	"masticbank.example/core/routing"
)

// ErrHistoryTruncated means that the changes since the cursor are no longer stored, or were lost when
// the store was restored, and the whole state has to be read.
var ErrHistoryTruncated = errors.New("history since the cursor is no longer available")

// Published is a configuration that the operator published.
type Published struct {
	Config *routing.Config
	// Content is the configuration as the operator wrote it.
	Content []byte
}

// ConfigSource reads the operator's configurations in order. The cursors of all sources name the era
// of the answer that they come from, which may be era.Unknown.
type ConfigSource interface {
	// Newest returns the newest configuration, nil if there is none, and a cursor. For a
	// malformed one the error has the type *MalformedError.
	Newest(ctx context.Context) (*Published, era.Position, error)
	// Next waits up to wait for configurations after the cursor. Malformed ones are
	// returned beside the valid ones.
	Next(ctx context.Context, cursor era.Position, wait time.Duration) ([]*Published, []*MalformedError, era.Position, error)
	// Decode decodes a configuration that another instance relayed. The error has the type
	// *MalformedError.
	Decode(content []byte) (*Published, error)
}

// MalformedError is the error for a record that cannot be decoded.
type MalformedError struct {
	Key string
	Err error
}

// Error returns the key and the cause.
func (m *MalformedError) Error() string { return m.Key + ": " + m.Err.Error() }

// Unwrap returns the cause.
func (m *MalformedError) Unwrap() error { return m.Err }

// ReplicaSource reads the replicas' entries.
type ReplicaSource interface {
	// Newest returns all entries and a cursor. Malformed entries are returned beside the
	// valid ones, with their replica's ID as the key.
	Newest(ctx context.Context) ([]roster.Entry, []*MalformedError, era.Position, error)
	// Next returns the changes from the cursor on.
	Next(ctx context.Context, cursor era.Position) (roster.Updates, []*MalformedError, error)
}

// Membership is the group's response to a member.
type Membership struct {
	// Era is the era of the answer, which may be era.Unknown.
	Era int64
	// Generation grows with each change of the group in an era.
	Generation int64
	// Leader is true if this member is the leader, which assigns layers to replicas.
	Leader bool
}

// token returns the leader's fencing token.
func (m Membership) token() int64 { return era.Token(m.Era, m.Generation) }

// Group is the group of all entry instances, kept by the store.
type Group interface {
	// Join enters the group or stays in it for ttl. generation is the last one received.
	Join(ctx context.Context, ttl time.Duration, generation int64) (Membership, error)
	// Members returns the names of the members.
	Members(ctx context.Context) ([]string, error)
	// Leave leaves the group immediately.
	Leave(ctx context.Context) error
}
