package engine

import (
	"time"
)

// Options describes one engine replica.
type Options struct {
	ID      string
	Model   string
	Version string
	// FirstLayer and LastLayer are the inclusive layer range that it holds.
	FirstLayer int
	LastLayer  int
	// Layers is the number of layers of the whole model.
	Layers      int
	Accelerator string
	Zone        string
	// Slots is the number of sequences held at once.
	Slots int
	// StepTime is the duration of one decode step, for any batch up to Slots.
	StepTime time.Duration
	// PrefillTokensPerSecond is the prefill speed of one sequence.
	PrefillTokensPerSecond float64
	// CacheBlocks bounds the prefix cache, in blocks of wire.PrefixBlockBytes.
	CacheBlocks int
	// CacheEventDelay is the age at which cache events become visible.
	CacheEventDelay time.Duration
	// CacheEventLossOneIn loses one in so many cache events; 0 loses none.
	CacheEventLossOneIn int
	// ReportLag is the age of the load that reports show.
	ReportLag time.Duration
	// MaxWaiting bounds the prefills that wait for a slot; 0 means four times
	// Slots.
	MaxWaiting int
	// IdleTimeout drops sequences without progress; 0 means 10 s.
	IdleTimeout time.Duration
	// StopOneIn finishes one in so many tokens with "stop"; 0 never does.
	StopOneIn int
	// Fencing makes the engine refuse orders with an old fence.
	Fencing bool
	// WeightStore is the base URL of the weight store; when empty, models load
	// at once.
	WeightStore string
	// Clock is the source of time; nil means the system clock.
	Clock Clock
}

// Clock is a source of time.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f in its own goroutine after d.
	AfterFunc(d time.Duration, f func())
}

type systemClock struct{}

// Now returns the present time.
func (systemClock) Now() time.Time { return time.Now() }

// AfterFunc calls f in its own goroutine after d.
func (systemClock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

const (
	defaultSlots       = 8
	defaultIdleTimeout = 10 * time.Second
	waitingPerSlot     = 4
)

func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.MaxWaiting <= 0 {
		o.MaxWaiting = waitingPerSlot * o.Slots
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	return o
}
