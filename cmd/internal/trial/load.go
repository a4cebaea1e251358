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
	// readinessInterval is the interval between two readiness checks of an
	// instance.
	readinessInterval = 100 * time.Millisecond
	readinessTimeout  = time.Second
	responseTimeout   = 40 * time.Second
	// refusalBackoff is the time that a client waits after any result with a code,
	// and while no instance is ready.
	refusalBackoff = 50 * time.Millisecond
)

// LoadOptions configures Load.
type LoadOptions struct {
	Model  string
	Layers int
	Tokens int
	// Clients is the number of clients. Each has one request in progress.
	Clients int
	// KeepAlive lets requests share connections. Without it each request opens its
	// own connection, as behind a load balancer without connection reuse.
	KeepAlive bool
}

// LoadResult counts the requests of Load by result.
type LoadResult struct {
	// Completed counts complete responses with the expected text.
	Completed int
	// Refused counts error responses with the execution not_run; Codes has their
	// codes.
	Refused int
	// Cut counts streams that started and ended without the [DONE] event.
	Cut int
	// Lost counts requests that were sent and received no response, or an error
	// response that was cut off.
	Lost int
	// Failed counts other errors, in a response or in a stream, that do not say
	// not_run.
	Failed int
	// Wrong counts complete responses with a text other than the expected one.
	Wrong int
	// Unconnected counts failed connection attempts. A load balancer would choose
	// another instance.
	Unconnected int
	Codes       map[string]int
}

// Defects returns one line for each kind of error that a rolling replacement must
// not cause.
func (r *LoadResult) Defects() []string {
	var out []string
	for _, x := range []struct {
		n    int
		what string
	}{{r.Cut, "cut"}, {r.Lost, "lost"}, {r.Failed, "failed"}, {r.Wrong, "wrong"}} {
		if x.n > 0 {
			out = append(out, fmt.Sprintf("%d requests %s", x.n, x.what))
		}
	}
	return out
}

// balancer selects ready instances round-robin, as the load balancer of the
// platform does.
type balancer struct {
	instances []Instance
	ready     []atomic.Bool
	next      atomic.Uint64
}

// startBalancer checks the readiness of all instances once, and then periodically
// until ctx ends.
func startBalancer(ctx context.Context, group *sync.WaitGroup, instances []Instance) *balancer {
	b := &balancer{instances: instances, ready: make([]atomic.Bool, len(instances))}
	client := &http.Client{Timeout: readinessTimeout}
	var first sync.WaitGroup
	for i := range instances {
		first.Add(1)
		group.Go(func() {
			ticker := time.NewTicker(readinessInterval)
			defer ticker.Stop()
			b.checkReady(ctx, client, i)
			first.Done()
			for ctx.Err() == nil {
				select {
				case <-ctx.Done():
				case <-ticker.C:
					b.checkReady(ctx, client, i)
				}
			}
		})
	}
	first.Wait()
	return b
}

func (b *balancer) checkReady(ctx context.Context, client *http.Client, i int) {
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

// pick returns the address of the next ready instance, or "" if none is ready.
func (b *balancer) pick() string {
	start := b.next.Add(1)
	for k := range uint64(len(b.instances)) {
		i := (start + k) % uint64(len(b.instances))
		if b.ready[i].Load() {
			return b.instances[i].ClientAddress
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
	result   *LoadResult
}

// Load sends streaming requests through ready instances until ctx ends, waits for
// those in progress, and returns their results.
func (c *Cluster) Load(ctx context.Context, o LoadOptions) *LoadResult {
	balancerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var readinessChecks, clients sync.WaitGroup
	r := &loadRun{
		cluster: c, options: o, result: &LoadResult{Codes: make(map[string]int)},
		balancer: startBalancer(balancerCtx, &readinessChecks, c.Instances),
		client: &http.Client{Timeout: responseTimeout, Transport: &http.Transport{
			DisableKeepAlives: !o.KeepAlive, MaxIdleConnsPerHost: o.Clients,
		}},
	}
	for n := range o.Clients {
		clients.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				r.sendNext(ctx, fmt.Sprintf("caller %d asks %d", n, k))
			}
		})
	}
	clients.Wait()
	cancel()
	readinessChecks.Wait()
	return r.result
}

func (r *loadRun) sendNext(ctx context.Context, prompt string) {
	target := r.balancer.pick()
	if target == "" {
		sleep(ctx, refusalBackoff)
		return
	}
	counterOf, code := r.send(target, prompt)
	r.mu.Lock()
	*counterOf(r.result)++
	if code != "" {
		r.result.Codes[code]++
	}
	r.mu.Unlock()
	if code != "" {
		sleep(ctx, refusalBackoff)
	}
}

// resultCounter returns the counter of a result that a request increments.
type resultCounter func(*LoadResult) *int

func completed(r *LoadResult) *int   { return &r.Completed }
func refused(r *LoadResult) *int     { return &r.Refused }
func truncated(r *LoadResult) *int   { return &r.Cut }
func lost(r *LoadResult) *int        { return &r.Lost }
func failed(r *LoadResult) *int      { return &r.Failed }
func wrong(r *LoadResult) *int       { return &r.Wrong }
func unconnected(r *LoadResult) *int { return &r.Unconnected }

func (r *loadRun) send(target, prompt string) (counter resultCounter, code string) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, r.options.Model, prompt, r.options.Tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+target+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return failed, err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+r.cluster.APIKey)
	resp, err := r.client.Do(req)
	if err != nil {
		if classifyConnectionError(err) == outcomeNotConnected {
			return unconnected, outcomeNotConnected
		}
		return lost, err.Error()
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readErrorResponse(resp)
	}
	return r.readStream(resp.Body, prompt)
}

func readErrorResponse(resp *http.Response) (counter resultCounter, code string) {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return lost, err.Error()
	}
	execution := resp.Header.Get("X-Masticbank-Execution")
	if execution == outcomeNotRun {
		return refused, errorCode(data)
	}
	return failed, execution + " " + errorCode(data)
}

// readStream reads the events up to [DONE] and compares the text with the expected
// one.
func (r *loadRun) readStream(body io.Reader, prompt string) (counter resultCounter, code string) {
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
		case errorCode([]byte(data)) != "":
			return failed, "in stream: " + errorCode([]byte(data))
		default:
			text.WriteString(eventText([]byte(data)))
		}
	}
	return truncated, "cut"
}

func (r *loadRun) expected(prompt string) string {
	var b strings.Builder
	for _, token := range engine.ExpectedTokens(r.options.Model, r.options.Layers, prompt, r.options.Tokens) {
		b.WriteString(token.Text)
	}
	return b.String()
}

// responseBody is an event of a stream or an error.
type responseBody struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// errorCode returns the code in an error body, or "" if there is none.
func errorCode(body []byte) string {
	var response responseBody
	if json.Unmarshal(body, &response) != nil {
		return ""
	}
	return response.Error.Code
}

func eventText(body []byte) string {
	var response responseBody
	if json.Unmarshal(body, &response) != nil || len(response.Choices) == 0 {
		return ""
	}
	return response.Choices[0].Text
}

// classifyConnectionError returns outcomeNotConnected if no connection was
// established, otherwise outcomeNoResponse.
func classifyConnectionError(err error) string {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcomeNotConnected
	}
	return outcomeNoResponse
}
