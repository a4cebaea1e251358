package engine

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 10 * time.Second

// Server serves a handler on one address and can be disconnected from its clients. It
// is safe for concurrent use.
type Server struct {
	handler http.Handler
	address string

	mu     sync.Mutex
	server *http.Server
	closed bool
}

// Listen serves handler on address, "host:port". Port 0 chooses a free port.
func Listen(address string, handler http.Handler) (*Server, error) {
	s := &Server{handler: handler, address: address}
	if err := s.Reconnect(); err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the host:port on which the server listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Disconnect closes all connections and refuses new ones until Reconnect.
func (s *Server) Disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// Reconnect accepts connections on the same address again. It does nothing if the server
// is not disconnected or is closed.
func (s *Server) Reconnect() error {
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

// Close closes all connections and the listener. Reconnect has no effect afterwards.
func (s *Server) Close() {
	s.Disconnect()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}
