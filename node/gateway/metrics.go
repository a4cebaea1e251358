package gateway

import (
	"encoding/json"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"masticbank.example/core/retry"
)

const (
	// maxTrackedMS is the largest recorded time in milliseconds; longer ones are
	// recorded as this value.
	maxTrackedMS = 60_000
	// significantDigits is the precision of histograms: percentiles have an error of up to
	// 10 % and a histogram takes about 2 KiB.
	significantDigits = 1
	// maxSeries limits the number of workspaces and ranks with a histogram of their own;
	// further ones share one.
	maxSeries = 128
	// sharedSeries is the name of the shared histogram.
	sharedSeries = "other"
)

// Metrics counts requests and records their times by workspace and rank. Its memory is
// bounded. It is safe for concurrent use.
type Metrics struct {
	mu       sync.Mutex
	inFlight int
	outcomes map[string]uint64
	// denied counts denied retries by reason. firsts, retries and returned count, by service, the
	// first attempts, the retries that were spent, and those of them that were given back.
	denied   map[string]uint64
	firsts   map[string]uint64
	retries  map[string]uint64
	returned map[string]uint64
	// prompts counts whole responses by the size of their prompts and whether they were in time.
	prompts map[string]uint64
	// retryRequests counts the peers that were asked for retries; lent and borrowed are sums of
	// retries, which may be fractions.
	retryRequests  int
	lent, borrowed float64
	// retryShare is this instance's share of the retry budget, computed for instances instances.
	retryShare retry.BudgetConfig
	instances  int
	// evidence counts messages with crash evidence by direction.
	evidence map[string]uint64
	// checks counts the checks of silent streams by result, late the late events by cause.
	checks map[string]uint64
	late   map[string]uint64
	// room holds the last status of the room of each model service.
	room map[string]RoomStatus
	// crashes counts replicas that ended while they ran a request of this instance, once
	// per request. blocked is the number of requests that are refused because of such
	// crashes.
	crashes uint64
	// delays holds the times by which the process got the processor late.
	delays          map[string]*hdrhistogram.Histogram
	blocked         int
	totalTimes      map[string]*hdrhistogram.Histogram
	firstEventTimes map[string]*hdrhistogram.Histogram
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{
		outcomes:        map[string]uint64{},
		denied:          map[string]uint64{},
		firsts:          map[string]uint64{},
		retries:         map[string]uint64{},
		returned:        map[string]uint64{},
		prompts:         map[string]uint64{},
		evidence:        map[string]uint64{},
		checks:          map[string]uint64{},
		late:            map[string]uint64{},
		room:            map[string]RoomStatus{},
		delays:          map[string]*hdrhistogram.Histogram{},
		totalTimes:      map[string]*hdrhistogram.Histogram{},
		firstEventTimes: map[string]*hdrhistogram.Histogram{},
	}
}

// RequestStarted increments the number of requests in progress.
func (m *Metrics) RequestStarted() { m.addInFlight(1) }

// RequestEnded decrements the number of requests in progress.
func (m *Metrics) RequestEnded() { m.addInFlight(-1) }

func (m *Metrics) addInFlight(n int) {
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

// RecordOutcome records the end of a request.
func (m *Metrics) RecordOutcome(workspace string, rank, status int, outcome string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes[strconv.Itoa(status)+" "+outcome]++
	record(m.totalTimes, "workspace "+workspace, took)
	record(m.totalTimes, "rank "+strconv.Itoa(rank), took)
}

// RetryDenied counts a denied retry.
func (m *Metrics) RetryDenied(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.denied[reason]++
}

// CountFirst counts a first attempt, which adds to the retry budget of its service.
func (m *Metrics) CountFirst(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.firsts[service]++
}

// CountRetry counts a retry that was spent from the budget of a service.
func (m *Metrics) CountRetry(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retries[service]++
}

// CountPrompt counts a whole response; long is true if its prompt is longer than usual for the model.
func (m *Metrics) CountPrompt(long, inTime bool) {
	name := "short"
	if long {
		name = "long"
	}
	if inTime {
		name += " in_time"
	} else {
		name += " late"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.prompts[name]++
}

// CountReturned counts a spent retry that was given back to the budget of a service.
func (m *Metrics) CountReturned(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.returned[service]++
}

// CountRetryRequests counts peers that were asked for retries.
func (m *Metrics) CountRetryRequests(peers int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retryRequests += peers
}

// CountLent adds retries that were lent to another instance.
func (m *Metrics) CountLent(retries float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lent += retries
}

// CountBorrowed adds retries that another instance has lent.
func (m *Metrics) CountBorrowed(retries float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.borrowed += retries
}

// SetRetryShare records this instance's share of the retry budget and the number of instances for
// which it was computed.
func (m *Metrics) SetRetryShare(share retry.BudgetConfig, instances int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retryShare, m.instances = share, instances
}

// Directions of messages with crash evidence.
const (
	evidenceSent     = "sent"
	evidenceReceived = "received"
)

// CountEvidence counts a message with crash evidence.
func (m *Metrics) CountEvidence(direction string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evidence[direction]++
}

// CountCheck counts a check of a silent stream.
func (m *Metrics) CountCheck(result string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checks[result]++
}

// CountLate counts a late event.
func (m *Metrics) CountLate(cause string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.late[cause]++
}

// SetRoom records the status of the room of a model service.
func (m *Metrics) SetRoom(service string, s RoomStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.room[service] = s
}

// CountCrash counts a replica that ended while it ran a request.
func (m *Metrics) CountCrash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashes++
}

// SetBlocked sets the number of requests that are refused because they crash replicas.
func (m *Metrics) SetBlocked(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocked = n
}

// ProcessDelayed records the time by which the process got the processor late.
func (m *Metrics) ProcessDelayed(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record(m.delays, "process", d)
}

// FirstEvent records the time to the first event of a stream.
func (m *Metrics) FirstEvent(rank int, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record(m.firstEventTimes, "rank "+strconv.Itoa(rank), took)
}

func record(series map[string]*hdrhistogram.Histogram, name string, took time.Duration) {
	h := series[name]
	if h == nil {
		if len(series) >= maxSeries {
			name = sharedSeries
		}
		h = series[name]
	}
	if h == nil {
		h = hdrhistogram.New(1, maxTrackedMS, significantDigits)
		series[name] = h
	}
	// The value is clamped to the tracked range, so recording can't fail.
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), maxTrackedMS))
}

// summary describes a histogram, with times in milliseconds.
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
		"firsts":      m.firsts,
		"retries":     m.retries,
		"loans":       map[string]float64{"lent": m.lent, "borrowed": m.borrowed, "asked": float64(m.retryRequests)},
		"returned":    m.returned,
		"prompts":     m.prompts,
		"instances":   m.instances,
		"retry_share": map[string]float64{"burst": m.retryShare.Burst, "per_second": m.retryShare.MinPerSecond, "ratio": m.retryShare.Ratio},
		"evidence":    m.evidence,
		"checks":      m.checks,
		"late":        m.late,
		"room":        m.room,
		"crashes":     m.crashes,
		"blocked":     m.blocked,
		"request":     summaries(m.totalTimes),
		"first_event": summaries(m.firstEventTimes),
		"delays":      summaries(m.delays),
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
