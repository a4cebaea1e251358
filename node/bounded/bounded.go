// Package bounded reads data from other processes into memory with a size limit. Data
// beyond the limit is an error; it is never truncated.
package bounded

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"golang.org/x/sync/semaphore"

	"masticbank.example/node/fieldline"
)

// MaxHeaderBytes is the maximum size of the header of an HTTP response, interim (1xx)
// responses included. Typical headers have a few hundred bytes; web servers usually
// allow 8 to 32 KiB.
const MaxHeaderBytes = 32 << 10

// ErrTooLarge means that the data exceeds the limit or the shared memory.
var ErrTooLarge = errors.New("more bytes than allowed")

// DefaultClient is http.DefaultClient with a limit on the size of response headers. It rejects responses
// with invalid field lines.
var DefaultClient = &http.Client{Transport: defaultTransport()}

func defaultTransport() *fieldline.Transport {
	tr := http.DefaultTransport.(*http.Transport).Clone()
	tr.MaxResponseHeaderBytes = MaxHeaderBytes
	return fieldline.NewTransport(tr)
}

// ReadAll reads r to its end. It returns ErrTooLarge if there are more than limit
// bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, err
}

const (
	// uncountedBytes is the buffer size up to which a body does not count towards the
	// shared memory. Nearly all bodies are smaller.
	uncountedBytes = 64 << 10
	// initialBytes is the initial size of a buffer.
	initialBytes = 4 << 10
	// growthBytes is by how much larger buffers grow at least; those from twice as much on grow by half.
	growthBytes = 256 << 10
)

// MemoryLimit is a limit on the total memory of the bodies held at the same time. It is
// safe for concurrent use.
type MemoryLimit struct {
	bytes *semaphore.Weighted
}

// NewMemoryLimit returns a limit of size bytes.
func NewMemoryLimit(size int64) *MemoryLimit { return &MemoryLimit{bytes: semaphore.NewWeighted(size)} }

// Reservation is the part of the memory limit that one request has reserved. It is not
// safe for concurrent use.
type Reservation struct {
	memory   *MemoryLimit
	reserved int64
}

// NewReservation returns an empty reservation.
func (m *MemoryLimit) NewReservation() *Reservation { return &Reservation{memory: m} }

// Release returns all reserved bytes.
func (res *Reservation) Release() {
	res.memory.bytes.Release(res.reserved)
	res.reserved = 0
}

// ReadAll reads r to its end. It returns ErrTooLarge if there are more than limit bytes
// or the memory is exhausted. What it reserves stays reserved until Release.
func (res *Reservation) ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data := make([]byte, 0, initialBytes)
	for {
		if len(data) == cap(data) {
			var err error
			if data, err = res.grow(data, limit); err != nil {
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

// grow enlarges the buffer of data: it doubles a small one, and reserves memory for what a larger one
// gets, beyond limit at most one byte.
func (res *Reservation) grow(data []byte, limit int64) ([]byte, error) {
	if cap(data) < uncountedBytes {
		return slices.Grow(data, cap(data)), nil
	}
	left := max(limit+1-int64(cap(data)), 1)
	more := min(max(growthBytes, int64(cap(data)/2)), left)
	if !res.memory.bytes.TryAcquire(more) {
		// The end of the body may be near.
		if more = min(growthBytes, left); !res.memory.bytes.TryAcquire(more) {
			return nil, ErrTooLarge
		}
	}
	res.reserved += more
	larger := make([]byte, len(data), int64(cap(data))+more)
	copy(larger, data)
	return larger, nil
}
