package instancelist

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"masticbank.example/node/wire"
)

// Defaults of PollerOptions.
const (
	DefaultInterval = time.Second
	DefaultTimeout  = 2 * time.Second
)

// intervalJitter is the fraction by which an interval varies, so that instances
// started together do not poll together.
const intervalJitter = 0.1

// Snapshot is one copy of the list. The slice is shared: readers do not change it.
type Snapshot struct {
	Instances []wire.Instance
	// ReadAt is when the request for this copy was sent; zero when none was
	// ever read.
	ReadAt time.Time
	// Err is the error of the last poll, nil after a success.
	Err error
}

// Age returns how old the copy is at now. It is false when there is no copy.
func (s Snapshot) Age(now time.Time) (time.Duration, bool) {
	if s.ReadAt.IsZero() {
		return 0, false
	}
	return now.Sub(s.ReadAt), true
}

// PollerOptions are the settings of a Poller.
type PollerOptions struct {
	// Interval is the time between polls; 0 means DefaultInterval.
	Interval time.Duration
	// Timeout bounds one poll; 0 means DefaultTimeout.
	Timeout time.Duration
	// Logger receives a line when polls begin to fail and when they recover.
	Logger *zap.Logger
	// OnUpdate, if set, is called from Run after each successful poll.
	OnUpdate func(Snapshot)
}

// Poller keeps the latest copy of the list. It is safe for concurrent use.
type Poller struct {
	lister  Lister
	options PollerOptions

	mu   sync.Mutex
	last Snapshot
}

// NewPoller returns a poller that reads nothing until Run.
func NewPoller(lister Lister, options PollerOptions) *Poller {
	if options.Interval <= 0 {
		options.Interval = DefaultInterval
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	return &Poller{lister: lister, options: options}
}

// Latest returns the last copy that was read, with the error of the last poll.
// A failing platform keeps the former copy, and its age grows.
func (p *Poller) Latest() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// Run polls until ctx ends and returns nil then.
func (p *Poller) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		p.poll(ctx)
		timer.Reset(p.nextInterval())
	}
}

func (p *Poller) nextInterval() time.Duration {
	factor := 1 + intervalJitter*(2*rand.Float64()-1)
	return time.Duration(float64(p.options.Interval) * factor)
}

func (p *Poller) poll(ctx context.Context) {
	sentAt := time.Now()
	pollCtx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	instances, err := p.lister.List(pollCtx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.fail(err)
		return
	}
	p.succeed(Snapshot{Instances: instances, ReadAt: sentAt})
}

func (p *Poller) fail(err error) {
	p.mu.Lock()
	first := p.last.Err == nil
	p.last.Err = trace.Wrap(err)
	p.mu.Unlock()
	if first {
		p.options.Logger.Warn("instance list not readable", zap.Error(err))
	}
}

func (p *Poller) succeed(snapshot Snapshot) {
	p.mu.Lock()
	recovered := p.last.Err != nil
	p.last = snapshot
	p.mu.Unlock()
	if recovered {
		p.options.Logger.Info("instance list readable again", zap.Int("instances", len(snapshot.Instances)))
	}
	if p.options.OnUpdate != nil {
		p.options.OnUpdate(snapshot)
	}
}
