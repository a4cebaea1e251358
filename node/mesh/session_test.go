package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/node/peer"
)

// TestReplacedSessionCountsAsTheOld guards against evidence that is lost with a session which the
// peer replaces before this side has seen its end: there is no PeerDown then, and while evidence
// keeps changing, the digests never settle.
func TestReplacedSessionCountsAsTheOld(t *testing.T) {
	m := &Mesh{
		opts:           Options{Logger: zap.NewNop()},
		connected:      map[string]peerState{},
		evidenceStates: map[string]evidenceState{},
	}
	h := &handler{mesh: m}
	now := time.Now()
	h.PeerUp(peer.Info{ID: "b"})
	require.False(t, m.shouldSendEvidence("b", 1, 1, now))
	h.PeerUp(peer.Info{ID: "b"})
	require.True(t, m.shouldSendEvidence("b", 2, 1, now.Add(time.Second)))
}
