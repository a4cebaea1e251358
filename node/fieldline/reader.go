package fieldline

import (
	"io"
	"net"
	"sync"
)

// Reader reads the responses on a connection. Its reads fail with ErrInvalid from the first byte that
// makes a field line invalid, so that a parser never sees the end of such a head. Read and the other
// methods may be called concurrently.
type Reader struct {
	source io.Reader

	mu      sync.Mutex
	scanner scanner
	invalid bool
}

// NewReader returns a reader of a new connection.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// ExpectResponse marks the end of the previous response. It must be called before each request is sent. If
// a part of a head was received since, it counts as that of the next response.
func (r *Reader) ExpectResponse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.scanner.state == inBody {
		r.scanner.state = inVersion
	}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.Err(); err != nil {
		return 0, err
	}
	n, err := r.source.Read(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	valid, ok := r.scanner.scan(p[:n])
	if !ok {
		r.invalid = true
		return valid, ErrInvalid
	}
	return n, err
}

// Err returns ErrInvalid if an invalid field line was received. The error of the parser may be another one
// if it has read a part of the line.
func (r *Reader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.invalid {
		return ErrInvalid
	}
	return nil
}

// conn is a connection that is read through a Reader.
type conn struct {
	net.Conn
	reader *Reader
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, reader: NewReader(c)} }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.reader.Read(p) }
