package trial

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/standin/fleet"
)

const (
	orderTimeout = 15 * time.Second
	// maxAttempts limits the attempts of one client for one key.
	maxAttempts = 6
	// retryInterval is the time between two attempts of one client.
	retryInterval = 200 * time.Millisecond
	// settleTime is the wait after the last response, so that calls that are still
	// in the network or in paused instances can end. It is longer than the dispatch
	// window.
	settleTime = 6 * time.Second
)

// OrderOptions configures Orders.
type OrderOptions struct {
	// Path is the request path for orders.
	Path string
	// Clients is the number of concurrent clients.
	Clients int
	// Duration is the duration in which clients start orders with new keys.
	Duration time.Duration
	Seed     uint64
}

// OrdersResult is the result of Orders.
type OrdersResult struct {
	Keys, Attempts int
	// Answers counts the attempts by outcome.
	Answers map[string]int
	// Recorded counts the keys that the service recorded, Repeated those among them
	// recorded more than once.
	Recorded, Repeated int
	// FalselyNotRun counts the recorded keys for which the last response to each
	// client was not_run.
	FalselyNotRun int
	// NotRun counts the keys for which the last response to each client was
	// not_run.
	NotRun int
	// LostDone counts the keys that were reported as done but not recorded.
	LostDone int
	// Different counts the keys with more than one distinct response that reports
	// them as done. Foreign counts such responses that do not contain the key.
	Different, Foreign int
	Examples           []string
}

// Defects returns one line for each kind of error that must never occur and was
// observed.
func (r *OrdersResult) Defects() []string {
	return defects(map[string]int{
		"orders recorded more than once":            r.Repeated,
		"orders reported as not run but recorded":   r.FalselyNotRun,
		"orders reported as done but not recorded":  r.LostDone,
		"orders with different responses":           r.Different,
		"orders with the response to another order": r.Foreign,
	})
}

// keyOutcomes holds the outcomes of one idempotency key.
type keyOutcomes struct {
	key string
	// lastOutcomes holds the outcome of the last attempt of each client.
	lastOutcomes []string
	// doneBodies maps each distinct body of a response that reports the order as
	// done to the outcome and the time of the latest such response.
	doneBodies map[string]string
}

type orderRun struct {
	cluster *Cluster
	options OrderOptions
	client  *http.Client
	mu      sync.Mutex
	keys    []*keyOutcomes
	result  *OrdersResult
}

// Orders sends orders, repeats their keys through other instances, and compares the
// outcomes with the records of the service. A key is sent by one client, which
// repeats it until the outcome is done or not_run, or, for every third key, by
// three clients at the same time.
func (c *Cluster) Orders(ctx context.Context, o OrderOptions) (*OrdersResult, error) {
	r := &orderRun{
		cluster: c, options: o, client: &http.Client{Timeout: orderTimeout},
		result: &OrdersResult{Answers: make(map[string]int)},
	}
	sendCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var group sync.WaitGroup
	for n := range o.Clients {
		group.Go(func() { r.runClient(ctx, sendCtx, n) })
	}
	group.Wait()
	sleep(ctx, settleTime)
	return r.result, trace.Wrap(r.compareRecords(ctx))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (r *orderRun) runClient(ctx, sendCtx context.Context, n int) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(n)))
	for k := 0; sendCtx.Err() == nil; k++ {
		clients := 1
		if k%3 == 2 {
			clients = 3
		}
		key := &keyOutcomes{
			key:          fmt.Sprintf("%d-%d-%d-%d", r.options.Seed, time.Now().UnixNano(), n, k),
			lastOutcomes: make([]string, clients), doneBodies: make(map[string]string),
		}
		var group sync.WaitGroup
		for i := range clients {
			seed := random.Uint64()
			group.Go(func() { r.sendUntilDecided(ctx, key, i, rand.New(rand.NewPCG(seed, 0))) })
		}
		group.Wait()
		r.mu.Lock()
		r.keys = append(r.keys, key)
		r.mu.Unlock()
	}
}

