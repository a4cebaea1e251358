package mesh

import (
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/poison"
	"masticbank.example/node/peer/peerpb"
)

// evidencePeriod is the shortest time between two messages with all evidence to one
// peer.
const evidencePeriod = time.Second

// Evidence tells the peers what is new about requests that crash replicas.
func (m *Mesh) Evidence(news poison.State) { m.broadcast(encodeEvidence(news, time.Now())) }

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
	if err := m.node.Send(from, encodeEvidence(all, now)); err != nil {
		m.opts.Logger.Info("evidence not sent", zap.String("peer", from), zap.Error(err))
	}
}

// CrashEvidence implements peer.Handler.
func (h *handler) CrashEvidence(_ string, m *peerpb.CrashEvidence) {
	h.mesh.opts.Gateway.LearnEvidence(decodeEvidence(m, time.Now()))
}

func encodeEvidence(s poison.State, now time.Time) *peerpb.CrashEvidence {
	out := &peerpb.CrashEvidence{}
	for _, c := range s.Crashes {
		out.Crashes = append(out.Crashes, &peerpb.Crash{
			Fingerprint: c.Fingerprint[:],
			Attempt:     c.Run.Attempt,
			Run:         c.Run.Number,
			Upstream:    c.Replica.Replica,
			Born:        c.Replica.Born,
			Progressed:  c.Progressed,
			AgeMs:       age(now, c.At),
		})
	}
	for _, c := range s.Clears {
		out.Cleared = append(out.Cleared, &peerpb.ClearedRequest{Fingerprint: c.Fingerprint[:], AgeMs: age(now, c.At)})
	}
	return out
}

func age(now, at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }

// decodeEvidence leaves out what has no whole fingerprint.
func decodeEvidence(m *peerpb.CrashEvidence, now time.Time) poison.State {
	var s poison.State
	for _, c := range m.GetCrashes() {
		f, ok := poison.FingerprintFrom(c.GetFingerprint())
		if !ok {
			continue
		}
		s.Crashes = append(s.Crashes, poison.Crash{
			Fingerprint: f,
			Run:         poison.Run{Attempt: c.GetAttempt(), Number: c.GetRun()},
			Replica:     poison.Incarnation{Replica: c.GetUpstream(), Born: c.GetBorn()},
			Progressed:  c.GetProgressed(),
			At:          now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond),
		})
	}
	for _, c := range m.GetCleared() {
		if f, ok := poison.FingerprintFrom(c.GetFingerprint()); ok {
			s.Clears = append(s.Clears, poison.Clear{Fingerprint: f, At: now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)})
		}
	}
	return s
}
