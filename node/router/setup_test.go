package router

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/attempt"
	"masticbank.example/core/config"
	"masticbank.example/node/engine"
	"masticbank.example/node/service"
	"masticbank.example/node/wire"
)

// upstreamEvents records the ejections and departures that the router reports.
type upstreamEvents struct {
	mu      sync.Mutex
	leaving []string
	ejected []string
}

func (*upstreamEvents) ResponseDiscarded(attempt.DiscardReason)     {}
func (*upstreamEvents) TokenGap(string, config.Rank, time.Duration) {}
func (*upstreamEvents) Finished(*Result)                            {}
func (*upstreamEvents) ConnectionReplaced(string)                   {}
func (e *upstreamEvents) Ejected(id string)                         { e.add(&e.ejected, id) }
func (e *upstreamEvents) UpstreamLeaving(id string)                 { e.add(&e.leaving, id) }
func (e *upstreamEvents) add(list *[]string, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*list = append(*list, id)
}

// stubEngines succeeds at probes and implements no other calls to engines.
type stubEngines struct{ engine.Client }

func (stubEngines) Probe(context.Context, engine.Target) error { return nil }
func (stubEngines) ReplaceConnections(engine.Target)           {}
func (stubEngines) Release(engine.Target)                      {}

func plainConfig() *config.Config {
	return &config.Config{
		Ranks:      []config.RankConfig{{Name: "urgent", Deadline: time.Minute}},
		Models:     map[string]config.ModelConfig{"m": {Layers: 8, Version: "1", MaxOutput: 16}},
		Services:   map[string]config.ServiceConfig{"s": {Timeout: 10 * time.Second, IdempotentMethods: []string{"GET"}}},
		Workspaces: map[string]config.WorkspaceConfig{"w": {Weight: 1, DefaultRank: "urgent", MaxQueued: 8}},
		Limits:     config.Limits{MaxQueued: 64, RetryRatio: 0.1, StepTimeout: time.Second, PoisonTTL: time.Minute},
	}
}

// newPlainRouter returns a router without periodic work, configured with plainConfig.
func newPlainRouter(t *testing.T) (*Router, *upstreamEvents) {
	t.Helper()
	e := &upstreamEvents{}
	r := newRouter(Options{Engines: stubEngines{}, Services: service.New(), Metrics: e, Logger: zap.NewNop()})
	t.Cleanup(r.Close)
	r.Configure(plainConfig())
	return r, e
}

// setInstancesAndWait applies the instance list and waits until its upstreams were
// probed.
func (r *Router) setInstancesAndWait(instances ...wire.Instance) {
	r.SetInstances(instances)
	r.work.Wait()
}

// fakeReplica is a service replica that runs in this process.
type fakeReplica struct {
	wire.Instance
	server *httptest.Server

	mu    sync.Mutex
	calls int
	// refusal, if set, is the error code with which calls are refused. report is the
	// body of the load report.
	refusal string
	report  string
	// head, if set, is the head of the responses to calls and probes, see setHead.
	head string
}

func newFakeReplica(t *testing.T, id string) *fakeReplica {
	t.Helper()
	rep := &fakeReplica{report: "{}"}
	rep.server = httptest.NewServer(rep)
	t.Cleanup(rep.server.Close)
	rep.Instance = wire.Instance{ID: id, Role: wire.RoleService, Service: "s", Address: strings.TrimPrefix(rep.server.URL, "http://")}
	return rep
}

func (rep *fakeReplica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	switch {
	case req.URL.Path == wire.PathLoad:
		_, _ = w.Write([]byte(rep.report))
	case rep.head != "":
		if req.URL.Path != wire.PathProbe {
			rep.calls++
		}
		writeHead(w, rep.head)
	case req.URL.Path == wire.PathProbe:
		w.WriteHeader(http.StatusNoContent)
	case rep.refusal != "":
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"code":"` + rep.refusal + `"}`))
	default:
		rep.calls++
	}
}

// writeHead writes a response with a head that net/http would not write.
func writeHead(w http.ResponseWriter, head string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 "+head+"\r\nContent-Length: 0\r\n\r\n")
	_ = c.Close()
}

func (rep *fakeReplica) set(refusal, report string) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.refusal, rep.report = refusal, report
}

func (rep *fakeReplica) served() int {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.calls
}

// callService makes one call to the service and waits for the probes that it
// triggered.
func callService(t *testing.T, r *Router, method string) ServiceResult {
	t.Helper()
	now := time.Now()
	res := r.CallService(t.Context(), &ServiceRequest{
		ID: t.Name(), Workspace: "w", Service: "s", Method: method, Path: "/x",
		Header: http.Header{}, Arrived: now, Deadline: now.Add(20 * time.Second),
	})
	r.work.Wait()
	return res
}
