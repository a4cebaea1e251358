// Package weights is a small stand-in for a weight store that limits the number and
// the speed of concurrent loads.
package weights

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"masticbank.example/node/wire"
)

const (
	defaultMaxConcurrent = 2
	defaultBytesPerLayer = 64 << 10
	chunkBytes           = 64 << 10
)

// Options configures a store.
type Options struct {
	// MaxConcurrent is the maximum number of concurrent loads; further ones are
	// refused with status 429. 0 means 2.
	MaxConcurrent int
	// BytesPerLayer is the size of one layer; 0 means 64 KiB.
	BytesPerLayer int
	// BytesPerSecond is the speed of each load; 0 means no limit.
	BytesPerSecond float64
}

// Store is the weight store. It is an http.Handler and safe for concurrent use.
type Store struct {
	options Options

	mu      sync.Mutex
	running int
	peak    int
	loads   int
	refused int
}

// Counts holds the counters of a store.
type Counts struct {
	// Loads is the number of loads started, Refused that of loads refused with
	// status 429.
	Loads   int
	Refused int
	// Peak is the largest number of concurrent loads.
	Peak int
}

// New returns a store without loads.
func New(o Options) *Store {
	if o.MaxConcurrent <= 0 {
		o.MaxConcurrent = defaultMaxConcurrent
	}
	if o.BytesPerLayer <= 0 {
		o.BytesPerLayer = defaultBytesPerLayer
	}
	return &Store{options: o}
}

// Counts returns the counters since the store was created.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Loads: s.loads, Refused: s.refused, Peak: s.peak}
}

// ServeHTTP serves wire.PathWeights.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != wire.PathWeights {
		http.NotFound(w, r)
		return
	}
	first, err1 := strconv.Atoi(r.URL.Query().Get("first"))
	last, err2 := strconv.Atoi(r.URL.Query().Get("last"))
	if err1 != nil || err2 != nil || last < first {
		http.Error(w, "bad layer range", http.StatusBadRequest)
		return
	}
	if !s.acquire() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many loads", http.StatusTooManyRequests)
		return
	}
	defer s.release()
	s.send(w, r, (last-first+1)*s.options.BytesPerLayer)
}

func (s *Store) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.options.MaxConcurrent {
		s.refused++
		return false
	}
	s.running++
	s.loads++
	s.peak = max(s.peak, s.running)
	return true
}

func (s *Store) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// send writes size bytes at the configured speed.
func (s *Store) send(w http.ResponseWriter, r *http.Request, size int) {
	w.Header().Set("Content-Length", strconv.Itoa(size))
	chunk := make([]byte, chunkBytes)
	for size > 0 && r.Context().Err() == nil {
		n := min(size, len(chunk))
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		size -= n
		if s.options.BytesPerSecond > 0 {
			time.Sleep(time.Duration(float64(n) / s.options.BytesPerSecond * float64(time.Second)))
		}
	}
}
