package mesh

import (
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/poison"
	"masticbank.example/node/peer"
	"masticbank.example/node/peer/peerpb"
)

const (
	// settleTime is how long two instances must know different evidence, without news,
	// before they tell each other all of it. News reach all within some 100 ms.
	settleTime = 700 * time.Millisecond
	// firstPause is the time until all is told again to a peer that still differs; it
	// doubles up to longestPause. Instances that know more than one message holds may
	// differ for long.
	firstPause   = time.Second
	longestPause = 30 * time.Second
)

// difference is what is known of a peer with other evidence.
type difference struct {
	own, peer uint64
	// since is when either digest changed last.
	since time.Time
	// due is when all evidence may be told next, after pause.
	due   time.Time
	pause time.Duration
}

// Evidence tells the peers what is new about requests that crash replicas.
func (m *Mesh) Evidence(news poison.State) { m.broadcast(peer.EncodeEvidence(news, time.Now())) }

// compareEvidence tells all evidence to a peer that knows something else, at once after
// a new session. The peer does the same, so that both know what either knew.
func (m *Mesh) compareEvidence(from string, digest uint64) {
	own := m.opts.Gateway.EvidenceDigest()
	if !m.differs(from, own, digest, time.Now()) {
		return
	}
	all := m.opts.Gateway.Evidence()
	if all.Empty() {
		return
	}
	if err := m.node.Send(from, peer.EncodeEvidence(all, time.Now())); err != nil {
		m.opts.Logger.Info("evidence not sent", zap.String("peer", from), zap.Error(err))
	}
}

// differs tells whether all evidence is to be told to a peer now.
func (m *Mesh) differs(from string, own, digest uint64, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, known := m.differing[from]
	if own == digest {
		m.differing[from] = difference{own: own, peer: digest, since: now}
		return false
	}
	if d.own != own || d.peer != digest {
		d.own, d.peer, d.since = own, digest, now
	}
	due := !known || now.Sub(d.since) >= settleTime && !now.Before(d.due)
	if due {
		d.pause = min(max(2*d.pause, firstPause), longestPause)
		d.due = now.Add(d.pause)
	}
	m.differing[from] = d
	return due
}

// CrashEvidence implements peer.Handler.
func (h *handler) CrashEvidence(_ string, m *peerpb.CrashEvidence) {
	h.mesh.opts.Gateway.LearnEvidence(peer.DecodeEvidence(m, time.Now()))
}
