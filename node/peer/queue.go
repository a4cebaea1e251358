package peer

import (
	"sync"

	"masticbank.example/node/peer/peerpb"
)

// Lengths of the parts of a queue, in messages.
const (
	maxQueuedNotices = 256
	maxQueuedDigests = 16
)

// queue holds the messages that wait for one session. Pushing never blocks:
// a full part loses its oldest message. Heartbeats and configuration states
// supersede each other, and so do loads, so only the latest is kept. It is safe for concurrent
// use.
type queue struct {
	// ready has a token while the queue may hold a message or is closed.
	ready chan struct{}

	mu        sync.Mutex
	heartbeat *peerpb.Envelope
	notices   []*peerpb.Envelope
	state     *peerpb.Envelope
	digests   []*peerpb.Envelope
	loads     *peerpb.Envelope
	zoneLoads *peerpb.Envelope
	states    *peerpb.Envelope
	dropped   uint64
	closed    bool
}

func newQueue() *queue {
	return &queue{ready: make(chan struct{}, 1)}
}

// push adds message and drops an older one if its part is full.
func (q *queue) push(message *peerpb.Envelope) {
	q.mu.Lock()
	if !q.closed {
		q.add(message)
	}
	q.mu.Unlock()
	q.signal()
}

func (q *queue) add(message *peerpb.Envelope) {
	switch message.GetBody().(type) {
	case *peerpb.Envelope_Heartbeat:
		q.heartbeat = message
	case *peerpb.Envelope_ConfigState:
		q.state = message
	case *peerpb.Envelope_Digest:
		q.addDigest(message)
	case *peerpb.Envelope_UpstreamLoads:
		q.loads = message
	case *peerpb.Envelope_ZoneLoads:
		q.zoneLoads = message
	case *peerpb.Envelope_UpstreamStates:
		q.states = message
	default:
		q.notices = q.bounded(q.notices, message, maxQueuedNotices)
	}
}

// addDigest replaces a waiting digest of the same instance.
func (q *queue) addDigest(message *peerpb.Envelope) {
	origin := message.GetDigest().GetInstance()
	for i, waiting := range q.digests {
		if waiting.GetDigest().GetInstance() == origin {
			q.digests[i] = message
			q.dropped++
			return
		}
	}
	q.digests = q.bounded(q.digests, message, maxQueuedDigests)
}

func (q *queue) bounded(part []*peerpb.Envelope, message *peerpb.Envelope, limit int) []*peerpb.Envelope {
	if len(part) >= limit {
		part = part[1:]
		q.dropped++
	}
	return append(part, message)
}

// pop returns the next message: heartbeat, notices, configuration, digests. It
// returns nil when there is none, and closed when none will follow.
func (q *queue) pop() (message *peerpb.Envelope, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.heartbeat != nil:
		message, q.heartbeat = q.heartbeat, nil
	case len(q.notices) > 0:
		message, q.notices = q.notices[0], q.notices[1:]
	case q.state != nil:
		message, q.state = q.state, nil
	case q.loads != nil:
		message, q.loads = q.loads, nil
	case q.zoneLoads != nil:
		message, q.zoneLoads = q.zoneLoads, nil
	case q.states != nil:
		message, q.states = q.states, nil
	case len(q.digests) > 0:
		message, q.digests = q.digests[0], q.digests[1:]
	}
	return message, q.closed && message == nil
}

// close refuses further messages; those that wait are still handed out.
func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
}

func (q *queue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *queue) droppedCount() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}
