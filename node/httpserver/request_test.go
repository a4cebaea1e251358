package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTimeOfArrivalIsThatOfTheFirstByte guards against times that are counted from the start of
// the handler, which is later if the request or its handler had to wait.
func TestTimeOfArrivalIsThatOfTheFirstByte(t *testing.T) {
	received := make(chan time.Time, 1)
	s := start(t, func(_ http.ResponseWriter, r *http.Request) {
		at, ok := ReceivedAt(r.Context())
		if !ok {
			t.Error("no time of arrival")
		}
		received <- at
	})
	defer func() { require.NoError(t, s.Shutdown(context.Background())) }()
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	defer c.Close()
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	_, err = io.WriteString(c, request[:10])
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.receivingCount() == 1 }, time.Minute, time.Millisecond)
	begun := time.Now()
	_, err = io.WriteString(c, request[10:])
	require.NoError(t, err)
	require.False(t, (<-received).After(begun))
}

// TestLateChecksAreReported guards against a process that gets the processor late and doesn't
// tell.
func TestLateChecksAreReported(t *testing.T) {
	var reported []time.Duration
	s := &Server{opts: Options{ClosedCheckPeriod: time.Second, OnDelay: func(d time.Duration) { reported = append(reported, d) }}}
	s.reportDelay(time.Now())
	require.Empty(t, reported)
	s.reportDelay(time.Now().Add(-time.Hour))
	require.Len(t, reported, 1)
	require.GreaterOrEqual(t, reported[0], time.Hour-time.Second)
}