// sendUntilDecided sends one key through randomly chosen instances until the
// outcome is done or not_run, or until maxAttempts is reached.
func (r *orderRun) sendUntilDecided(ctx context.Context, key *keyOutcomes, i int, random *rand.Rand) {
	for attempt := range maxAttempts {
		first := attempt == 0 && len(key.lastOutcomes) == 1
		outcome, body := r.send(ctx, key.key, first, random.IntN(len(r.cluster.Instances)))
		r.mu.Lock()
		r.result.Attempts++
		r.result.Answers[outcome]++
		key.lastOutcomes[i] = outcome
		if outcome == outcomeDone || outcome == outcomeReplayed {
			key.doneBodies[body] = outcome + " " + time.Now().Format(time.StampMilli)
		}
		r.mu.Unlock()
		if outcome == outcomeDone || outcome == outcomeReplayed || strings.HasPrefix(outcome, outcomeNotRun) {
			return
		}
		sleep(ctx, retryInterval)
	}
}

// Outcomes of an attempt. Other outcomes are the execution header and the error
// code of the response.
const (
	outcomeDone       = "done"
	outcomeReplayed   = "replayed"
	outcomeNotRun     = "not_run"
	outcomeNoResponse = "connection failed"
	// outcomeNotConnected means that no connection was established, so that nothing
	// was sent.
	outcomeNotConnected = "no connection"
)

func (r *orderRun) send(ctx context.Context, key string, first bool, i int) (outcome, body string) {
	url := "http://" + r.cluster.Instances[i].ClientAddress + r.options.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"item":"`+key+`"}`))
	if err != nil {
		return err.Error(), ""
	}
	req.Header.Set("Authorization", "Bearer "+r.cluster.APIKey)
	req.Header.Set("Idempotency-Key", key)
	if first {
		req.Header.Set("X-Masticbank-First-Use", "true")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return classifyConnectionError(err), ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcomeNoResponse, ""
	}
	return outcomeOf(resp, data), string(data)
}

func outcomeOf(resp *http.Response, body []byte) string {
	if resp.StatusCode < http.StatusBadRequest {
		if resp.Header.Get("X-Masticbank-Replayed") == "true" {
			return outcomeReplayed
		}
		return outcomeDone
	}
	return resp.Header.Get("X-Masticbank-Execution") + " " + errorCode(body)
}

// compareRecords fetches the records of the stand-ins and evaluates every key.
func (r *orderRun) compareRecords(ctx context.Context) error {
	query := fleet.RecordsQuery{}
	for _, k := range r.keys {
		query.Keys = append(query.Keys, k.key)
	}
	var records fleet.Records
	if err := r.cluster.control(ctx, http.MethodPost, fleet.PathRecords, query, &records); err != nil {
		return trace.Wrap(err)
	}
	r.result.Keys = len(r.keys)
	for _, k := range r.keys {
		r.evaluate(k, records.Orders[k.key])
	}
	return nil
}

func (r *orderRun) evaluate(k *keyOutcomes, recorded int) {
	o := r.result
	notRun := !slices.ContainsFunc(k.lastOutcomes, func(outcome string) bool { return !strings.HasPrefix(outcome, outcomeNotRun) })
	example := ""
	if recorded > 0 {
		o.Recorded++
	}
	if recorded > 1 {
		o.Repeated++
		example = "recorded more than once"
	}
	if notRun {
		o.NotRun++
	}
	if notRun && recorded > 0 {
		o.FalselyNotRun++
		example = "reported as not run"
	}
	if len(k.doneBodies) > 0 && recorded == 0 {
		o.LostDone++
		example = "done but not recorded"
	}
	if len(k.doneBodies) > 1 {
		o.Different++
		example = "different responses"
	}
	for body := range k.doneBodies {
		if !strings.Contains(body, k.key) {
			o.Foreign++
			example = "response to another order"
		}
	}
	if example != "" && len(o.Examples) < 10 {
		o.Examples = append(o.Examples, fmt.Sprintf("%s: %s: recorded %d, last outcomes %q, bodies %q", example, k.key, recorded, k.lastOutcomes, k.doneBodies))
	}
}
