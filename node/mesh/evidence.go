package mesh

import (
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/poison"
	"masticbank.example/node/peer"
	"masticbank.example/node/peer/peerpb"
)

// evidencePeriod is the shortest time between two messages with all evidence to one
// peer.
const evidencePeriod = time.Second

// Evidence tells the peers what is new about requests that crash replicas.
func (m *Mesh) Evidence(news poison.State) { m.broadcast(peer.EncodeEvidence(news, time.Now())) }

// compareEvidence sends all evidence to a peer that knows something else. The peer does
// the same, so that both know what either knew.
func (m *Mesh) compareEvidence(from string, digest uint64) {
	if digest == m.opts.Gateway.EvidenceDigest() {
		return
	}
	now := time.Now()
	m.mu.Lock()
	due := now.Sub(m.evidenceAt[from]) >= evidencePeriod
	if due {
		m.evidenceAt[from] = now
	}
	m.mu.Unlock()
	if !due {
		return
	}
	all := m.opts.Gateway.Evidence()
	if all.Empty() {
		return
	}
	if err := m.node.Send(from, peer.EncodeEvidence(all, now)); err != nil {
		m.opts.Logger.Info("evidence not sent", zap.String("peer", from), zap.Error(err))
	}
}

// CrashEvidence implements peer.Handler.
func (h *handler) CrashEvidence(_ string, m *peerpb.CrashEvidence) {
	h.mesh.opts.Gateway.LearnEvidence(peer.DecodeEvidence(m, time.Now()))
}
