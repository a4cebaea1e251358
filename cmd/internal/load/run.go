package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	// startDelay leaves time to open the first connections.
	startDelay = 200 * time.Millisecond
	// progressPeriod is the time between two lines of progress.
	progressPeriod = time.Second
)

// Options configures a run.
type Options struct {
	Scenario *Scenario
	// Targets and Control replace those of the scenario when set.
	Targets []string
	Control string
	// RunID makes the idempotency keys of this run unique; empty takes the
	// present time.
	RunID string
	// Progress gets one line a second; nil means none.
	Progress io.Writer
	// transport replaces TCP in tests.
	transport http.RoundTripper
}

// runner is the state of one run.
type runner struct {
	scenario *Scenario
	client   *client
	arrivals []arrival
	samples  []sample
	start    time.Time
	group    sync.WaitGroup
	faults   []FaultResult

	sent     atomic.Int64
	inFlight atomic.Int64
	ended    map[Outcome]*atomic.Int64
	maxFlown atomic.Int64
}

// outcomes lists all outcomes in the order of reports.
var outcomes = []Outcome{Completed, Refused, TimedOut, Failed, Partial, Wrong, Unsent}

// Run sends the scenario's load and returns what was measured. When ctx ends
// early, the result covers the requests sent so far and is marked as such.
func Run(ctx context.Context, o Options) (*Result, error) {
	s, err := o.scenario()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if o.RunID == "" {
		o.RunID = strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	r := newRunner(s, o.RunID, o.transport)
	defer r.client.http.CloseIdleConnections()
	before, err := r.client.fetchCheck(ctx)
	if err != nil {
		return nil, trace.Wrap(err, "asking the stand-ins at %s", s.Control)
	}
	r.start = time.Now().Add(startDelay)
	progress := r.watch(ctx, o.Progress)
	waitFaults := r.startFaults(ctx)
	dispatched := r.dispatch(ctx)
	r.group.Wait()
	waitFaults()
	progress()
	result := r.summarize(dispatched)
	result.Checks, err = r.client.checkSince(context.WithoutCancel(ctx), before, r.samples[:dispatched])
	return result, trace.Wrap(err)
}

// scenario returns the scenario with the replaced addresses.
func (o Options) scenario() (*Scenario, error) {
	if o.Scenario == nil {
		return nil, trace.BadParameter("no scenario")
	}
	s := *o.Scenario
	if len(o.Targets) > 0 {
		s.Targets = o.Targets
	}
	if o.Control != "" {
		s.Control = o.Control
	}
	if len(s.Targets) == 0 {
		return nil, trace.BadParameter("scenario %q names no targets", s.Name)
	}
	if len(s.Faults) > 0 && s.Control == "" {
		return nil, trace.BadParameter("scenario %q has faults but no control address", s.Name)
	}
	return &s, nil
}

func newRunner(s *Scenario, runID string, transport http.RoundTripper) *runner {
	r := &runner{
		scenario: s,
		client:   newClient(s, runID, transport),
		arrivals: s.schedule(),
		ended:    make(map[Outcome]*atomic.Int64),
	}
	r.samples = make([]sample, len(r.arrivals))
	for _, o := range outcomes {
		r.ended[o] = new(atomic.Int64)
	}
	return r
}

// dispatch starts each request at its time and returns the number of arrivals
// that were due.
func (r *runner) dispatch(ctx context.Context) int {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range r.arrivals {
		timer.Reset(time.Until(r.start.Add(r.arrivals[i].at)))
		select {
		case <-ctx.Done():
			return i
		case <-timer.C:
		}
		r.send(ctx, i)
	}
	return len(r.arrivals)
}

// send starts request i, unless too many are in progress.
func (r *runner) send(ctx context.Context, i int) {
	a := &r.arrivals[i]
	intended := r.start.Add(a.at)
	n := r.inFlight.Add(1)
	if n > int64(r.scenario.MaxInFlight) {
		r.inFlight.Add(-1)
		r.end(i, sample{arrival: a, outcome: Unsent, total: time.Since(intended)})
		return
	}
	r.maxFlown.Store(max(n, r.maxFlown.Load()))
	r.sent.Add(1)
	target := r.scenario.Targets[i%len(r.scenario.Targets)]
	r.group.Go(func() {
		defer r.inFlight.Add(-1)
		r.end(i, r.client.do(ctx, a, target, intended))
	})
}

func (r *runner) end(i int, s sample) {
	r.samples[i] = s
	r.ended[s.outcome].Add(1)
}

// watch writes progress until the returned function is called.
func (r *runner) watch(ctx context.Context, w io.Writer) (stop func()) {
	if w == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(progressPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				_, _ = fmt.Fprintln(w, r.progress())
			}
		}
	}()
	return func() {
		cancel()
		<-done
		_, _ = fmt.Fprintln(w, r.progress())
	}
}

func (r *runner) progress() string {
	elapsed := time.Since(r.start)
	line := fmt.Sprintf("%4.0fs %-12s sent %d, in progress %d", elapsed.Seconds(),
		r.phaseAt(elapsed), r.sent.Load(), r.inFlight.Load())
	for _, o := range outcomes {
		if n := r.ended[o].Load(); n > 0 {
			line += fmt.Sprintf(", %s %d", o, n)
		}
	}
	return line
}

func (r *runner) phaseAt(elapsed time.Duration) string {
	end := time.Duration(0)
	for _, p := range r.scenario.Phases {
		end += p.Duration
		if elapsed < end {
			return p.Name
		}
	}
	return "finishing"
}
