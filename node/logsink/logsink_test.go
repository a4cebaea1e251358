package logsink_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/node/logsink"
)

// blockableOutput is a writer that blocks while the test holds its lock.
type blockableOutput struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *blockableOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *blockableOutput) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	out := &blockableOutput{}
	s := logsink.New(out)
	log := logsink.Logger(s, zap.NewAtomicLevel())
	log.Info("first", zap.String("request", "a"))
	log.Debug("not logged")
	log.Warn("second")
	s.Close()
	lines := strings.Split(strings.TrimSpace(out.text()), "\n")
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], `"msg":"first","request":"a"`)
	require.Contains(t, lines[1], `"level":"warn"`)
}

// TestBlockedOutputDropsLines checks that a blocked output does not block the writer,
// and that the number of dropped lines is logged later.
func TestBlockedOutputDropsLines(t *testing.T) {
	out := &blockableOutput{}
	out.mu.Lock()
	s := logsink.New(out)
	const lines = 10_000
	for range lines {
		n, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	dropped := s.Dropped()
	require.Positive(t, dropped)
	require.Less(t, dropped, uint64(lines))
	out.mu.Unlock()
	_, err := s.Write([]byte("last\n"))
	require.NoError(t, err)
	s.Close()
	require.Contains(t, out.text(), `"msg":"log lines dropped"`)
}
