package local

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/standin/fault"
	"masticbank.example/standin/fleet"
	"masticbank.example/standin/logservice"
)

func start(t *testing.T) *Cluster {
	t.Helper()
	t.Parallel()
	d, err := Start(Options{Spec: fleet.Dev(), Configuration: DevConfiguration})
	require.NoError(t, err)
	t.Cleanup(func() {
		require.Empty(t, d.Fleet.Violations())
		d.Close(context.Background())
	})
	return d
}

// reply is an HTTP answer that was read to its end.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (d *Cluster) do(t *testing.T, method, path, body string, header ...string) reply {
	t.Helper()
	return d.doOn(t, d.Apps[0].CallerAddr(), method, path, body, header...)
}

func (d *Cluster) doOn(t *testing.T, address, method, path, body string, header ...string) reply {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+Key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return reply{status: resp.StatusCode, header: resp.Header, body: data}
}

type textAnswer struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error struct {
		Code      string `json:"code"`
		Execution string `json:"execution"`
	} `json:"error"`
}

func (r reply) parse(t *testing.T) textAnswer {
	t.Helper()
	var a textAnswer
	require.NoError(t, json.Unmarshal(r.body, &a), string(r.body))
	return a
}

func (d *Cluster) expected(prompt string, n int) string {
	var b strings.Builder
	for _, tok := range d.Fleet.Expected("dev", prompt, n) {
		b.WriteString(tok.Text)
	}
	return b.String()
}

func TestWholeAndStreamedAnswers(t *testing.T) {
	d := start(t)
	whole := d.do(t, http.MethodPost, "/v1/completions", `{"model":"dev","prompt":"p","max_tokens":9}`)
	require.Equal(t, http.StatusOK, whole.status, string(whole.body))
	require.Equal(t, "ran", whole.header.Get("X-Masticbank-Execution"))
	require.Equal(t, d.expected("p", 9), whole.parse(t).Choices[0].Text)

	streamed := d.do(t, http.MethodPost, "/v1/completions", `{"model":"dev","prompt":"p","max_tokens":9,"stream":true}`)
	text, done := readStream(t, streamed.body)
	require.True(t, done)
	require.Equal(t, d.expected("p", 9), text)
}

func readStream(t *testing.T, body []byte) (text string, done bool) {
	t.Helper()
	scanner := bufio.NewScanner(bytes.NewReader(body))
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var a textAnswer
		require.NoError(t, json.Unmarshal([]byte(data), &a))
		if len(a.Choices) > 0 {
			text += a.Choices[0].Text
		}
	}
	return text, false
}

func TestRefusalsSayNotRun(t *testing.T) {
	d := start(t)
	ok := `{"model":"dev","prompt":"p","max_tokens":1}`
	cases := []struct {
		name, path, body string
		header           []string
		status           int
		code             string
	}{
		{"malformed", "/v1/completions", `{`, nil, http.StatusBadRequest, "invalid_request"},
		{"unknown model", "/v1/completions", `{"model":"x","prompt":"p"}`, nil, http.StatusNotFound, "unknown_model"},
		{"bad key", "/v1/completions", ok, []string{"Authorization", "Bearer x"}, http.StatusUnauthorized, "invalid_api_key"},
		{"unknown rank", "/v1/completions", ok, []string{"X-Masticbank-Rank", "x"}, http.StatusBadRequest, "unknown_rank"},
		{"past deadline", "/v1/completions", ok, []string{"X-Masticbank-Deadline", "-1"}, http.StatusGatewayTimeout, "deadline_passed"},
		{"bad deadline", "/v1/completions", ok, []string{"X-Masticbank-Deadline", "soon"}, http.StatusBadRequest, "invalid_deadline"},
		{"oversize", "/v1/completions", strings.Repeat("x", 1<<20+1), nil, http.StatusRequestEntityTooLarge, "body_too_large"},
		{"unknown service", "/services/x/y", "", nil, http.StatusNotFound, "unknown_service"},
	}
	for _, tc := range cases {
		r := d.do(t, http.MethodPost, tc.path, tc.body, tc.header...)
		require.Equal(t, tc.status, r.status, tc.name)
		require.Equal(t, "not_run", r.header.Get("X-Masticbank-Execution"), tc.name)
		require.Equal(t, tc.code, r.parse(t).Error.Code, tc.name)
	}
	for _, e := range d.Fleet.Engines() {
		require.Zero(t, e.Runs())
	}
}

