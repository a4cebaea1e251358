package peer

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"masticbank.example/core/poison"
)

// maxEvidenceBytes limits the evidence that one instance sends to another at a
// time: 2.9 MB/s with 90 instances and one message per second to each.
const maxEvidenceBytes = 32 << 10

// TestEvidenceIsBoundedAndRoundTrips checks that evidence of four times as many
// requests as are kept stays below maxEvidenceBytes and is decoded without
// loss.
func TestEvidenceIsBoundedAndRoundTrips(t *testing.T) {
	now := time.Now()
	l := poison.NewLedger(time.Hour)
	for i := range 4 * poison.MaxState {
		f := poison.FingerprintOf("m", strconv.Itoa(i))
		r := poison.Incarnation{Replica: "i-0123456789-" + strconv.Itoa(i), Born: now.UnixMilli()}
		l.Lost(now, poison.LostRun{Fingerprint: f, Run: poison.Run{Attempt: uint64(i) << 32, Number: 1}, Parts: []poison.Incarnation{r}, Began: now})
		l.Ended(now, r)
		if i%2 == 0 {
			l.Succeeded(now, f)
		}
	}
	s := l.State()
	require.Len(t, s.Crashes, poison.MaxState)
	require.Len(t, s.Clears, poison.MaxState)
	message := EncodeEvidence(s, now)
	require.Less(t, proto.Size(message), maxEvidenceBytes)
	for i := range s.Crashes {
		s.Crashes[i].Own = false
	}
	require.Equal(t, s, DecodeEvidence(message, now))
}
