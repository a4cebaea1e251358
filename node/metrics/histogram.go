package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minMicros and maxMicros are the trackable range: 1 us to 10 min. Values
	// outside are recorded as the nearest limit.
	minMicros = 1
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	// significantFigures bounds the relative error of a percentile to 1 %.
	significantFigures = 2
	// sliceCount is the number of slices that make up the window.
	sliceCount = 3
	// slicePeriod is the time between rotations.
	slicePeriod = 20 * time.Second
)

// percentiles are those of a Distribution, in order.
var percentiles = []float64{50, 90, 95, 99}

// Distribution summarizes recorded times, in microseconds.
type Distribution struct {
	Count int64 `json:"count"`
	Mean  int64 `json:"mean_us"`
	P50   int64 `json:"p50_us"`
	P90   int64 `json:"p90_us"`
	P95   int64 `json:"p95_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// Percentiles holds the distributions of one metric.
type Percentiles struct {
	// Window covers the last 40 to 60 s.
	Window Distribution `json:"window"`
	// Cumulative covers the time since the start.
	Cumulative Distribution `json:"cumulative"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantFigures)
}

// histogram records times into the present slice of a window; a slice that
// leaves the window is added to past. Safe for concurrent use.
type histogram struct {
	mu      sync.Mutex
	slices  [sliceCount]*hdrhistogram.Histogram
	current int
	past    *hdrhistogram.Histogram
	// successor takes over what is recorded after the histogram was folded.
	successor *histogram
}

func newWindow() *histogram {
	h := &histogram{past: newHistogram()}
	for i := range h.slices {
		h.slices[i] = newHistogram()
	}
	return h
}

func (h *histogram) record(d time.Duration) {
	micros := min(max(int64(d/time.Microsecond), minMicros), maxMicros)
	h.recordMicros(micros)
}

func (h *histogram) recordMicros(micros int64) {
	h.mu.Lock()
	next := h.successor
	if next == nil {
		_ = h.slices[h.current].RecordValue(micros)
	}
	h.mu.Unlock()
	if next != nil {
		next.recordMicros(micros)
	}
}

// rotate starts the next slice.
func (h *histogram) rotate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = (h.current + 1) % sliceCount
	oldest := h.slices[h.current]
	if oldest.TotalCount() > 0 {
		h.past.Merge(oldest)
		oldest.Reset()
	}
}

// foldInto adds everything recorded to the cumulative part of other, which
// records from now on.
func (h *histogram) foldInto(other *histogram) {
	h.mu.Lock()
	defer h.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	other.past.Merge(h.past)
	for _, s := range h.slices {
		other.past.Merge(s)
	}
	h.successor = other
}

// percentiles reads both distributions; scratch is overwritten.
func (h *histogram) percentiles(scratch *hdrhistogram.Histogram) Percentiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	scratch.Reset()
	for _, s := range h.slices {
		scratch.Merge(s)
	}
	var p Percentiles
	p.Window = distribution(scratch)
	scratch.Merge(h.past)
	p.Cumulative = distribution(scratch)
	return p
}

func distribution(h *hdrhistogram.Histogram) Distribution {
	if h.TotalCount() == 0 {
		return Distribution{}
	}
	values := h.ValueAtPercentilesSlice(percentiles)
	return Distribution{
		Count: h.TotalCount(),
		Mean:  int64(h.Mean()),
		P50:   values[0],
		P90:   values[1],
		P95:   values[2],
		P99:   values[3],
		Max:   h.Max(),
	}
}