// TestFaultyAnswersNeverReachTheCaller injects one fault on one of the two
// replicas of each range and requires the whole right answer.
func TestFaultyAnswersNeverReachTheCaller(t *testing.T) {
	kinds := []fault.Kind{fault.CloseMidAnswer, fault.ForeignIdentity, fault.AnswerTwice, fault.DelayedDuplicate, fault.Leaving}
	for _, kind := range kinds {
		t.Run(string(kind), func(t *testing.T) {
			d := start(t)
			for _, id := range []string{"dev-0-3-l0", "dev-4-8-m1", "dev-9-11-s0"} {
				require.NoError(t, d.Fleet.Inject(fault.Fault{Instance: id, Kind: kind, Count: 2}))
			}
			for range 6 {
				r := d.do(t, http.MethodPost, "/v1/completions", `{"model":"dev","prompt":"p","max_tokens":9}`)
				require.Equal(t, http.StatusOK, r.status, string(r.body))
				require.Equal(t, d.expected("p", 9), r.parse(t).Choices[0].Text)
			}
		})
	}
}

// TestCrashMidStream crashes a replica of every range after the first token;
// the stream goes on with the next token on other replicas.
func TestCrashMidStream(t *testing.T) {
	d := start(t)
	req, err := http.NewRequest(http.MethodPost, "http://"+d.Apps[0].CallerAddr()+"/v1/completions",
		strings.NewReader(`{"model":"dev","prompt":"p","max_tokens":30,"stream":true}`))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+Key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	first, err := r.ReadBytes('\n')
	require.NoError(t, err)
	for _, id := range []string{"dev-0-3-l0", "dev-4-8-m0", "dev-9-11-s0"} {
		require.NoError(t, d.Fleet.Inject(fault.Fault{Instance: id, Kind: fault.Crash}))
	}
	rest, err := io.ReadAll(r)
	require.NoError(t, err)
	text, done := readStream(t, append(first, rest...))
	require.True(t, done, string(rest))
	require.Equal(t, d.expected("p", 30), text)
}

// post sends a completion request and requires the whole right answer.
func (d *Cluster) post(t *testing.T, prompt string) {
	t.Helper()
	r := d.do(t, http.MethodPost, "/v1/completions", `{"model":"dev","prompt":"`+prompt+`","max_tokens":12}`)
	require.Equal(t, http.StatusOK, r.status, string(r.body))
	require.Equal(t, d.expected(prompt, 12), r.parse(t).Choices[0].Text)
}

// states returns the state of each upstream as the first instance shows it.
func (d *Cluster) states() map[string]string {
	out := map[string]string{}
	for _, p := range d.Apps[0].Status().Pools {
		for _, u := range p.Upstreams {
			out[u.ID] = u.State
		}
	}
	return out
}

// TestSilentConnectionIsReplaced lets every open connection to one replica of a
// range go silent while new ones work. The replica stays in use.
func TestSilentConnectionIsReplaced(t *testing.T) {
	d := start(t)
	for range 8 {
		d.post(t, "warm")
	}
	require.NoError(t, d.Fleet.Inject(fault.Fault{Instance: "dev-4-8-m0", Kind: fault.HangConnections}))
	for range 8 {
		d.post(t, "p")
	}
	require.Equal(t, "live", d.states()["dev-4-8-m0"])
}

