package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"masticbank.example/platform"
	"masticbank.example/platform/platformtest"
)

const (
	callersPerInstance = 3
	troubleTime        = 7 * time.Second
	startTime          = 15 * time.Second
	// settleTime ends what is under way, so that a request that runs late is seen.
	settleTime = 2 * time.Second
	// requestTime bounds one request of a caller.
	requestTime = 6 * time.Second
	// overlapping is the number of series of faults that go on at the same time.
	overlapping = 3
	// calmShare is the share of seeds with planned work only.
	calmShare = 0.25
	// spareDescriptors may be open at the end beyond those at the start.
	spareDescriptors = 60
)

// Summary is what came of one seed.
type Summary struct {
	Seed     uint64
	Calm     bool
	Requests int
	Served   int
	// Faults counts those played, by kind.
	Faults   map[string]int
	Findings []string
}

// String returns one line.
func (s Summary) String() string {
	return fmt.Sprintf("seed %d calm %t: %d requests, %d served, faults %v, %d findings", s.Seed, s.Calm, s.Requests, s.Served, s.Faults, len(s.Findings))
}

// Run plays one seed with the program at binary. Logs and settings are written to dir.
func Run(ctx context.Context, binary, dir string, seed uint64) (Summary, error) {
	random := rand.New(rand.NewPCG(seed, seed))
	s := Summary{Seed: seed, Calm: random.Float64() < calmShare, Faults: map[string]int{}}
	w, err := newWorld(binary, dir)
	if err != nil {
		return s, err
	}
	defer w.close()
	ledger := NewLedger()
	before, err := w.begin(ctx, ledger)
	if err != nil {
		return s, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { w.beats(ctx) })
	calling, stop := context.WithCancel(ctx)
	var callers errgroup.Group
	for i := range instances {
		for k := range callersPerInstance {
			own := rand.New(rand.NewPCG(seed, uint64(1000+10*i+k)))
			callers.Go(func() error { return w.call(calling, ledger, i, fmt.Sprintf("s%d-%d-%d", seed, i, k), own) })
		}
	}
	s.play(w, ledger, random)
	stop()
	if err := callers.Wait(); err != nil {
		return s, err
	}
	time.Sleep(settleTime)
	for i, p := range w.processes {
		after, err := p.descriptors()
		if err != nil {
			return s, err
		}
		if after > before[i]+spareDescriptors {
			ledger.Found("instance %d has %d descriptors, %d at the start", i, after, before[i])
		}
	}
	s.Findings = ledger.Conclude(w.runs(), s.Calm, w.startsBefore, func(i int, from, to time.Time) bool {
		return w.processes[i].disturbedBetween(from, to)
	})
	s.Requests, s.Served = ledger.count()
	cancel()
	background.Wait()
	return s, nil
}

// begin starts the instances and returns their numbers of open files when they are ready.
func (w *world) begin(ctx context.Context, l *Ledger) ([]int, error) {
	for _, p := range w.processes {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	client := &http.Client{Timeout: requestTime}
	defer client.CloseIdleConnections()
	end := time.Now().Add(startTime)
	for i := range w.processes {
		for {
			r := Request{ID: fmt.Sprintf("start-%d-%d", i, time.Now().UnixNano()), Kind: Lookup, Instance: i, Sent: time.Now()}
			if err := w.one(l, client, &r); err != nil {
				return nil, err
			}
			l.Ended(r)
			if r.Status == http.StatusOK {
				break
			}
			if ctx.Err() != nil || time.Now().After(end) {
				return nil, trace.LimitExceeded("instance %d does not serve within %v", i, startTime)
			}
			time.Sleep(proxyPoll)
		}
	}
	var out []int
	for _, p := range w.processes {
		n, err := p.descriptors()
		if err != nil {
			return nil, err
		}
		out = append(out, n)
	}
	return out, nil
}

// play brings series of faults about that overlap.
func (s *Summary) play(w *world, l *Ledger, random *rand.Rand) {
	var list []fault
	for _, f := range faults() {
		if f.planned || !s.Calm {
			list = append(list, f)
		}
	}
	var series sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(troubleTime)
	for range overlapping {
		own := rand.New(rand.NewPCG(random.Uint64(), 1))
		series.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(between(own, 0, time.Second))
				f := list[own.IntN(len(list))]
				mu.Lock()
				s.Faults[f.name]++
				mu.Unlock()
				f.run(w, l, own)
			}
		})
		if s.Calm {
			break // two instances that stop at once leave the third with all connections
		}
	}
	series.Wait()
}

// call sends requests to one instance on connections that are kept, until ctx ends.
func (w *world) call(ctx context.Context, l *Ledger, instance int, name string, random *rand.Rand) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: requestTime}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r := Request{ID: fmt.Sprintf("%s-%d", name, n), Kind: Kind(random.IntN(int(kinds))), Instance: instance, Sent: time.Now()}
		if err := w.one(l, client, &r); err != nil {
			return err
		}
		l.Ended(r)
		time.Sleep(between(random, 5*time.Millisecond, 40*time.Millisecond))
	}
	return nil
}

// one sends a request and checks its answer.
func (w *world) one(l *Ledger, client *http.Client, r *Request) error {
	method, path := http.MethodGet, "/look/1"
	switch r.Kind {
	case Order:
		method, path = http.MethodPost, "/order/1"
	case Stream:
		method, path = http.MethodPost, "/chat/1"
	case Lookup, kinds:
	}
	req, err := platformtest.NewRequest(w.callers[r.Instance], method, path, r.ID, "key1", "")
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil // no answer, which the ledger judges
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.Status, r.Whole = resp.StatusCode, err == nil
	answer := platform.Codec{}.Answer(resp.StatusCode, resp.Header)
	r.Replica = strings.TrimPrefix(platformtest.Signature(resp.Header), "signed by ")
	if answer.Leaving {
		now := time.Now()
		l.Left(r.Instance, r.Replica, w.startsBefore(r.Replica, now), now)
	}
	if resp.StatusCode == http.StatusOK && r.Whole {
		checkAnswer(l, r, answer.ID, string(body))
	}
	return nil
}

// checkAnswer finds answers that are not whole, not signed or another request's.
func checkAnswer(l *Ledger, r *Request, id, body string) {
	if id != r.ID {
		l.Found("%s got the answer to %q", r.ID, id)
	}
	want := "answer of " + r.Replica
	if r.Kind == Stream {
		want = wholeStream()
	}
	if r.Replica == "" || body != want {
		l.Found("%s got %q, signed by %q, which looks complete", r.ID, body, r.Replica)
	}
}

func wholeStream() string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

// count returns the number of requests and of those that were served.
func (l *Ledger) count() (requests, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for r := range maps.Values(l.requests) {
		if r.Status == http.StatusOK && r.Whole {
			served++
		}
	}
	slices.Sort(l.findings)
	return len(l.requests), served
}
