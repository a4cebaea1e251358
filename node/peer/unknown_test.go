package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"

	"masticbank.example/node/peer/peerpb"
)

// unknownField is a field of an Envelope that no version has.
const unknownField = 999

// TestNewerMessageEndsTheSession guards against instances that lose their sessions to newer ones: a message of a
// type that the receiver does not know is ignored.
func TestNewerMessageEndsTheSession(t *testing.T) {
	a, _ := startNode(t, "a", nil)
	b, atB := startNode(t, "b", nil)
	b.SetPeers([]Peer{peerOf(a)})
	receive(t, atB.up)
	require.Eventually(t, func() bool { return a.currentSession("b") != nil }, testTimeout, time.Millisecond)
	s := a.currentSession("b")
	newer := &peerpb.Envelope{}
	body := protowire.AppendBytes(protowire.AppendTag(nil, unknownField, protowire.BytesType), []byte("unknown"))
	newer.ProtoReflect().SetUnknown(body)
	s.queue.push(newer)
	require.NoError(t, a.Send("b", &peerpb.Suspicion{Upstream: "replica-1"}))
	require.IsType(t, &peerpb.Suspicion{}, receive(t, atB.messages))
	require.Same(t, s, a.currentSession("b"))
}
