package engine

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout bounds the time to read a request's header.
const headerTimeout = 10 * time.Second

// Server serves a handler on one address and can be cut off from its clients.
// Safe for concurrent use.
type Server struct {
	handler http.Handler
	address string

	mu     sync.Mutex
	server *http.Server
	closed bool
}

// Listen serves handler on address, "host:port"; port 0 takes a free one.
func Listen(address string, handler http.Handler) (*Server, error) {
	s := &Server{handler: handler, address: address}
	if err := s.Restore(); err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the host:port that is served.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Cut closes all connections and refuses new ones until Restore.
func (s *Server) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// Restore accepts connections on the same address; it does nothing when they
// are accepted already or the server is closed.
func (s *Server) Restore() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil || s.closed {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.address, err)
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	s.server = server
	go serve(server, listener)
	return nil
}

func serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = listener.Close()
	}
}

// Close cuts the server off for good.
func (s *Server) Close() {
	s.Cut()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}
