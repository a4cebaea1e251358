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
func (l *headLimiter) setLimit(n int64) { l.remaining = n }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.remaining == unlimited {
		return l.source.Read(p)
	}
	if l.remaining == 0 {
		l.exceeded = true
		return 0, ErrHeadTooLarge
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
