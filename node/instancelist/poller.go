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

// intervalJitter is the fraction by which intervals vary randomly, so that instances
// that were started at the same time do not poll at the same times.
const intervalJitter = 0.1

// Snapshot is one copy of the list. The slice is shared and must not be modified.
type Snapshot struct {
	Instances []wire.Instance
	// ReadAt is the time at which the request for this copy was sent. It is zero
	// before the first successful poll.
	ReadAt time.Time
	// Err is the error of the last poll, which may be later than this copy. It is nil
	// after a success.
	Err error
}

// Age returns the age of the copy at time now. It returns false if there is no copy.
func (s Snapshot) Age(now time.Time) (time.Duration, bool) {
	if s.ReadAt.IsZero() {
		return 0, false
	}
	return now.Sub(s.ReadAt), true
}

// PollerOptions configures a Poller.
type PollerOptions struct {
	// Interval is the mean time between the end of a poll and the next one; 0 means
	// DefaultInterval.
	Interval time.Duration
	// Timeout is the timeout of one poll; 0 means DefaultTimeout.
	Timeout time.Duration
	// Logger gets a line when polls begin to fail and when they succeed again.
	Logger *zap.Logger
	// OnUpdate, if set, is called from Run after each successful poll.
	OnUpdate func(Snapshot)
}

// Poller polls the list and keeps the latest copy. It is safe for concurrent use.
type Poller struct {
	lister Lister
	opts   PollerOptions

	mu   sync.Mutex
	last Snapshot
}

// NewPoller returns a poller, which polls while Run is running.
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
	return &Poller{lister: lister, opts: options}
}

// Latest returns the copy of the last successful poll, with the error of the last poll.
// While polls fail, the copy stays and its age increases.
func (p *Poller) Latest() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// Run polls until ctx ends, and then returns nil.
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
	return time.Duration(float64(p.opts.Interval) * factor)
}

func (p *Poller) poll(ctx context.Context) {
	sentAt := time.Now()
	pollCtx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	instances, err := p.lister.List(pollCtx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.recordFailure(err)
		return
	}
	p.recordSuccess(Snapshot{Instances: instances, ReadAt: sentAt})
}

func (p *Poller) recordFailure(err error) {
	p.mu.Lock()
	first := p.last.Err == nil
	p.last.Err = trace.Wrap(err)
	p.mu.Unlock()
	if first {
		p.opts.Logger.Warn("failed to read instance list", zap.Error(err))
	}
}

func (p *Poller) recordSuccess(snapshot Snapshot) {
	p.mu.Lock()
	recovered := p.last.Err != nil
	p.last = snapshot
	p.mu.Unlock()
	if recovered {
		p.opts.Logger.Info("instance list was read again after failures", zap.Int("instances", len(snapshot.Instances)))
	}
	if p.opts.OnUpdate != nil {
		p.opts.OnUpdate(snapshot)
	}
}
