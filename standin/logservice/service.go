// Package logservice is an in-memory replacement for the platform's append-only log,
// with limited retention, an append rate limit and fault injection.
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

// Options configures a Service. The zero value is usable.
type Options struct {
	// AppendsPerSecond is the maximum rate of append requests; 0 means 400, and a
	// negative value means no limit.
	AppendsPerSecond int
	// MaxRecords is the maximum number of records kept per stream; 0 means no
	// limit.
	MaxRecords int
	// Retention is the time for which a record is kept; 0 means no limit.
	Retention time.Duration
	// Seed initializes the random generator that decides which appends are faulty.
	Seed uint64
}

// Faults holds the faults to inject. The zero value means none.
type Faults struct {
	// Down refuses every request with status 503.
	Down bool `json:"down"`
	// Slow is the delay before every request is served. In JSON it is a number of
	// nanoseconds.
	Slow time.Duration `json:"slow"`
	// LoseNext is the number of following appends that take effect but get no
	// response.
	LoseNext int `json:"lose_next"`
	// LoseProbability is the probability that an append takes effect but gets no
	// response.
	LoseProbability float64 `json:"lose_probability"`
	// DuplicateProbability is the probability that an append is stored twice.
	DuplicateProbability float64 `json:"duplicate_probability"`
}

// Stats holds the counters of a service since its start.
type Stats struct {
	Appends int64 `json:"appends"`
	Records int64 `json:"records"`
	Refused int64 `json:"refused"`
	Reads   int64 `json:"reads"`
}

// Service is the log. It is safe for concurrent use.
type Service struct {
	opts Options

	mu         sync.Mutex
	rng        *rand.Rand
	faults     Faults
	stats      Stats
	streams    map[string]*stream
	tokens     float64
	refilledAt time.Time
}

// New returns an empty log.
func New(opts Options) *Service {
	if opts.AppendsPerSecond == 0 {
		opts.AppendsPerSecond = defaultAppendsPerSecond
	}
	return &Service{
		opts:       opts,
		rng:        rand.New(rand.NewPCG(opts.Seed, 0)),
		streams:    map[string]*stream{},
		tokens:     1,
		refilledAt: time.Now(),
	}
}

// SetFaults replaces the faults. They apply to waiting reads immediately.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, st := range s.streams {
		st.wakeReaders()
	}
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Truncate discards all records of the stream below offset first.
func (s *Service) Truncate(name string, first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).truncate(first)
}

// append stores the records and reports whether the response is to be lost. ok is
// false if the append rate limit is exceeded; nothing is stored then.
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

// takeToken takes a token for one append and reports whether there was one. The token
// bucket holds the appends of a tenth of a second, at least one.
func (s *Service) takeToken(now time.Time) bool {
	rate := float64(s.opts.AppendsPerSecond)
	if rate < 0 {
		return true
	}
	s.tokens = min(s.tokens+now.Sub(s.refilledAt).Seconds()*rate, max(1, rate/10))
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// read returns at most limit records, starting at offset from, and a channel that is
// closed at the next append and at the next change of the faults.
func (s *Service) read(name string, from uint64, limit int) (wire.ReadResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	st := s.stream(name)
	st.expire(time.Now(), s.opts)
	return st.read(from, limit), st.changed
}

// stream returns the stream with the given name and creates it if needed.
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
