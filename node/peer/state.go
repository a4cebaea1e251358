package peer

import (
	"time"

	"masticbank.example/node/peer/peerpb"
)

// Waits before a configuration is asked for again.
const (
	// pullRetry applies while no answer has come.
	pullRetry = time.Second
	// pullRepeat applies when the answer came and was not put in force.
	pullRepeat = 10 * time.Second
)

// pullState remembers what was asked for, so that a new revision is fetched from
// one peer and not from all of them. Node.mu guards it.
type pullState struct {
	revision uint64
	askedAt  time.Time
	received uint64
	// behindSince is when a peer was first heard to have a higher revision than the
	// one in force here; zero when that one has changed since.
	behindSince time.Time
}

// due tells whether revision is to be asked for at now, and notes that it is.
func (p *pullState) due(revision uint64, now time.Time) bool {
	pause := pullRetry
	if revision <= p.received {
		pause = pullRepeat
	}
	if revision <= p.revision && now.Sub(p.askedAt) < pause {
		return false
	}
	p.revision = revision
	p.askedAt = now
	return true
}

// waited tells whether this instance has been behind for delay.
func (p *pullState) waited(now time.Time, delay time.Duration) bool {
	if p.behindSince.IsZero() {
		p.behindSince = now
	}
	return now.Sub(p.behindSince) >= delay
}

// pull asks the peer of s for its configuration if that is newer than the one in
// force here.
func (n *Node) pull(s *session) {
	info, _ := s.snapshot()
	n.mu.Lock()
	have := n.config.GetRevision()
	now := time.Now()
	due := info.Revision > have && n.pulls.waited(now, n.options.PullDelay) && n.pulls.due(info.Revision, now)
	n.mu.Unlock()
	if !due {
		return
	}
	request := &peerpb.RequestState{HaveRevision: have}
	s.queue.push(&peerpb.Envelope{Body: &peerpb.Envelope_RequestState{RequestState: request}})
}

// answerState sends the configuration in force if it is newer than have.
func (n *Node) answerState(s *session, have uint64) {
	n.mu.Lock()
	config := n.config
	n.mu.Unlock()
	if config.GetRevision() > have {
		s.queue.push(&peerpb.Envelope{Body: &peerpb.Envelope_ConfigState{ConfigState: config}})
	}
}

func (n *Node) noteReceived(revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pulls.received = max(n.pulls.received, revision)
}
