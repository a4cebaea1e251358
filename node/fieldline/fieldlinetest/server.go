package fieldlinetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Server writes a fixed response to each request. It never closes a connection before its client.
type Server struct {
	// Address is its host and port.
	Address     string
	response    string
	connections atomic.Int64
}

// Serve starts a server, which accepts connections until the test ends.
func Serve(t *testing.T, response string) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Address: l.Addr().String(), response: response}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(c)
		}
	}()
	return s
}

// Connections returns the number of connections accepted so far.
func (s *Server) Connections() int { return int(s.connections.Load()) }

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, s.response)
	}
}
