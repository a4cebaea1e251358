package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minMicros and maxMicros are the range of a histogram: 1 us to 10 min. Values
	// outside of it are clamped.
	minMicros = 1
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	// significantFigures limits the relative error of a percentile to 1 %.
	significantFigures = 2
	// sliceCount is the number of slices in the sliding window.
	sliceCount = 3
	// slicePeriod is the interval between rotations, and so the duration of a slice.
	slicePeriod = 20 * time.Second
)

// percentiles lists the percentiles of a Distribution, in the order of its fields.
var percentiles = []float64{50, 90, 95, 99}

// Distribution summarizes recorded durations, in microseconds.
type Distribution struct {
	Count int64 `json:"count"`
	Mean  int64 `json:"mean_us"`
	P50   int64 `json:"p50_us"`
	P90   int64 `json:"p90_us"`
	P95   int64 `json:"p95_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// Percentiles holds the two distributions of one metric.
type Percentiles struct {
	// Window covers the last 40 to 60 s: the current slice and the two before it.
	Window Distribution `json:"window"`
	// Cumulative covers the time since the start.
	Cumulative Distribution `json:"cumulative"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantFigures)
}

// histogram records durations in a sliding window of slices. A slice that leaves the
// window is added to past. It is safe for concurrent use.
type histogram struct {
	mu           sync.Mutex
	slices       [sliceCount]*hdrhistogram.Histogram
	currentSlice int
	past         *hdrhistogram.Histogram
	// foldedInto is the histogram that records later values after foldInto; nil before.
	foldedInto *histogram
}

func newSlidingHistogram() *histogram {
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
	next := h.foldedInto
	if next == nil {
		_ = h.slices[h.currentSlice].RecordValue(micros)
	}
	h.mu.Unlock()
	if next != nil {
		next.recordMicros(micros)
	}
}

// rotate adds the oldest slice to past and reuses it as the current one.
func (h *histogram) rotate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.currentSlice = (h.currentSlice + 1) % sliceCount
	oldest := h.slices[h.currentSlice]
	if oldest.TotalCount() > 0 {
		h.past.Merge(oldest)
		oldest.Reset()
	}
}

// foldInto adds all recorded values to the cumulative distribution of other. Values
// that are recorded later are recorded in other.
func (h *histogram) foldInto(other *histogram) {
	h.mu.Lock()
	defer h.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	other.past.Merge(h.past)
	for _, s := range h.slices {
		other.past.Merge(s)
	}
	h.foldedInto = other
}

// percentiles computes both distributions. It overwrites scratch.
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
