package mesh

import (
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/poison"
	"masticbank.example/node/peer"
	"masticbank.example/node/peer/peerpb"
)

const (
	// settleTime is how long the evidence of two instances must differ, with neither
	// digest changing, before they send each other all of it. New evidence reaches all
	// instances within about 100 ms.
	settleTime = 700 * time.Millisecond
	// firstResendInterval is the time until all evidence is sent again to a peer whose
	// evidence still differs. It doubles up to maxResendInterval, since instances with
	// more evidence than fits in one message may differ for a long time.
	firstResendInterval = time.Second
	maxResendInterval   = 30 * time.Second
)

// evidenceState is the state of the comparison of evidence with one peer: the digests of
// this instance and of the peer, and when to send all evidence.
type evidenceState struct {
	ownDigest, peerDigest uint64
	// changedAt is when either digest last changed.
	changedAt time.Time
	// nextSend is the earliest time to send all evidence again, resendInterval after
	// the last time.
	nextSend       time.Time
	resendInterval time.Duration
}

// PublishEvidence publishes new evidence on requests that crash replicas to the peers.
func (m *Mesh) PublishEvidence(e poison.Evidence) { m.broadcast(peer.EncodeEvidence(e, time.Now())) }

// compareEvidence sends all evidence to a peer whose digest differs, immediately if the
// session is new. The peer does the same, so that both then have the union.
func (m *Mesh) compareEvidence(from string, digest uint64) {
	own := m.opts.Gateway.EvidenceDigest()
	if !m.shouldSendEvidence(from, own, digest, time.Now()) {
		return
	}
	all := m.opts.Gateway.Evidence()
	if all.Empty() {
		return
	}
	if err := m.node.Send(from, peer.EncodeEvidence(all, time.Now())); err != nil {
		m.opts.Logger.Info("failed to send evidence to a peer", zap.String("peer", from), zap.Error(err))
	}
}

// shouldSendEvidence records the digests of this instance and of a peer and reports
// whether to send all evidence to the peer now.
func (m *Mesh) shouldSendEvidence(from string, own, digest uint64, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, known := m.evidenceStates[from]
	if own == digest {
		m.evidenceStates[from] = evidenceState{ownDigest: own, peerDigest: digest, changedAt: now}
		return false
	}
	if state.ownDigest != own || state.peerDigest != digest {
		state.ownDigest, state.peerDigest, state.changedAt = own, digest, now
	}
	due := !known || now.Sub(state.changedAt) >= settleTime && !now.Before(state.nextSend)
	if due {
		state.resendInterval = min(max(2*state.resendInterval, firstResendInterval), maxResendInterval)
		state.nextSend = now.Add(state.resendInterval)
	}
	m.evidenceStates[from] = state
	return due
}

// CrashEvidence implements peer.Handler.
func (h *handler) CrashEvidence(_ string, m *peerpb.CrashEvidence) {
	h.mesh.opts.Gateway.MergeEvidence(peer.DecodeEvidence(m, time.Now()))
}
