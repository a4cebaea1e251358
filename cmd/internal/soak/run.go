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
	clientsPerInstance = 3
	faultDuration      = 7 * time.Second
	startTimeout       = 15 * time.Second
	// settleTime is the wait after the last response, so that requests that are executed late
	// are recorded.
	settleTime = 2 * time.Second
	// requestTimeout limits one request of a client.
	requestTimeout = 6 * time.Second
	// concurrentFaultSeries is the number of series of faults that run at the same time.
	concurrentFaultSeries = 3
	// plannedOnlyFraction is the fraction of seeds with planned faults only.
	plannedOnlyFraction = 0.25
	// maxExtraDescriptors is the largest allowed increase of open file descriptors during a
	// run.
	maxExtraDescriptors = 60
)

// Summary is the result of one seed.
type Summary struct {
	Seed        uint64
	PlannedOnly bool
	Requests    int
	Served      int
	// Faults counts the injected faults by name.
	Faults   map[string]int
	Findings []string
}

// String returns the summary in one line, without the text of the findings.
func (s Summary) String() string {
	return fmt.Sprintf("seed %d planned faults only %t: %d requests, %d served, faults %v, %d findings", s.Seed, s.PlannedOnly, s.Requests, s.Served, s.Faults, len(s.Findings))
}

// Run runs one seed with the program at the path binary. Logs and settings are written to dir.
func Run(ctx context.Context, binary, dir string, seed uint64) (Summary, error) {
	random := rand.New(rand.NewPCG(seed, seed))
	s := Summary{Seed: seed, PlannedOnly: random.Float64() < plannedOnlyFraction, Faults: map[string]int{}}
	env, err := newEnvironment(binary, dir)
	if err != nil {
		return s, err
	}
	defer env.close()
	rec := NewRecorder()
	before, err := env.startInstances(ctx, rec)
	if err != nil {
		return s, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { env.writeHeartbeats(ctx) })
	sendCtx, stopClients := context.WithCancel(ctx)
	var clients errgroup.Group
	for i := range instanceCount {
		for k := range clientsPerInstance {
			clientRand := rand.New(rand.NewPCG(seed, uint64(1000+10*i+k)))
			clients.Go(func() error { return env.runClient(sendCtx, rec, i, fmt.Sprintf("s%d-%d-%d", seed, i, k), clientRand) })
		}
	}
	s.injectFaults(env, rec, random)
	stopClients()
	if err := clients.Wait(); err != nil {
		return s, err
	}
	time.Sleep(settleTime)
	for i, p := range env.processes {
		after, err := p.openFiles()
		if err != nil {
			return s, err
		}
		if after > before[i]+maxExtraDescriptors {
			rec.AddFinding("instance %d has %d open file descriptors, %d at the start", i, after, before[i])
		}
	}
	s.Findings = rec.Evaluate(env.executions(), s.PlannedOnly, env.restartsBefore, func(i int, from, to time.Time) bool {
		return env.processes[i].disruptedBetween(from, to)
	})
	s.Requests, s.Served = rec.counts()
	cancel()
	background.Wait()
	return s, nil
}

