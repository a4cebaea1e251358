// Package bounded reads what other processes send into memory, up to a bound. What is
// longer is an error, never cut.
package bounded

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"golang.org/x/sync/semaphore"
)

// HeadBytes bounds the head of an answer, interim answers included. Heads have some
// hundred bytes; servers of the web usually allow 8 to 32 KiB.
const HeadBytes = 32 << 10

// ErrTooLarge means that more bytes came than allowed.
var ErrTooLarge = errors.New("more bytes than allowed")

// DefaultClient is http.DefaultClient with bounded heads.
var DefaultClient = &http.Client{Transport: defaultTransport()}

func defaultTransport() *http.Transport {
	tr := http.DefaultTransport.(*http.Transport).Clone()
	tr.MaxResponseHeaderBytes = HeadBytes
	return tr
}

// ReadAll reads up to the end, which must come within limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, err
}

const (
	// freeBytes of each body are not counted: nearly all bodies are smaller.
	freeBytes = 64 << 10
	// firstBytes is the size of the first buffer.
	firstBytes = 4 << 10
	// growth is the size of the steps in which larger bodies are counted.
	growth = 256 << 10
)

// Memory is shared by the bodies that are held at the same time. It is safe for
// concurrent use.
type Memory struct {
	bytes *semaphore.Weighted
}

// NewMemory returns a memory of a number of bytes.
func NewMemory(size int64) *Memory { return &Memory{bytes: semaphore.NewWeighted(size)} }

// Hold is a part of the memory, taken by one request. It is not safe for concurrent
// use.
type Hold struct {
	memory *Memory
	taken  int64
}

// Hold returns an empty part.
func (m *Memory) Hold() *Hold { return &Hold{memory: m} }

// Release gives the part back.
func (h *Hold) Release() {
	h.memory.bytes.Release(h.taken)
	h.taken = 0
}

// ReadAll reads up to the end, which must come within limit bytes and while there is
// memory left.
func (h *Hold) ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data := make([]byte, 0, firstBytes)
	for {
		if len(data) == cap(data) {
			var err error
			if data, err = h.grow(data); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

func (h *Hold) grow(data []byte) ([]byte, error) {
	if cap(data) < freeBytes {
		return slices.Grow(data, cap(data)), nil
	}
	if !h.memory.bytes.TryAcquire(growth) {
		return nil, ErrTooLarge
	}
	h.taken += growth
	return slices.Grow(data, growth), nil
}