// TestSilentUpstreamIsEjected lets one replica of a range stop answering at all.
func TestSilentUpstreamIsEjected(t *testing.T) {
	d := start(t)
	for range 8 {
		d.post(t, "warm")
	}
	require.NoError(t, d.Fleet.Inject(fault.Fault{Instance: "dev-4-8-m0", Kind: fault.HangAll}))
	for i := 0; d.states()["dev-4-8-m0"] == "live"; i++ {
		require.Less(t, i, 100)
		d.post(t, "p")
	}
	require.Equal(t, "ejected", d.states()["dev-4-8-m0"])
	d.post(t, "p")
}

// TestSilentUpstreamWithoutRequestsIsEjected has a replica that is too slow to be chosen
// when it stops answering, so that no request finds out.
func TestSilentUpstreamWithoutRequestsIsEjected(t *testing.T) {
	d := start(t)
	require.NoError(t, d.Fleet.Inject(fault.Fault{Instance: "dev-4-8-m0", Kind: fault.Slow, Factor: 50}))
	for range 8 {
		d.post(t, "warm")
	}
	require.NoError(t, d.Fleet.Inject(fault.Fault{Instance: "dev-4-8-m0", Kind: fault.HangAll}))
	require.Eventually(t, func() bool { return d.states()["dev-4-8-m0"] == "ejected" }, time.Minute, 20*time.Millisecond)
	d.post(t, "p")
}

// TestOrderThroughTwoInstances sends one order with the same key through two
// instances, once after the other and then many times at once.
func TestOrderThroughTwoInstances(t *testing.T) {
	t.Parallel()
	d, err := Start(Options{Instances: 2, Spec: fleet.Dev(), Configuration: DevConfiguration})
	require.NoError(t, err)
	defer d.Close(context.Background())
	send := func(i int, key, body string) reply {
		return d.doOn(t, d.Apps[i%2].CallerAddr(), http.MethodPost, "/services/orders/orders", body, "Idempotency-Key", key)
	}
	first := send(0, "k1", `{"item":"timber"}`)
	require.Equal(t, http.StatusCreated, first.status, string(first.body))
	second := send(1, "k1", `{"item":"timber"}`)
	require.Equal(t, first.body, second.body)
	require.Equal(t, "true", second.header.Get("X-Masticbank-Replayed"))
	other := send(1, "k1", `{"item":"mesh"}`)
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Equal(t, 1, d.Fleet.Service("orders").Records("k1"))

	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			r := send(i, "k2", "{}")
			require.Equal(t, http.StatusCreated, r.status, string(r.body))
		})
	}
	wg.Wait()
	require.Equal(t, 1, d.Fleet.Service("orders").Records("k2"))
	require.Empty(t, d.Fleet.RepeatedOrders())
}

// TestOrderWhileLogIsAway refuses at once and runs nothing.
func TestOrderWhileLogIsAway(t *testing.T) {
	d := start(t)
	d.Log.SetFaults(logservice.Faults{Down: true})
	r := d.do(t, http.MethodPost, "/services/orders/orders", "{}", "Idempotency-Key", "k", "X-Masticbank-First-Use", "true")
	require.Equal(t, http.StatusServiceUnavailable, r.status, string(r.body))
	require.Equal(t, "not_run", r.header.Get("X-Masticbank-Execution"))
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Zero(t, d.Fleet.Service("orders").Records("k"))
	d.post(t, "models go on")
	d.Log.SetFaults(logservice.Faults{})
}

