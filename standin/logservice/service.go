// Package logservice is an in-memory replacement for the platform's
// append-only log, with limited retention, an append limit and fault switches.
package logservice

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"masticbank.example/node/wire"
)

const (
	defaultAppendsPerSecond = 400
	maxReadRecords          = 1024
	maxReadBytes            = 8 << 20
	maxRequestBytes         = 32 << 20
	maxReadWait             = 30 * time.Second
	pathFaults              = "/faults"
	pathStats               = "/stats"
)

// Options sets up a Service. The zero value is usable.
type Options struct {
	// AppendsPerSecond limits append requests; 0 means several hundred, a
	// negative value no limit.
	AppendsPerSecond int
	// KeepRecords is the number of records kept of a stream; 0 keeps all.
	KeepRecords int
	// KeepFor is how long a record is kept; 0 keeps it for good.
	KeepFor time.Duration
	// Seed starts the random choice of faults.
	Seed uint64
}

// Faults are the fault switches.
type Faults struct {
	// Down refuses every request with 503.
	Down bool `json:"down"`
	// Slow delays every request, in nanoseconds.
	Slow time.Duration `json:"slow"`
	// LoseNext is the number of appends that take effect without an answer.
	LoseNext int `json:"lose_next"`
	// LoseProbability is the share of appends that take effect without an answer.
	LoseProbability float64 `json:"lose_probability"`
	// DuplicateProbability is the share of appends that are stored twice.
	DuplicateProbability float64 `json:"duplicate_probability"`
}

// Stats counts what the service has done since its start.
type Stats struct {
	Appends int64 `json:"appends"`
	Records int64 `json:"records"`
	Refused int64 `json:"refused"`
	Reads   int64 `json:"reads"`
}

// Service is the log. It is safe for concurrent use.
type Service struct {
	opts Options

	mu      sync.Mutex
	rng     *rand.Rand
	faults  Faults
	stats   Stats
	streams map[string]*stream
	tokens  float64
	filled  time.Time
}

// New returns an empty log.
func New(opts Options) *Service {
	if opts.AppendsPerSecond == 0 {
		opts.AppendsPerSecond = defaultAppendsPerSecond
	}
	return &Service{
		opts:    opts,
		rng:     rand.New(rand.NewPCG(opts.Seed, 0)),
		streams: map[string]*stream{},
		tokens:  1,
		filled:  time.Now(),
	}
}

// SetFaults replaces the fault switches. Reads that wait notice at once.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, st := range s.streams {
		st.wake()
	}
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Truncate forgets all records of the stream below offset first.
func (s *Service) Truncate(name string, first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).truncate(first)
}

// append stores the records and reports whether the answer is to be lost. It
// returns false if the append limit is exceeded.
func (s *Service) append(req wire.AppendRequest) (resp wire.AppendResponse, lose, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.takeToken(now) {
		s.stats.Refused++
		return wire.AppendResponse{}, false, false
	}
	st := s.stream(req.Stream)
	resp.Offset = st.append(now, req.Records)
	if s.rng.Float64() < s.faults.DuplicateProbability {
		st.append(now, req.Records)
	}
	st.expire(now, s.opts)
	s.stats.Appends++
	s.stats.Records += int64(len(req.Records))
	lose = s.faults.LoseNext > 0 || s.rng.Float64() < s.faults.LoseProbability
	s.faults.LoseNext = max(0, s.faults.LoseNext-1)
	return resp, lose, true
}

// takeToken is a token bucket that holds the appends of a tenth of a second.
func (s *Service) takeToken(now time.Time) bool {
	rate := float64(s.opts.AppendsPerSecond)
	if rate < 0 {
		return true
	}
	s.tokens = min(s.tokens+now.Sub(s.filled).Seconds()*rate, max(1, rate/10))
	s.filled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// read returns the records from offset on, and a channel that is closed at the
// next append if there are none.
func (s *Service) read(name string, from uint64, limit int) (wire.ReadResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	st := s.stream(name)
	st.expire(time.Now(), s.opts)
	return st.read(from, limit), st.changed
}

func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

var _ http.Handler = (*Service)(nil)
