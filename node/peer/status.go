package peer

import (
	"cmp"
	"slices"
	"time"

	"masticbank.example/node/peer/peerpb"
)

// Status describes one peer for operators and metrics. Counts are totals over
// all sessions since the peer was added.
type Status struct {
	ID      string
	Address string
	Zone    string
	// Connected is true if there is a session. The five fields after it are set
	// only then.
	Connected    bool
	Incarnation  uint64
	Version      uint32
	State        peerpb.InstanceState
	Revision     uint64
	LastReceived time.Time

	BytesSent        uint64
	BytesReceived    uint64
	MessagesSent     uint64
	MessagesReceived uint64
	// Discarded counts messages that were superseded or discarded because a
	// queue was full.
	Discarded uint64
	// Dials counts connection attempts; Sessions counts sessions that were
	// started.
	Dials    uint64
	Sessions uint64
}

// counters holds the counts of one or several sessions.
type counters struct {
	bytesSent        uint64
	bytesReceived    uint64
	messagesSent     uint64
	messagesReceived uint64
	discarded        uint64
	dials            uint64
	sessions         uint64
}

func (c *counters) add(other counters) {
	c.bytesSent += other.bytesSent
	c.bytesReceived += other.bytesReceived
	c.messagesSent += other.messagesSent
	c.messagesReceived += other.messagesReceived
	c.discarded += other.discarded
	c.dials += other.dials
	c.sessions += other.sessions
}

// counters returns the counts of the session.
func (s *session) counters() counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return counters{
		bytesSent:        s.raw.sent.Load(),
		bytesReceived:    s.raw.received.Load(),
		messagesSent:     s.sentMessages,
		messagesReceived: s.receivedMessages,
		discarded:        s.queue.discardedCount(),
		sessions:         1,
	}
}

// Peers returns the status of every known peer, sorted by ID.
func (n *Node) Peers() []Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]Status, 0, len(n.remotes))
	for _, r := range n.remotes {
		all = append(all, r.status())
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (r *remote) status() Status {
	sum := r.totals()
	status := Status{
		ID:               r.id,
		Address:          r.address,
		Zone:             r.zone,
		BytesSent:        sum.bytesSent,
		BytesReceived:    sum.bytesReceived,
		MessagesSent:     sum.messagesSent,
		MessagesReceived: sum.messagesReceived,
		Discarded:        sum.discarded,
		Dials:            sum.dials,
		Sessions:         sum.sessions,
	}
	if r.session == nil {
		return status
	}
	info, lastReceived := r.session.snapshot()
	status.Connected = !lastReceived.IsZero()
	status.Incarnation = info.Incarnation
	status.Version = info.Version
	status.State = info.State
	status.Revision = info.Revision
	status.LastReceived = lastReceived
	if info.Zone != "" {
		status.Zone = info.Zone
	}
	return status
}
