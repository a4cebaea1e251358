package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/stretchr/testify/require"
)

// holdMark begins the data that holds up the poller of its connection.
const holdMark = "HOLD"

// heldPollers holds up all pollers of a server while each processes a batch of events.
type heldPollers struct {
	entered, release chan struct{}
	// conns has a connection for each poller.
	conns []net.Conn
}

func holdPollers(t *testing.T, s *Server) *heldPollers {
	h := &heldPollers{entered: make(chan struct{}), release: make(chan struct{})}
	s.engine.OnData(func(c *nbio.Conn, data []byte) {
		if bytes.HasPrefix(data, []byte(holdMark)) {
			h.entered <- struct{}{}
			<-h.release
			return
		}
		s.onData(c, data)
	})
	found := map[int]bool{}
	for len(found) < s.engine.NPoller {
		known := len(found)
		before := s.openConnections()
		conn, err := net.Dial("tcp", s.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		require.Eventually(t, func() bool { return len(s.openConnections()) > len(before) }, time.Second, time.Millisecond)
		for c := range s.openConnections() {
			if poller := c.Hash() % s.engine.NPoller; !before[c] && !found[poller] {
				found[poller] = true
				h.conns = append(h.conns, conn)
			}
		}
		if len(found) > known {
			continue
		}
		// A connection's descriptor chooses its poller. Both ends of a connection take one in this
		// process, so a further one is taken lest only every second descriptor is tried.
		spare, err := os.Open(os.DevNull)
		require.NoError(t, err)
		t.Cleanup(func() { _ = spare.Close() })
	}
	return h
}

func (s *Server) openConnections() map[*nbio.Conn]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[*nbio.Conn]bool{}
	for c := range s.connections {
		out[c] = true
	}
	return out
}

// hold makes the next event of each poller one that holds it up.
func (h *heldPollers) hold(t *testing.T) {
	for _, c := range h.conns {
		_, err := io.WriteString(c, holdMark)
		require.NoError(t, err)
	}
}

func (h *heldPollers) await() {
	for range h.conns {
		<-h.entered
	}
}

func (h *heldPollers) goOn() {
	for range h.conns {
		h.release <- struct{}{}
	}
}

// TestStaleEventClosesANewConnection guards against requests that end without an answer: the event
// that a client has left its connection is applied to another one, which got the same descriptor
// because the first one had been closed outside the poller meanwhile.
func TestStaleEventClosesANewConnection(t *testing.T) {
	for name, closedElsewhere := range map[string]bool{"by a failed write": false, "by any other goroutine": true} {
		t.Run(name, func(t *testing.T) { testStaleEvent(t, closedElsewhere) })
	}
}

func testStaleEvent(t *testing.T, closedElsewhere bool) {
	const clients = 64
	write := make(chan struct{})
	var begun, ended sync.WaitGroup
	begun.Add(clients)
	ended.Add(clients)
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/stream" {
			_, _ = io.WriteString(w, "ok")
			return
		}
		defer ended.Done()
		_, _ = io.WriteString(w, "first event\n")
		begun.Done()
		<-write
		_, _ = io.WriteString(w, "next event\n")
		Abort(w)
	})
	defer func() { require.NoError(t, s.Shutdown(context.Background())) }()
	held := holdPollers(t, s)
	others := s.openConnections()
	var leaving []net.Conn
	for range clients {
		leaving = append(leaving, dialAndSend(t, s, "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n"))
	}
	begun.Wait()
	streams := s.openConnections()
	held.hold(t)
	held.await()
	held.hold(t) // the batch that contains the closes is held up as well
	acceptForEachPoller(t, s)
	for _, c := range leaving {
		require.NoError(t, c.(*net.TCPConn).SetLinger(0))
		require.NoError(t, c.Close())
	}
	held.goOn()
	held.await()
	for c := range streams {
		if closedElsewhere && !others[c] {
			_ = c.Close()
		}
	}
	close(write)
	ended.Wait()
	var arriving []net.Conn
	for range clients {
		arriving = append(arriving, dialAndSend(t, s, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	}
	require.Eventually(t, func() bool { return s.acceptor.waiting() > clients }, 10*time.Second, time.Millisecond)
	held.goOn()
	unanswered := 0
	for _, c := range arriving {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			unanswered++
			continue
		}
		_ = resp.Body.Close()
	}
	require.Zero(t, unanswered, "requests without an answer")
}

// acceptForEachPoller makes the server accept connections until each poller has a further one to add,
// which it does in the batch that is fetched next.
func acceptForEachPoller(t *testing.T, s *Server) {
	for _, p := range s.acceptor.pollers {
		require.Eventually(t, func() bool {
			c, err := net.Dial("tcp", s.Addr())
			require.NoError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			spare, err := os.Open(os.DevNull) // see holdPollers
			require.NoError(t, err)
			t.Cleanup(func() { _ = spare.Close() })
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.signaled > 0
		}, 10*time.Second, time.Millisecond)
	}
}
