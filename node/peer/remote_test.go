package peer

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEndOfAnEarlierSessionForgetsTheNext guards against a peer with a session that gets no more messages:
// the record of the peer was deleted between the end of a session and its notification, which then
// deleted the next record of that name.
func TestEndOfAnEarlierSessionForgetsTheNext(t *testing.T) {
	n, err := New(Options{ID: "a", Incarnation: 1, Listen: "127.0.0.1:0", Key: bytes.Repeat([]byte("k"), 32), Handler: NopHandler{}})
	require.NoError(t, err)
	newSession := func(id uint64) *session {
		return &session{handshakeResult: handshakeResult{remoteID: "b", id: id, process: 1}, raw: &countingConn{}, queue: newQueue()}
	}
	first, next := newSession(1), newSession(2)
	r, _, ok := n.register(first)
	require.True(t, ok)
	n.unregister(r, first)
	n.SetPeers(nil)
	_, _, ok = n.register(next)
	require.True(t, ok)
	n.notifyDown(r, first)
	require.Same(t, next, n.currentSession("b"))
	require.Equal(t, 1, n.Sessions())
	n.unregister(r, next)
	n.notifyDown(r, next)
	require.Empty(t, n.Peers())
}
