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
	for i := range 4 * poison.MaxEvidence {
		f := poison.FingerprintOf("m", strconv.Itoa(i))
		r := poison.Process{Replica: "i-0123456789-" + strconv.Itoa(i), StartTime: now.UnixMilli()}
		l.RecordLostRun(now, poison.LostRun{Fingerprint: f, Run: poison.Run{Attempt: uint64(i) << 32, Number: 1}, Processes: []poison.Process{r}, SentAt: now})
		l.RecordEnd(now, r)
		if i%2 == 0 {
			l.RecordSuccess(now, f)
		}
	}
	s := l.Evidence()
	require.Len(t, s.Crashes, poison.MaxEvidence)
	require.Len(t, s.Clearances, poison.MaxEvidence)
	message := EncodeEvidence(s, now)
	require.Less(t, proto.Size(message), maxEvidenceBytes)
	for i := range s.Crashes {
		s.Crashes[i].Local = false
	}
	require.Equal(t, s, DecodeEvidence(message, now))
}
