package fieldline

import (
	"io"
	"net"
	"sync"
)

// Reader reads the responses on a connection. From the first byte that makes a field line invalid on,
// its reads fail with ErrInvalid, so that no parser takes the head for a response. It is safe for
// concurrent use if its source is.
type Reader struct {
	source io.Reader

	mu      sync.Mutex
	scanner scanner
	invalid bool
}

// NewReader returns a reader of a connection on which nothing was received yet.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// ExpectResponse tells that the next bytes after the body of the last response are those of another
// one. It is called before each request is sent. What was received of a head already belongs to the
// response.
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

// Err returns ErrInvalid if an invalid field line was received. A parser that has read a part of the
// line may have failed with another error.
func (r *Reader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.invalid {
		return ErrInvalid
	}
	return nil
}

// conn is a connection whose responses are read with a Reader.
type conn struct {
	net.Conn
	reader *Reader
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.reader.Read(p) }