// TestPoisonRequest sends a request that crashes every replica that runs it,
// then a copy, and an innocent request beside it.
func TestPoisonRequest(t *testing.T) {
	t.Parallel()
	d, err := Start(Options{Instances: 2, Spec: fleet.Dev(), Configuration: DevConfiguration})
	require.NoError(t, err)
	defer d.Close(context.Background())
	for _, in := range []string{"dev-0-3-l0", "dev-0-3-l1"} {
		require.NoError(t, d.Fleet.Inject(fault.Fault{Instance: in, Kind: fault.Poison, Text: "poison"}))
	}
	body := `{"model":"dev","prompt":"poison","max_tokens":4}`
	first := d.do(t, http.MethodPost, "/v1/completions", body, "X-Masticbank-Deadline", "10")
	require.Equal(t, http.StatusUnprocessableEntity, first.status, string(first.body))
	require.NotEqual(t, "not_run", first.header.Get("X-Masticbank-Execution"))

	again := d.do(t, http.MethodPost, "/v1/completions", body)
	require.Equal(t, "poison_request", again.parse(t).Error.Code)
	require.Equal(t, "not_run", again.header.Get("X-Masticbank-Execution"))
	require.Eventually(t, func() bool {
		r := d.doOn(t, d.Apps[1].CallerAddr(), http.MethodPost, "/v1/completions", body, "X-Masticbank-Deadline", "1")
		return r.header.Get("X-Masticbank-Execution") == "not_run" && r.parse(t).Error.Code == "poison_request"
	}, time.Minute, 50*time.Millisecond)

	for _, in := range []string{"dev-0-3-l0", "dev-0-3-l1"} {
		require.NoError(t, d.Fleet.Inject(fault.Fault{Instance: in, Kind: fault.Restore}))
	}
	d.post(t, "innocent")
}

// TestCacheEventsReachTheRouteChoice sends one long prompt and expects the route
// table to know the replicas that hold its prefix.
func TestCacheEventsReachTheRouteChoice(t *testing.T) {
	d := start(t)
	prompt := strings.Repeat("the price of a hutch with two doors and a wire floor ", 20)
	d.post(t, prompt)
	require.Eventually(t, func() bool {
		e, ok := d.Apps[0].ExplainPrompt("dev", prompt, 12)
		require.True(t, ok)
		for _, r := range e.Replicas {
			if r.CachedPart > 0.5 {
				return true
			}
		}
		return false
	}, time.Minute, 20*time.Millisecond)
}

// TestCopiesOfAPoisonRequestAtDifferentInstances sends a request that crashes engines
// to one instance after the other. Each has one engine for the first layers, so that no
// instance sees more than one crash.
func TestCopiesOfAPoisonRequestAtDifferentInstances(t *testing.T) {
	t.Parallel()
	d, err := Start(Options{Instances: 3, Spec: fleet.Dev(), Configuration: DevConfiguration})
	require.NoError(t, err)
	defer d.Close(context.Background())
	engines := []string{"dev-0-3-l0", "dev-0-3-l1"}
	served := func(app int) {
		require.Eventually(t, func() bool {
			r := d.doOn(t, d.Apps[app].CallerAddr(), http.MethodPost, "/v1/completions",
				`{"model":"dev","prompt":"innocent","max_tokens":2}`, "X-Masticbank-Deadline", "2")
			return r.status == http.StatusOK
		}, time.Minute, 50*time.Millisecond)
	}
	const poisoned = `{"model":"dev","prompt":"poison","max_tokens":4}`
	for i, engine := range engines {
		served(i)
		require.NoError(t, d.Fleet.Inject(fault.Fault{Instance: engines[1-i], Kind: fault.Crash}))
		require.NoError(t, d.Fleet.Inject(fault.Fault{Instance: engine, Kind: fault.Poison, Text: "poison"}))
		r := d.doOn(t, d.Apps[i].CallerAddr(), http.MethodPost, "/v1/completions", poisoned, "X-Masticbank-Deadline", "3")
		require.NotEqual(t, "not_run", r.header.Get("X-Masticbank-Execution"))
		for _, in := range engines {
			require.NoError(t, d.Fleet.Inject(fault.Fault{Instance: in, Kind: fault.Restore}))
		}
	}
	served(2)
	r := d.doOn(t, d.Apps[2].CallerAddr(), http.MethodPost, "/v1/completions", poisoned)
	require.Equal(t, "poison_request", r.parse(t).Error.Code, string(r.body))
	require.Equal(t, "not_run", r.header.Get("X-Masticbank-Execution"))
}
