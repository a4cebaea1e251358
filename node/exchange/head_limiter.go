package exchange

import (
	"errors"
	"io"
)

// ErrHeadTooLarge means that the head of a replica's response, including interim
// responses, exceeds the size limit.
var ErrHeadTooLarge = errors.New("response head is too large")

// unlimited is the limit that lets a headLimiter read any number of bytes.
const unlimited = -1

// headLimiter is a reader of a connection that limits the number of bytes read until the
// head of a response is complete.
type headLimiter struct {
	source    io.Reader
	remaining int64
	// exceeded is true if a read was attempted after the limit was reached.
	exceeded bool
}

// setLimit sets the number of bytes that may be read from now on.
func (m *headLimiter) setLimit(n int64) { m.remaining = n }

// Read implements io.Reader.
func (m *headLimiter) Read(p []byte) (int, error) {
	if m.remaining == unlimited {
		return m.source.Read(p)
	}
	if m.remaining == 0 {
		m.exceeded = true
		return 0, ErrHeadTooLarge
	}
	n, err := m.source.Read(p[:min(int64(len(p)), m.remaining)])
	m.remaining -= int64(n)
	return n, err
}
