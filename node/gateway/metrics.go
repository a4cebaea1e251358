package gateway

import (
	"encoding/json"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestTracked bounds the recorded times, in milliseconds.
	longestTracked = 60_000
	// digits bounds the error of a percentile to 10 %, which keeps a histogram at
	// about 2 KiB.
	digits = 1
	// maxSeries bounds the workspaces and ranks with a histogram of their own;
	// further ones share one.
	maxSeries = 128
	// otherSeries names the shared one.
	otherSeries = "other"
)

// Metrics counts requests and their times, by workspace and rank. It is safe for
// concurrent use and bounded in memory.
type Metrics struct {
	mu       sync.Mutex
	inFlight int
	outcomes map[string]uint64
	// denied counts retries that were not made, by reason.
	denied map[string]uint64
	// crashes counts replicas that ended under a request of this instance, once for each
	// request; blocked is the number of requests that are refused for such crashes.
	crashes uint64
	blocked int
	total   map[string]*hdrhistogram.Histogram
	first   map[string]*hdrhistogram.Histogram
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{
		outcomes: map[string]uint64{},
		denied:   map[string]uint64{},
		total:    map[string]*hdrhistogram.Histogram{},
		first:    map[string]*hdrhistogram.Histogram{},
	}
}

// Began counts a request in progress.
func (m *Metrics) Began() { m.shift(1) }

// Ended takes a request in progress away.
func (m *Metrics) Ended() { m.shift(-1) }

func (m *Metrics) shift(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight += n
}

// InFlight returns the number of requests in progress.
func (m *Metrics) InFlight() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inFlight
}

// Done records the end of a request.
func (m *Metrics) Done(workspace string, rank, status int, outcome string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes[strconv.Itoa(status)+" "+outcome]++
	record(m.total, "workspace "+workspace, took)
	record(m.total, "rank "+strconv.Itoa(rank), took)
}

// RetryDenied counts a retry that was not made.
func (m *Metrics) RetryDenied(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.denied[reason]++
}

// Crashed counts a replica that ended under a request.
func (m *Metrics) Crashed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashes++
}

// SetBlocked sets the number of requests that are refused for crashes.
func (m *Metrics) SetBlocked(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocked = n
}

// FirstEvent records the time to the first event of a stream.
func (m *Metrics) FirstEvent(rank int, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record(m.first, "rank "+strconv.Itoa(rank), took)
}

func record(series map[string]*hdrhistogram.Histogram, name string, took time.Duration) {
	h := series[name]
	if h == nil {
		if len(series) >= maxSeries {
			name = otherSeries
		}
		h = series[name]
	}
	if h == nil {
		h = hdrhistogram.New(1, longestTracked, digits)
		series[name] = h
	}
	// The value is cut to the tracked range, so that recording cannot fail.
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), longestTracked))
}

// summary is a histogram in milliseconds.
type summary struct {
	Name  string `json:"name"`
	Count int64  `json:"count"`
	P50   int64  `json:"p50_ms"`
	P95   int64  `json:"p95_ms"`
	P99   int64  `json:"p99_ms"`
	Max   int64  `json:"max_ms"`
}

// String returns the metrics as JSON; it implements expvar.Var.
func (m *Metrics) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := json.Marshal(map[string]any{
		"in_flight":   m.inFlight,
		"outcomes":    m.outcomes,
		"denied":      m.denied,
		"crashes":     m.crashes,
		"blocked":     m.blocked,
		"request":     summaries(m.total),
		"first_event": summaries(m.first),
	})
	if err != nil {
		return strconv.Quote(err.Error())
	}
	return string(data)
}

func summaries(series map[string]*hdrhistogram.Histogram) []summary {
	out := make([]summary, 0, len(series))
	for name, h := range series {
		out = append(out, summary{
			Name: name, Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
			P99: h.ValueAtQuantile(99), Max: h.Max(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
