package peer

import (
	"time"

	"masticbank.example/node/peer/peerpb"
)

// Delays before a configuration is requested again.
const (
	// pullRetryDelay applies while no response has arrived.
	pullRetryDelay = time.Second
	// pullRepeatDelay applies if the response arrived but was not put in force.
	pullRepeatDelay = 10 * time.Second
)

// pullState records what was requested, so that a new revision is fetched from
// one peer and not from all of them. It is guarded by Node.mu.
type pullState struct {
	requestedRevision uint64
	requestedAt       time.Time
	receivedRevision  uint64
	// behindSince is when a peer first reported a higher revision than the one
	// in force here. It is reset when the configuration in force changes.
	behindSince time.Time
}

// shouldRequest reports whether revision should be requested now. If so, it
// records the request.
func (p *pullState) shouldRequest(revision uint64, now time.Time) bool {
	delay := pullRetryDelay
	if revision <= p.receivedRevision {
		delay = pullRepeatDelay
	}
	if revision <= p.requestedRevision && now.Sub(p.requestedAt) < delay {
		return false
	}
	p.requestedRevision = revision
	p.requestedAt = now
	return true
}

// delayElapsed reports whether this instance has had an outdated configuration
// for at least delay.
func (p *pullState) delayElapsed(now time.Time, delay time.Duration) bool {
	if p.behindSince.IsZero() {
		p.behindSince = now
	}
	return now.Sub(p.behindSince) >= delay
}

// requestConfigState requests the configuration of the peer of s if it is newer
// than the one in force here.
func (n *Node) requestConfigState(s *session) {
	info, _ := s.snapshot()
	n.mu.Lock()
	have := n.config.GetRevision()
	now := time.Now()
	due := info.Revision > have && n.pulls.delayElapsed(now, n.options.PullDelay) && n.pulls.shouldRequest(info.Revision, now)
	n.mu.Unlock()
	if !due {
		return
	}
	request := &peerpb.RequestState{HaveRevision: have}
	s.queue.push(&peerpb.Envelope{Body: &peerpb.Envelope_RequestState{RequestState: request}})
}

// sendConfigState sends the configuration in force here if it is newer than
// have.
func (n *Node) sendConfigState(s *session, have uint64) {
	n.mu.Lock()
	config := n.config
	n.mu.Unlock()
	if config.GetRevision() > have {
		s.queue.push(&peerpb.Envelope{Body: &peerpb.Envelope_ConfigState{ConfigState: config}})
	}
}

// recordReceivedRevision records that a configuration with this revision was
// received.
func (n *Node) recordReceivedRevision(revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pulls.receivedRevision = max(n.pulls.receivedRevision, revision)
}
