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
	// startDelay is the time between setup and the start of the schedule, which
	// leaves time to open the first connections.
	startDelay = 200 * time.Millisecond
	// progressPeriod is the interval between two progress lines.
	progressPeriod = time.Second
)

// Options configures a run.
type Options struct {
	Scenario *Scenario
	// Targets and Control override those of the scenario if set.
	Targets []string
	Control string
	// RunID is a prefix that makes the idempotency keys of this run unique. If it
	// is empty, the current time is used.
	RunID string
	// Progress receives one line per second; nil disables progress output.
	Progress io.Writer
	// transport replaces the TCP transport in tests.
	transport http.RoundTripper
}

// runner holds the state of one run.
type runner struct {
	scenario   *Scenario
	client     *client
	arrivals   []arrival
	samples    []sample
	start      time.Time
	inProgress sync.WaitGroup
	faults     []FaultResult

	sent          atomic.Int64
	inFlight      atomic.Int64
	outcomeCounts map[Outcome]*atomic.Int64
	maxInFlight   atomic.Int64
}

// outcomes lists all outcomes in the order in which progress lines show them.
var outcomes = []Outcome{Completed, Refused, TimedOut, Failed, Partial, Wrong, Unsent}

// Run executes the scenario and returns the measurements. If ctx ends early, the
// result covers the requests sent so far and is marked as interrupted.
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
		return nil, trace.Wrap(err, "querying the stand-ins at %s", s.Control)
	}
	r.start = time.Now().Add(startDelay)
	stopProgress := r.startProgress(ctx, o.Progress)
	waitFaults := r.startFaults(ctx)
	dispatched := r.dispatch(ctx)
	r.inProgress.Wait()
	waitFaults()
	stopProgress()
	result := r.summarize(dispatched)
	result.Checks, err = r.client.checkSince(context.WithoutCancel(ctx), before, r.samples[:dispatched])
	return result, trace.Wrap(err)
}

// scenario returns a copy of the scenario with the overridden addresses.
func (o Options) scenario() (*Scenario, error) {
	if o.Scenario == nil {
		return nil, trace.BadParameter("scenario is missing")
	}
	s := *o.Scenario
	if len(o.Targets) > 0 {
		s.Targets = o.Targets
	}
	if o.Control != "" {
		s.Control = o.Control
	}
	if len(s.Targets) == 0 {
		return nil, trace.BadParameter("scenario %q has no targets", s.Name)
	}
	if len(s.Faults) > 0 && s.Control == "" {
		return nil, trace.BadParameter("scenario %q has faults but no control address", s.Name)
	}
	return &s, nil
}

func newRunner(s *Scenario, runID string, transport http.RoundTripper) *runner {
	r := &runner{
		scenario:      s,
		client:        newClient(s, runID, transport),
		arrivals:      s.schedule(),
		outcomeCounts: make(map[Outcome]*atomic.Int64),
	}
	r.samples = make([]sample, len(r.arrivals))
	for _, o := range outcomes {
		r.outcomeCounts[o] = new(atomic.Int64)
	}
	return r
}

// dispatch starts each request at its intended time and returns the number of
// arrivals that were due before ctx ended.
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

// send starts request i, or records it as Unsent if MaxInFlight requests are in
// progress.
func (r *runner) send(ctx context.Context, i int) {
	a := &r.arrivals[i]
	intended := r.start.Add(a.at)
	n := r.inFlight.Add(1)
	if n > int64(r.scenario.MaxInFlight) {
		r.inFlight.Add(-1)
		r.record(i, sample{arrival: a, outcome: Unsent, total: time.Since(intended)})
		return
	}
	r.maxInFlight.Store(max(n, r.maxInFlight.Load()))
	r.sent.Add(1)
	target := r.scenario.Targets[i%len(r.scenario.Targets)]
	r.inProgress.Go(func() {
		defer r.inFlight.Add(-1)
		r.record(i, r.client.do(ctx, a, target, intended))
	})
}

func (r *runner) record(i int, s sample) {
	r.samples[i] = s
	r.outcomeCounts[s.outcome].Add(1)
}

// startProgress writes a progress line every progressPeriod until the returned
// function is called, which writes a last one.
func (r *runner) startProgress(ctx context.Context, w io.Writer) (stop func()) {
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
				_, _ = fmt.Fprintln(w, r.progressLine())
			}
		}
	}()
	return func() {
		cancel()
		<-done
		_, _ = fmt.Fprintln(w, r.progressLine())
	}
}

func (r *runner) progressLine() string {
	elapsed := time.Since(r.start)
	line := fmt.Sprintf("%4.0fs %-12s sent %d, in progress %d", elapsed.Seconds(),
		r.phaseAt(elapsed), r.sent.Load(), r.inFlight.Load())
	for _, o := range outcomes {
		if n := r.outcomeCounts[o].Load(); n > 0 {
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
