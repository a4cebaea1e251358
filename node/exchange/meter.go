package exchange

import (
	"errors"
	"io"
)

// ErrHeadTooLarge means that a replica sent more than the head of an answer may have,
// interim answers included.
var ErrHeadTooLarge = errors.New("the head of the answer is too large")

// unlimited lets a meter pass everything.
const unlimited = -1

// meter bounds what is read from a connection until the head of an answer is complete.
type meter struct {
	source io.Reader
	left   int64
	// exceeded is true when more came than the bound.
	exceeded bool
}

// limit sets how much may be read from now on.
func (m *meter) limit(n int64) { m.left = n }

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	if m.left == unlimited {
		return m.source.Read(p)
	}
	if m.left == 0 {
		m.exceeded = true
		return 0, ErrHeadTooLarge
	}
	n, err := m.source.Read(p[:min(int64(len(p)), m.left)])
	m.left -= int64(n)
	return n, err
}
