package peer

import (
	"sync"

	"masticbank.example/node/peer/peerpb"
)

// Maximum lengths of the lists of a queue, in messages.
const (
	maxQueuedNotices = 256
	maxQueuedDigests = 16
)

// queue holds the messages to be sent on one session. Adding a message never
// blocks: a full list discards its oldest message. Of heartbeats, configuration
// states, loads and upstream states only the latest is kept, as it supersedes
// the earlier ones. queue is safe for concurrent use.
type queue struct {
	// ready holds a token while the queue may hold a message or is closed.
	ready chan struct{}

	mu             sync.Mutex
	heartbeat      *peerpb.Envelope
	notices        []*peerpb.Envelope
	configState    *peerpb.Envelope
	digests        []*peerpb.Envelope
	loads          *peerpb.Envelope
	zoneLoads      *peerpb.Envelope
	upstreamStates *peerpb.Envelope
	discarded      uint64
	closed         bool
}

func newQueue() *queue {
	return &queue{ready: make(chan struct{}, 1)}
}

// push adds message and discards an older one if its list is full.
func (q *queue) push(message *peerpb.Envelope) {
	q.mu.Lock()
	if !q.closed {
		q.enqueue(message)
	}
	q.mu.Unlock()
	q.signal()
}

func (q *queue) enqueue(message *peerpb.Envelope) {
	switch message.GetBody().(type) {
	case *peerpb.Envelope_Heartbeat:
		q.heartbeat = message
	case *peerpb.Envelope_ConfigState:
		q.configState = message
	case *peerpb.Envelope_Digest:
		q.addDigest(message)
	case *peerpb.Envelope_UpstreamLoads:
		q.loads = message
	case *peerpb.Envelope_ZoneLoads:
		q.zoneLoads = message
	case *peerpb.Envelope_UpstreamStates:
		q.upstreamStates = message
	default:
		q.notices = q.appendBounded(q.notices, message, maxQueuedNotices)
	}
}

// addDigest replaces a queued digest of the same instance.
func (q *queue) addDigest(message *peerpb.Envelope) {
	origin := message.GetDigest().GetInstance()
	for i, waiting := range q.digests {
		if waiting.GetDigest().GetInstance() == origin {
			q.digests[i] = message
			q.discarded++
			return
		}
	}
	q.digests = q.appendBounded(q.digests, message, maxQueuedDigests)
}

func (q *queue) appendBounded(list []*peerpb.Envelope, message *peerpb.Envelope, limit int) []*peerpb.Envelope {
	if len(list) >= limit {
		list = list[1:]
		q.discarded++
	}
	return append(list, message)
}

// pop returns the next message in the order of heartbeat, notices,
// configuration, loads, zone loads, upstream states, digests. It returns nil if
// the queue is empty. closed is true if no message will follow.
func (q *queue) pop() (message *peerpb.Envelope, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.heartbeat != nil:
		message, q.heartbeat = q.heartbeat, nil
	case len(q.notices) > 0:
		message, q.notices = q.notices[0], q.notices[1:]
	case q.configState != nil:
		message, q.configState = q.configState, nil
	case q.loads != nil:
		message, q.loads = q.loads, nil
	case q.zoneLoads != nil:
		message, q.zoneLoads = q.zoneLoads, nil
	case q.upstreamStates != nil:
		message, q.upstreamStates = q.upstreamStates, nil
	case len(q.digests) > 0:
		message, q.digests = q.digests[0], q.digests[1:]
	}
	return message, q.closed && message == nil
}

// close makes push ignore further messages; those already queued can still be
// popped.
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

func (q *queue) discardedCount() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.discarded
}