// startInstances starts the instances, waits until each serves a request, and returns the
// number of open files of each.
func (env *environment) startInstances(ctx context.Context, rec *Recorder) ([]int, error) {
	for _, p := range env.processes {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	client := &http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	deadline := time.Now().Add(startTimeout)
	for i := range env.processes {
		for {
			r := Request{ID: fmt.Sprintf("start-%d-%d", i, time.Now().UnixNano()), Kind: Lookup, Instance: i, Sent: time.Now()}
			if err := env.send(rec, client, &r); err != nil {
				return nil, err
			}
			rec.AddRequest(r)
			if r.Status == http.StatusOK {
				break
			}
			if ctx.Err() != nil || time.Now().After(deadline) {
				return nil, trace.LimitExceeded("instance %d did not become ready within %v", i, startTimeout)
			}
			time.Sleep(proxyPollInterval)
		}
	}
	var out []int
	for _, p := range env.processes {
		n, err := p.openFiles()
		if err != nil {
			return nil, err
		}
		out = append(out, n)
	}
	return out, nil
}

// injectFaults runs concurrent series of random faults for faultDuration.
func (s *Summary) injectFaults(env *environment, rec *Recorder, random *rand.Rand) {
	var candidates []fault
	for _, f := range faults() {
		if f.planned || !s.PlannedOnly {
			candidates = append(candidates, f)
		}
	}
	var series sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(faultDuration)
	runSeries := func(random *rand.Rand, candidates []fault) {
		for time.Now().Before(end) {
			time.Sleep(randomDuration(random, 0, time.Second))
			f := candidates[random.IntN(len(candidates))]
			mu.Lock()
			s.Faults[f.name]++
			mu.Unlock()
			f.run(env, rec, random)
		}
	}
	if !s.PlannedOnly {
		series.Go(func() { runSeries(rand.New(rand.NewPCG(s.Seed, 2)), []fault{restoreDrill}) })
	}
	for range concurrentFaultSeries {
		seriesRand := rand.New(rand.NewPCG(random.Uint64(), 1))
		series.Go(func() { runSeries(seriesRand, candidates) })
		if s.PlannedOnly {
			break // stopping two instances at the same time would leave the third with all connections
		}
	}
	series.Wait()
}

// runClient sends requests to one instance over persistent connections until ctx ends.
func (env *environment) runClient(ctx context.Context, rec *Recorder, instance int, name string, random *rand.Rand) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r := Request{ID: fmt.Sprintf("%s-%d", name, n), Kind: Kind(random.IntN(int(kindCount))), Instance: instance, Sent: time.Now()}
		if err := env.send(rec, client, &r); err != nil {
			return err
		}
		rec.AddRequest(r)
		time.Sleep(randomDuration(random, 5*time.Millisecond, 40*time.Millisecond))
	}
	return nil
}

// send sends a request and checks the response.
func (env *environment) send(rec *Recorder, client *http.Client, r *Request) error {
	method, path := http.MethodGet, "/look/1"
	switch r.Kind {
	case Order:
		method, path = http.MethodPost, "/order/1"
	case Stream:
		method, path = http.MethodPost, "/chat/1"
	case Lookup, kindCount:
	}
	req, err := platformtest.NewRequest(env.clientAddresses[r.Instance], method, path, r.ID, "key1", "")
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil // Evaluate checks requests without a response
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.Status, r.Complete = resp.StatusCode, err == nil
	response := platform.Codec{}.Response(resp.StatusCode, resp.Header)
	r.Replica = strings.TrimPrefix(platformtest.Signature(resp.Header), "signed by ")
	if response.Leaving {
		now := time.Now()
		rec.AddLeaving(r.Instance, r.Replica, env.restartsBefore(r.Replica, now), now)
	}
	if resp.StatusCode == http.StatusOK && r.Complete {
		checkResponse(rec, r, response.ID, string(body))
	}
	return nil
}

// checkResponse reports responses that are incomplete, unsigned or belong to another request.
func checkResponse(rec *Recorder, r *Request, id, body string) {
	if id != r.ID {
		rec.AddFinding("%s received the response to %q", r.ID, id)
	}
	want := "answer of " + r.Replica
	if r.Kind == Stream {
		want = completeStream()
	}
	if r.Replica == "" || body != want {
		rec.AddFinding("%s received %q, signed by %q, which looks complete but is not", r.ID, body, r.Replica)
	}
}

func completeStream() string {
	var b strings.Builder
	for n := 1; n <= eventsPerStream; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

// counts returns the number of all requests and of those with a complete response of status
// 200. It also sorts the findings.
func (rec *Recorder) counts() (requests, served int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for r := range maps.Values(rec.requests) {
		if r.Status == http.StatusOK && r.Complete {
			served++
		}
	}
	slices.Sort(rec.findings)
	return len(rec.requests), served
}
