package trial

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"masticbank.example/standin/engine"
)

const (
	// balancerPeriod is the time between two readiness checks of an instance.
	balancerPeriod = 100 * time.Millisecond
	checkTimeout   = time.Second
	answerTimeout  = 40 * time.Second
	// refusedPause is the time a caller waits after a refusal.
	refusedPause = 50 * time.Millisecond
)

// LoadOptions configures Load.
type LoadOptions struct {
	Model  string
	Layers int
	Tokens int
	// Callers is the number of callers; each has one request in progress.
	Callers int
	// KeepAlive lets requests share connections. Without it each has its own, as
	// behind a balancer that keeps none.
	KeepAlive bool
}

// LoadResult counts the requests of Load by how they ended.
type LoadResult struct {
	// Completed counts whole answers with the expected text.
	Completed int
	// Refused counts answers that say not_run, by code in Codes.
	Refused int
	// Cut counts streams that began and ended without their end mark.
	Cut int
	// Lost counts requests sent without any answer.
	Lost int
	// Failed counts errors told as such that do not say not_run.
	Failed int
	// Wrong counts whole answers with another text.
	Wrong int
	// Unconnected counts connections refused, upon which the balancer takes
	// another instance.
	Unconnected int
	Codes       map[string]int
}

// Defects names what a rolling replacement must not cause and did.
func (r *LoadResult) Defects() []string {
	var out []string
	for _, x := range []struct {
		n    int
		what string
	}{{r.Cut, "cut"}, {r.Lost, "lost"}, {r.Failed, "failed"}, {r.Wrong, "wrong"}} {
		if x.n > 0 {
			out = append(out, fmt.Sprintf("%d answers %s", x.n, x.what))
		}
	}
	return out
}

// balancer names ready instances in turn, as the platform's balancer does.
type balancer struct {
	instances []Instance
	ready     []atomic.Bool
	next      atomic.Uint64
}

// startBalancer checks readiness until ctx ends.
func startBalancer(ctx context.Context, group *sync.WaitGroup, instances []Instance) *balancer {
	b := &balancer{instances: instances, ready: make([]atomic.Bool, len(instances))}
	client := &http.Client{Timeout: checkTimeout}
	var first sync.WaitGroup
	for i := range instances {
		first.Add(1)
		group.Go(func() {
			ticker := time.NewTicker(balancerPeriod)
			defer ticker.Stop()
			b.check(ctx, client, i)
			first.Done()
			for ctx.Err() == nil {
				select {
				case <-ctx.Done():
				case <-ticker.C:
					b.check(ctx, client, i)
				}
			}
		})
	}
	first.Wait()
	return b
}

func (b *balancer) check(ctx context.Context, client *http.Client, i int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.instances[i].Admin+"/readyz", http.NoBody)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		b.ready[i].Store(false)
		return
	}
	_ = resp.Body.Close()
	b.ready[i].Store(resp.StatusCode == http.StatusOK)
}

// pick returns the next ready instance, or "" if there is none.
func (b *balancer) pick() string {
	start := b.next.Add(1)
	for k := range uint64(len(b.instances)) {
		i := (start + k) % uint64(len(b.instances))
		if b.ready[i].Load() {
			return b.instances[i].Caller
		}
	}
	return ""
}

type loadRun struct {
	cluster  *Cluster
	options  LoadOptions
	balancer *balancer
	client   *http.Client
	mu       sync.Mutex
	out      *LoadResult
}

// Load sends streamed requests through ready instances until ctx ends, lets
// those in progress end, and returns how they ended.
func (c *Cluster) Load(ctx context.Context, o LoadOptions) *LoadResult {
	balancing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var checks, callers sync.WaitGroup
	r := &loadRun{
		cluster: c, options: o, out: &LoadResult{Codes: make(map[string]int)},
		balancer: startBalancer(balancing, &checks, c.Instances),
		client: &http.Client{Timeout: answerTimeout, Transport: &http.Transport{
			DisableKeepAlives: !o.KeepAlive, MaxIdleConnsPerHost: o.Callers,
		}},
	}
	for n := range o.Callers {
		callers.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				r.request(ctx, fmt.Sprintf("caller %d asks %d", n, k))
			}
		})
	}
	callers.Wait()
	cancel()
	checks.Wait()
	return r.out
}

func (r *loadRun) request(ctx context.Context, prompt string) {
	target := r.balancer.pick()
	if target == "" {
		pause(ctx, refusedPause)
		return
	}
	ended, code := r.send(target, prompt)
	r.mu.Lock()
	*ended(r.out)++
	if code != "" {
		r.out.Codes[code]++
	}
	r.mu.Unlock()
	if code != "" {
		pause(ctx, refusedPause)
	}
}

// counter names the field of a result that a request counts in.
type counter func(*LoadResult) *int

func completed(r *LoadResult) *int   { return &r.Completed }
func refused(r *LoadResult) *int     { return &r.Refused }
func cut(r *LoadResult) *int         { return &r.Cut }
func lost(r *LoadResult) *int        { return &r.Lost }
func failed(r *LoadResult) *int      { return &r.Failed }
func wrong(r *LoadResult) *int       { return &r.Wrong }
func unconnected(r *LoadResult) *int { return &r.Unconnected }

func (r *loadRun) send(target, prompt string) (ended counter, code string) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, r.options.Model, prompt, r.options.Tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+target+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return failed, err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+r.cluster.Key)
	resp, err := r.client.Do(req)
	if err != nil {
		if connectionError(err) == toldUnsent {
			return unconnected, toldUnsent
		}
		return lost, err.Error()
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	return r.readStream(resp.Body, prompt)
}

func readRefusal(resp *http.Response) (ended counter, code string) {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return lost, err.Error()
	}
	execution := resp.Header.Get("X-Masticbank-Execution")
	if execution == toldNotRun {
		return refused, codeOf(data)
	}
	return failed, execution + " " + codeOf(data)
}

// readStream reads the events up to the end mark and compares the text.
func (r *loadRun) readStream(body io.Reader, prompt string) (ended counter, code string) {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			if text.String() != r.expected(prompt) {
				return wrong, "wrong text"
			}
			return completed, ""
		case codeOf([]byte(data)) != "":
			return failed, "in stream: " + codeOf([]byte(data))
		default:
			text.WriteString(textOf([]byte(data)))
		}
	}
	return cut, "cut"
}

func (r *loadRun) expected(prompt string) string {
	var b strings.Builder
	for _, token := range engine.Expected(r.options.Model, r.options.Layers, prompt, r.options.Tokens) {
		b.WriteString(token.Text)
	}
	return b.String()
}

// answer is an event of a stream or an error.
type answer struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// codeOf returns the code of an error body, or "".
func codeOf(body []byte) string {
	var a answer
	if json.Unmarshal(body, &a) != nil {
		return ""
	}
	return a.Error.Code
}

func textOf(body []byte) string {
	var a answer
	if json.Unmarshal(body, &a) != nil || len(a.Choices) == 0 {
		return ""
	}
	return a.Choices[0].Text
}

// connectionError tells whether a connection came about.
func connectionError(err error) string {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return toldUnsent
	}
	return toldNothing
}
