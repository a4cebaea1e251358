package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"masticbank.example/core/forward"
	"masticbank.example/core/pipeline"
	"masticbank.example/core/retry"
	"masticbank.example/core/roster"
	"masticbank.example/core/routing"
	"masticbank.example/node/exchange"
)

// testCodec passes the headers on unchanged.
type testCodec struct{}

func (testCodec) Request(h http.Header) Request {
	ms, _ := strconv.Atoi(h.Get("Deadline")) // 0 if there is none
	return Request{ID: h.Get("Id"), Deadline: time.Duration(ms) * time.Millisecond}
}

func (testCodec) Forward(h http.Header, _ ForwardOptions) http.Header { return h }

func (testCodec) Response(_ int, h http.Header) Response {
	return Response{ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != ""}
}

func (testCodec) ToClient(h http.Header) http.Header { return h }

func (testCodec) RouterError(string, time.Duration) http.Header { return http.Header{} }

// answers runs each request.
func answers(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "yes")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = w.Write([]byte("id: 1\ndata: token\n\n")) // an error shows in the client's response
}

// rejects states that the request did not run.
func rejects(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Not-Run", "yes")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// resendGateway serves the plain service "plain" and the model service "model" on replicas at
// addresses; the first replica of both is preferred.
type resendGateway struct {
	*Gateway
	t    *testing.T
	logs *observer.ObservedLogs
}

func newResendGateway(t *testing.T, limit retry.Limit, addresses ...string) *resendGateway {
	core, logs := observer.New(zap.InfoLevel)
	client := exchange.New(exchange.Options{DialTimeout: time.Second, IdleTimeout: time.Minute, IdlePerAddress: 4})
	t.Cleanup(client.Close)
	g := New(Options{
		Codec: testCodec{}, Control: &countingControl{}, Client: client, Logger: zap.New(core), Metrics: NewMetrics(),
		Zone: "z", Retries: limit, FirstStart: true,
	})
	g.SetInstances(1)
	g.MarkReady()
	model := *newPool().fleet.Model()
	model.Kinds = map[string]pipeline.Kind{
		"fast": {Name: "fast", MemoryMB: 1000, StepFactor: 0.01, PrefillFactor: 0.01},
		"slow": {Name: "slow", MemoryMB: 1000, StepFactor: 1, PrefillFactor: 1},
	}
	to := func(service string) []routing.Target { return []routing.Target{{Service: service, Weight: 1}} }
	g.Configure(routing.NewTable(&routing.Config{
		Version: 1, Anonymous: true,
		Routes: []routing.Route{
			{Name: "plain", Host: "h", PathPrefix: "/plain/", Kind: routing.Idempotent, MaxAttempts: 3, Targets: to("plain")},
			{Name: "once", Host: "h", PathPrefix: "/once/", Kind: routing.NonIdempotent, MaxAttempts: 1, Targets: to("plain")},
			{Name: "model", Host: "h", PathPrefix: "/model/", Kind: routing.Streaming, Resumable: true, MaxAttempts: 3, Targets: to("model")},
		},
		Services: []routing.Service{{Name: "plain"}, {Name: "model", Model: &model}},
	}), func(service string) []roster.Entry {
		var out []roster.Entry
		for i, address := range addresses {
			e := roster.Entry{ID: strconv.Itoa(i), Service: service, Address: address, Zone: "z", StartTime: 1}
			if service == "model" {
				e.Kind, e.Layers = "slow", &roster.Layers{From: 0, To: model.Layers}
				if i == 0 {
					e.Kind = "fast"
				}
			}
			out = append(out, e)
		}
		return out
	})
	return &resendGateway{Gateway: g, t: t, logs: logs}
}

// send sends a request with a deadline and returns the status of the response.
func (g *resendGateway) send(path string, deadline time.Duration) int {
	r := httptest.NewRequest(http.MethodPost, path, nil)
	r.Host = "h"
	r.Header.Set("Id", g.t.Name())
	r.Header.Set("Deadline", strconv.Itoa(int(deadline.Milliseconds())))
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w.Code
}

// outcomes returns the outcomes of the attempts that failed, in order.
func (g *resendGateway) outcomes() []string {
	var out []string
	for _, line := range g.logs.FilterMessage("attempt failed").All() {
		out = append(out, line.ContextMap()["outcome"].(string))
	}
	return out
}

func startReplica(t *testing.T, handler http.HandlerFunc) (address string) {
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// deadAddress returns an address that refuses connections.
func deadAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// services maps paths of test requests to their services.
var services = map[string]string{"/plain/1": "plain", "/once/1": "plain", "/model/1": "model"}

// TestRetryAfterAnUnsentAttemptIsPaid guards against requests that end for lack of a retry, or use
// up another one's, although no replica has received them yet.
func TestRetryAfterAnUnsentAttemptIsPaid(t *testing.T) {
	for path, service := range services {
		t.Run(service+path, func(t *testing.T) {
			g := newResendGateway(t, retry.Limit{Window: 10 * time.Second}, deadAddress(t), startReplica(t, answers))
			require.Equal(t, http.StatusOK, g.send(path, 10*time.Second))
			require.Equal(t, []string{"unsent"}, g.outcomes())
		})
	}
}

// TestPaidRetryWithoutASendIsLost guards against retries that are spent for requests which then find
// no other replica in time, and are missing for other requests.
func TestPaidRetryWithoutASendIsLost(t *testing.T) {
	const retries = 4
	for path, service := range services {
		t.Run(service+path, func(t *testing.T) {
			limit := retry.Limit{Slack: 2 * retries, Window: time.Hour}
			g := newResendGateway(t, limit, startReplica(t, rejects))
			for range 2 * retries {
				require.Equal(t, http.StatusServiceUnavailable, g.send(path, 100*time.Millisecond))
				require.InDelta(t, retries, g.availableRetries(service), 0.5)
			}
			require.Contains(t, g.outcomes(), "rejected")
		})
	}
}

// TestRunGivenUpBeforeItsSendIsLost guards against runs that are given up while their connection is
// still awaited and count as lost, which uses up a run and a retry of the request.
func TestRunGivenUpBeforeItsSendIsLost(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want forward.Outcome
	}{
		"connection awaited":  {&exchange.Error{Withheld: true, Timeout: true, Err: context.Canceled}, forward.Withheld},
		"no connection":       {&exchange.Error{Timeout: true, Err: context.DeadlineExceeded}, forward.Unsent},
		"response awaited":    {&exchange.Error{Sent: true, Timeout: true, Err: context.Canceled}, forward.Lost},
		"response just begun": {nil, forward.Lost},
		"unknown error":       {context.Canceled, forward.Lost},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, outcomeOf(givenUpError(c.err)))
		})
	}
}
