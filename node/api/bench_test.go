package api_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/attempt"
	"masticbank.example/core/config"
	"masticbank.example/node/api"
	"masticbank.example/node/engine"
	"masticbank.example/node/httpserver"
	"masticbank.example/node/router"
	"masticbank.example/node/wire"
)

const (
	benchModel  = "m"
	benchLayers = 12
	benchKey    = "key"
)

// stubEngines is an engine client whose calls all respond without delay.
type stubEngines struct{ engine.Client }

func (stubEngines) Step(_ context.Context, _ engine.Target, r *wire.StepRequest) (*wire.StepResponse, error) {
	resp := &wire.StepResponse{RequestID: r.RequestID, Attempt: r.Attempt, Position: r.Position}
	if r.LastLayer < benchLayers-1 {
		resp.Hidden = []byte{1}
		return resp, nil
	}
	resp.Token = &wire.Token{ID: r.Position, Text: " word"}
	return resp, nil
}

func (stubEngines) Cancel(context.Context, engine.Target, *wire.CancelRequest) error { return nil }

func (stubEngines) Load(context.Context, engine.Target) (*wire.LoadReport, error) {
	return &wire.LoadReport{Slots: 8, StepMillis: 1, PrefillTokensPerSecond: 8000}, nil
}

func (stubEngines) Probe(context.Context, engine.Target) error { return nil }

func (stubEngines) Release(engine.Target) {}

// discardMetrics discards all measurements.
type discardMetrics struct{}

func (discardMetrics) ResponseDiscarded(attempt.DiscardReason)     {}
func (discardMetrics) TokenGap(string, config.Rank, time.Duration) {}
func (discardMetrics) Finished(*router.Result)                     {}
func (discardMetrics) ConnectionReplaced(string)                   {}
func (discardMetrics) Ejected(string)                              {}
func (discardMetrics) UpstreamLeaving(string)                      {}

func benchConfig() *config.Config {
	key := sha256.Sum256([]byte(benchKey))
	return &config.Config{
		Ranks:  []config.RankConfig{{Name: "urgent", FirstToken: time.Second, Deadline: time.Minute, MinShare: 0.5}},
		Models: map[string]config.ModelConfig{benchModel: {Layers: benchLayers, Version: "1", MaxOutput: 4096}},
		Workspaces: map[string]config.WorkspaceConfig{
			"w": {KeySHA256: []string{hex.EncodeToString(key[:])}, Weight: 1, DefaultRank: "urgent", MaxQueued: 256},
		},
		Limits: config.Limits{MaxQueued: 4096, RetryRatio: 0.1, StepTimeout: 2 * time.Second, PoisonTTL: time.Minute},
	}
}

func benchFleet() []wire.Instance {
	const stages, replicas = 3, 42
	var out []wire.Instance
	for i := range replicas {
		first := i % stages * benchLayers / stages
		out = append(out, wire.Instance{
			ID: fmt.Sprint("replica-", i), Role: wire.RoleEngine, Address: fmt.Sprint("127.0.0.1:", 1024+i),
			Model: benchModel, Version: "1", FirstLayer: first, LastLayer: first + benchLayers/stages - 1,
		})
	}
	return out
}

func startServer(b *testing.B) string {
	r := router.New(router.Options{Engines: stubEngines{}, Metrics: discardMetrics{}, Logger: zap.NewNop(), Seed: 1})
	r.Configure(benchConfig())
	r.SetInstances(benchFleet())
	s, err := httpserver.Start(httpserver.Options{
		Address: "127.0.0.1:0", MaxBodyBytes: 1 << 20, MaxConnections: 64, MaxRequests: 64, IdleTimeout: time.Minute,
		Handler: api.New(api.Options{
			Router: r, Logger: zap.NewNop(), MaxBodyBytes: 1 << 20,
			Ready: func() (bool, string) { return true, "" },
		}),
		ServerErrorBody: api.ServerErrorBody,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			b.Error(err)
		}
		r.Close()
	})
	return s.Addr()
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCompletion measures one HTTP request through the client API, the router
// and three stages that respond without delay, on one connection. The CPU time
// includes a minimal client. The difference between the results for two numbers of
// tokens is the cost of these tokens. With stream=true each token is sent as an
// event.
func BenchmarkCompletion(b *testing.B) {
	for _, stream := range []bool{false, true} {
		for _, tokens := range []int{1, 101} {
			b.Run(fmt.Sprintf("stream=%v/tokens=%d", stream, tokens), func(b *testing.B) {
				benchCompletion(b, startServer(b), stream, tokens)
			})
		}
	}
}

func benchCompletion(b *testing.B, address string, stream bool, tokens int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hello"}],"max_tokens":%d,"stream":%v}`, benchModel, tokens, stream)
	message := fmt.Appendf(nil, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", benchKey, len(body), body)
	reader := bufio.NewReader(conn)
	exchange(b, conn, reader, message)
	n, received := 0, int64(0)
	b.ReportAllocs()
	startCPU := cpuTime(b)
	for b.Loop() {
		n++
		received += exchange(b, conn, reader, message)
	}
	b.ReportMetric(float64(cpuTime(b)-startCPU)/float64(n), "cpu-ns/op")
	b.ReportMetric(float64(received)/float64(n), "answer-B/op")
}

// exchange sends one request and returns the length of the response body.
func exchange(b *testing.B, conn net.Conn, reader *bufio.Reader, message []byte) int64 {
	if _, err := conn.Write(message); err != nil {
		b.Fatal(err)
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		b.Fatal(err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status, err)
	}
	return n
}
