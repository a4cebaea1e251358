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
	// maxAttempts bounds the repeats of one caller.
	maxAttempts = 6
	// repeatPause is the time between two attempts of one caller.
	repeatPause = 200 * time.Millisecond
	// settle is the time after the last answer for calls still in the network
	// or in paused instances to end, above the dispatch window.
	settle = 6 * time.Second
)

// OrderOptions configures Orders.
type OrderOptions struct {
	// Path is the path of the service's orders.
	Path string
	// Callers is the number of concurrent callers.
	Callers int
	// Lasting is the time in which callers begin new keys.
	Lasting time.Duration
	Seed    uint64
}

// Orders is the result of Orders.
type Orders struct {
	Keys, Attempts int
	// Answers counts the attempts by what their caller was told.
	Answers map[string]int
	// Recorded counts the keys that the service recorded, Repeated those that it
	// recorded more than once.
	Recorded, Repeated int
	// FalselyNotRun counts the keys recorded although the last that each caller
	// was told is not_run.
	FalselyNotRun int
	// NotRun counts the keys whose callers were all told not_run last.
	NotRun int
	// LostDone counts the keys answered as done and not recorded.
	LostDone int
	// Different counts the keys that were answered as done in two ways, Foreign
	// those answered with what does not name the key.
	Different, Foreign int
	Examples           []string
}

// Defects names what must never happen and did.
func (o *Orders) Defects() []string {
	return defects(map[string]int{
		"orders recorded twice":                 o.Repeated,
		"orders recorded and told not run":      o.FalselyNotRun,
		"orders answered as done, not recorded": o.LostDone,
		"orders answered in two ways":           o.Different,
		"orders answered as other orders":       o.Foreign,
	})
}

// orderKey is what all callers of one key were told.
type orderKey struct {
	key string
	// last holds the last answer to each caller.
	last []string
	// done holds each body answered as done, and how and when it came last.
	done map[string]string
}

type orderRun struct {
	cluster *Cluster
	options OrderOptions
	client  *http.Client
	mu      sync.Mutex
	keys    []*orderKey
	out     *Orders
}

// Orders sends orders, repeats their keys through other instances, and compares
// what callers were told with what the service recorded. A key has one caller
// who repeats until it is told done or not_run, or, each third one, three
// callers at once.
func (c *Cluster) Orders(ctx context.Context, o OrderOptions) (*Orders, error) {
	r := &orderRun{
		cluster: c, options: o, client: &http.Client{Timeout: orderTimeout},
		out: &Orders{Answers: make(map[string]int)},
	}
	begin, cancel := context.WithTimeout(ctx, o.Lasting)
	defer cancel()
	var group sync.WaitGroup
	for n := range o.Callers {
		group.Go(func() { r.caller(ctx, begin, n) })
	}
	group.Wait()
	pause(ctx, settle)
	return r.out, trace.Wrap(r.compare(ctx))
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (r *orderRun) caller(ctx, begin context.Context, n int) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(n)))
	for k := 0; begin.Err() == nil; k++ {
		callers := 1
		if k%3 == 2 {
			callers = 3
		}
		key := &orderKey{
			key:  fmt.Sprintf("%d-%d-%d-%d", r.options.Seed, time.Now().UnixNano(), n, k),
			last: make([]string, callers), done: make(map[string]string),
		}
		var group sync.WaitGroup
		for i := range callers {
			seed := random.Uint64()
			group.Go(func() { r.repeat(ctx, key, i, rand.New(rand.NewPCG(seed, 0))) })
		}
		group.Wait()
		r.mu.Lock()
		r.keys = append(r.keys, key)
		r.mu.Unlock()
	}
}

// repeat sends one key through instances drawn at random until it is told done
// or not_run.
func (r *orderRun) repeat(ctx context.Context, key *orderKey, i int, random *rand.Rand) {
	for attempt := range maxAttempts {
		first := attempt == 0 && len(key.last) == 1
		told, body := r.send(ctx, key.key, first, random.IntN(len(r.cluster.Instances)))
		r.mu.Lock()
		r.out.Attempts++
		r.out.Answers[told]++
		key.last[i] = told
		if told == toldDone || told == toldReplayed {
			key.done[body] = told + " " + time.Now().Format(time.StampMilli)
		}
		r.mu.Unlock()
		if told == toldDone || told == toldReplayed || strings.HasPrefix(told, toldNotRun) {
			return
		}
		pause(ctx, repeatPause)
	}
}

// What a caller is told.
const (
	toldDone     = "done"
	toldReplayed = "replayed"
	toldNotRun   = "not_run"
	toldNothing  = "connection failed"
	// toldUnsent means that no connection came about, so that nothing was sent.
	toldUnsent = "no connection"
)

func (r *orderRun) send(ctx context.Context, key string, first bool, i int) (told, body string) {
	url := "http://" + r.cluster.Instances[i].Caller + r.options.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"item":"`+key+`"}`))
	if err != nil {
		return err.Error(), ""
	}
	req.Header.Set("Authorization", "Bearer "+r.cluster.Key)
	req.Header.Set("Idempotency-Key", key)
	if first {
		req.Header.Set("X-Masticbank-First-Use", "true")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return connectionError(err), ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return toldNothing, ""
	}
	return answerOf(resp, data), string(data)
}

func answerOf(resp *http.Response, body []byte) string {
	if resp.StatusCode < http.StatusBadRequest {
		if resp.Header.Get("X-Masticbank-Replayed") == "true" {
			return toldReplayed
		}
		return toldDone
	}
	return resp.Header.Get("X-Masticbank-Execution") + " " + codeOf(body)
}

// compare asks the stand-ins for their records and judges every key.
func (r *orderRun) compare(ctx context.Context) error {
	query := fleet.RecordsQuery{}
	for _, k := range r.keys {
		query.Keys = append(query.Keys, k.key)
	}
	var records fleet.Records
	if err := r.cluster.control(ctx, http.MethodPost, fleet.PathRecords, query, &records); err != nil {
		return trace.Wrap(err)
	}
	r.out.Keys = len(r.keys)
	for _, k := range r.keys {
		r.judge(k, records.Orders[k.key])
	}
	return nil
}

func (r *orderRun) judge(k *orderKey, recorded int) {
	o := r.out
	notRun := !slices.ContainsFunc(k.last, func(told string) bool { return !strings.HasPrefix(told, toldNotRun) })
	example := ""
	if recorded > 0 {
		o.Recorded++
	}
	if recorded > 1 {
		o.Repeated++
		example = "recorded twice"
	}
	if notRun {
		o.NotRun++
	}
	if notRun && recorded > 0 {
		o.FalselyNotRun++
		example = "told not run"
	}
	if len(k.done) > 0 && recorded == 0 {
		o.LostDone++
		example = "done and not recorded"
	}
	if len(k.done) > 1 {
		o.Different++
		example = "two answers"
	}
	for body := range k.done {
		if !strings.Contains(body, k.key) {
			o.Foreign++
			example = "foreign answer"
		}
	}
	if example != "" && len(o.Examples) < 10 {
		o.Examples = append(o.Examples, fmt.Sprintf("%s: %s: recorded %d, told %q, bodies %q", example, k.key, recorded, k.last, k.done))
	}
}
