package engine

import (
	"time"
)

// Options configures one engine replica.
type Options struct {
	ID      string
	Model   string
	Version string
	// FirstLayer and LastLayer are the layer range that the replica holds,
	// inclusive.
	FirstLayer int
	LastLayer  int
	// Layers is the number of layers of the whole model.
	Layers      int
	Accelerator string
	Zone        string
	// Slots is the maximum number of concurrent sequences; 0 means 8.
	Slots int
	// StepTime is the duration of one decode step, whatever the batch size.
	StepTime time.Duration
	// PrefillTokensPerSecond is the prefill speed of one sequence; 0 means that a
	// prefill takes no time.
	PrefillTokensPerSecond float64
	// CacheBlocks is the capacity of the prefix cache, in blocks of
	// wire.PrefixBlockBytes.
	CacheBlocks int
	// CacheEventDelay is the delay after which cache events become visible.
	CacheEventDelay time.Duration
	// CacheEventLossOneIn is n if every nth cache event is lost; 0 loses none.
	CacheEventLossOneIn int
	// ReportLag is the delay after which a load shows in load reports.
	ReportLag time.Duration
	// MaxWaiting is the maximum number of prefills that wait for a slot; 0 means
	// four times Slots.
	MaxWaiting int
	// IdleTimeout is the time without a step after which a sequence is discarded;
	// 0 means 10 s.
	IdleTimeout time.Duration
	// StopOneIn is n if a token whose ID is a multiple of n finishes its sequence
	// with "stop"; 0 means that no token does.
	StopOneIn int
	// Fencing makes the engine refuse layer assignments with an outdated fencing
	// token.
	Fencing bool
	// WeightStore is the base URL of the weight store; if empty, models load
	// instantly.
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

// Now returns the current time.
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
