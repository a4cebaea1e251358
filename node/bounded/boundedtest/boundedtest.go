// Package boundedtest provides a server that sends endless responses, for tests of
// clients that must limit what they read.
package boundedtest

import (
	"net"
	"strings"
	"sync"
	"testing"
)

// MaxSentBytes is the number of bytes after which the server stops, as the client
// evidently has no limit. It exceeds the sum of the largest limit, 64 MiB for the log,
// and the buffers of a connection, which grow on Linux to 32 MiB at the receiver and
// 4 MiB at the sender.
const MaxSentBytes = 128 << 20

// blockBytes is the size of one write.
const blockBytes = 64 << 10

// EndlessHeaders are HTTP responses with an endless header. Each consists of a
// beginning and a part that is repeated.
var EndlessHeaders = map[string][2]string{
	"header lines":     {"HTTP/1.1 200 OK\r\n", "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"},
	"one header line":  {"HTTP/1.1 200 OK\r\nX-Filler: ", "a"},
	"status line":      {"HTTP/1.1 200 ", "a"},
	"interim response": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	"no line break":    {"", "a"},
	"only line breaks": {"", "\r\n"},
}

// EndlessBodies are HTTP responses with an endless body, in the same form.
var EndlessBodies = map[string][2]string{
	"until close":    {"HTTP/1.1 200 OK\r\n\r\n", "[1,"},
	"chunks":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("[1,2", 16) + "\r\n"},
	"chunk size":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk option":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=", "b"},
	"trailer":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n0\r\n", "X-A: aaaaaaaaaaaaaaaaaaaaa\r\n"},
	"length":         {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "[1,"},
	"error response": {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "[1,"},
	"empty elements": {"HTTP/1.1 200 OK\r\n\r\n", " "},
}

// Server sends an endless response over each connection until the client closes it or
// the maximum number of bytes has been sent.
type Server struct {
	listener net.Listener

	mu   sync.Mutex
	sent int
	open map[net.Conn]bool
}

// Start starts a server, which runs until the test ends. response
// holds the beginning of each response and the part that is repeated.
func Start(t *testing.T, response [2]string) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: l, open: map[net.Conn]bool{}}
	block := strings.Repeat(response[1], blockBytes/len(response[1])+1)
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open[c] = true
			s.mu.Unlock()
			tasks.Go(func() { s.send(c, response[0], block) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.mu.Lock()
		for c := range s.open {
			_ = c.Close()
		}
		s.mu.Unlock()
		tasks.Wait()
	})
	return s
}

// Address returns the address of the server as IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Sent returns the number of bytes sent over all connections.
func (s *Server) Sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

func (s *Server) send(c net.Conn, first, block string) {
	defer c.Close()
	var request [4096]byte
	if _, err := c.Read(request[:]); err != nil {
		return
	}
	next := first
	for s.Sent() < MaxSentBytes {
		n, err := c.Write([]byte(next))
		s.mu.Lock()
		s.sent += n
		s.mu.Unlock()
		if err != nil {
			return
		}
		next = block
	}
}
