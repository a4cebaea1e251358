package router

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/attempt"
	"masticbank.example/core/config"
	"masticbank.example/core/route"
	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

const (
	testModel  = "m"
	testLayers = 12
	// testSlots is the number of slots that each fake engine reports by default.
	testSlots = 8
)

// sentStep is one step that a fake engine received.
type sentStep struct {
	replica  string
	request  string
	attempt  int
	position int
	resend   bool
	// executed is true if the engine ran its layers.
	executed bool
}

// cancelledAttempt is one attempt that the router cancelled on a replica.
type cancelledAttempt struct {
	replica string
	request string
	attempt int
}

// fakeEngines implements engine.Client for any number of engines. It is safe for
// concurrent use.
type fakeEngines struct {
	// onStep, if set, responds to steps instead of correctResponse. Its second result
	// reports whether the step was executed.
	onStep func(ctx context.Context, t engine.Target, r *wire.StepRequest) (*wire.StepResponse, bool, error)
	// probe responds to probes; if it is nil, every probe succeeds.
	probe func(t engine.Target) error
	// slots is the number of slots that every engine reports; 0 means testSlots.
	slots int
	// unrecorded turns off the record of steps and cancellations.
	unrecorded bool

	mu        sync.Mutex
	steps     []sentStep
	cancelled []cancelledAttempt
	replaced  []string
}

// correctResponse returns the response of an engine that holds the requested layer
// range.
func correctResponse(r *wire.StepRequest) *wire.StepResponse {
	resp := &wire.StepResponse{RequestID: r.RequestID, Attempt: r.Attempt, Position: r.Position}
	if r.LastLayer < testLayers-1 {
		resp.Hidden = []byte{1}
		return resp
	}
	resp.Token = &wire.Token{ID: r.Position, Text: tokenText(r.RequestID, r.Position)}
	return resp
}

// tokenText returns the text that the fake model generates at a position.
func tokenText(request string, position int) string {
	return fmt.Sprintf("%s/%d ", request, position)
}

// Step implements engine.Client.
func (f *fakeEngines) Step(ctx context.Context, t engine.Target, r *wire.StepRequest) (*wire.StepResponse, error) {
	if f.unrecorded {
		return correctResponse(r), nil
	}
	resp, executed, err := correctResponse(r), true, error(nil)
	if f.onStep != nil {
		resp, executed, err = f.onStep(ctx, t, r)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.steps = append(f.steps, sentStep{
		replica: t.ID, request: r.RequestID, attempt: r.Attempt, position: r.Position, resend: r.Resend, executed: executed,
	})
	return resp, err
}

// Cancel implements engine.Client.
func (f *fakeEngines) Cancel(_ context.Context, t engine.Target, r *wire.CancelRequest) error {
	if f.unrecorded {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = append(f.cancelled, cancelledAttempt{replica: t.ID, request: r.RequestID, attempt: r.Attempt})
	return nil
}

// Load implements engine.Client.
func (f *fakeEngines) Load(context.Context, engine.Target) (*wire.LoadReport, error) {
	slots := f.slots
	if slots == 0 {
		slots = testSlots
	}
	return &wire.LoadReport{Slots: slots, StepMillis: 1, PrefillTokensPerSecond: 8000}, nil
}

// Probe implements engine.Client.
func (f *fakeEngines) Probe(_ context.Context, t engine.Target) error {
	if f.probe == nil {
		return nil
	}
	return f.probe(t)
}

// CacheEvents implements engine.Client.
func (f *fakeEngines) CacheEvents(context.Context, engine.Target, uint64) (*wire.CacheEvents, error) {
	return &wire.CacheEvents{}, nil
}

// AssignLayers implements engine.Client.
func (f *fakeEngines) AssignLayers(context.Context, engine.Target, *wire.LayerAssignment) (*wire.LayerAssignmentResponse, error) {
	return &wire.LayerAssignmentResponse{}, nil
}

// State implements engine.Client.
func (f *fakeEngines) State(context.Context, engine.Target) (*wire.EngineState, error) {
	return &wire.EngineState{}, nil
}

// ReplaceConnections implements engine.Client.
func (f *fakeEngines) ReplaceConnections(t engine.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaced = append(f.replaced, t.ID)
}

// Release implements engine.Client.
func (f *fakeEngines) Release(engine.Target) {}

// stepsOf returns the steps of one request that engines received.
func (f *fakeEngines) stepsOf(request string) []sentStep {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []sentStep
	for _, s := range f.steps {
		if s.request == request {
			out = append(out, s)
		}
	}
	return out
}

// refusalError returns the error of an engine that states that it executed nothing.
func refusalError(code string) error {
	return &engine.CallError{Proof: engine.ProofRefused, Code: code, Err: errors.New("refused")}
}

// connectionLostError returns the error of a connection that broke after it was
// written to.
func connectionLostError() error {
	return &engine.CallError{Code: engine.CodeConnection, Err: errors.New("reset")}
}

// blockUntilDone blocks until the step is cancelled or times out, and returns the
// resulting error.
func blockUntilDone(ctx context.Context) error {
	<-ctx.Done()
	code := engine.CodeCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = engine.CodeTimeout
	}
	return &engine.CallError{Code: code, Err: ctx.Err()}
}

// discardCounter implements Metrics and counts the discarded responses.
type discardCounter struct {
	mu        sync.Mutex
	discarded map[attempt.DiscardReason]int
}

func (m *discardCounter) ResponseDiscarded(k attempt.DiscardReason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.discarded == nil {
		m.discarded = map[attempt.DiscardReason]int{}
	}
	m.discarded[k]++
}

func (*discardCounter) TokenGap(string, config.Rank, time.Duration) {}
func (*discardCounter) Finished(*Result)                            {}
func (*discardCounter) ConnectionReplaced(string)                   {}
func (*discardCounter) Ejected(string)                              {}
func (*discardCounter) UpstreamLeaving(string)                      {}

// testConfig returns a configuration with the given number of workspaces.
func testConfig(workspaces int) *config.Config {
	c := &config.Config{
		Ranks: []config.RankConfig{
			{Name: "urgent", FirstToken: time.Second, Deadline: time.Minute, MinShare: 0.5},
			{Name: "middle", FirstToken: time.Second, Deadline: time.Minute, MinShare: 0.2},
			{Name: "least", FirstToken: time.Second, Deadline: time.Minute, MinShare: 0.1},
		},
		Models:     map[string]config.ModelConfig{testModel: {Layers: testLayers, Version: "1", MaxOutput: 4096}},
		Services:   map[string]config.ServiceConfig{},
		Workspaces: map[string]config.WorkspaceConfig{},
		Limits:     config.Limits{MaxQueued: 4096, RetryRatio: 0.1, StepTimeout: 2 * time.Second, PoisonTTL: time.Minute},
	}
	for i := range workspaces {
		c.Workspaces[workspaceName(i)] = config.WorkspaceConfig{Weight: 1, DefaultRank: "urgent", MaxQueued: 256}
	}
	return c
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%d", i) }

// fleet returns a list of replicas that hold one stage each. The model is split into
// stages of equal length.
func fleet(stages, replicas int) []wire.Instance {
	layersPerStage := testLayers / stages
	out := make([]wire.Instance, 0, replicas)
	for i := range replicas {
		first := i % stages * layersPerStage
		out = append(out, wire.Instance{
			ID:          fmt.Sprintf("replica-%d", i),
			Role:        wire.RoleEngine,
			Address:     fmt.Sprintf("127.0.0.1:%d", 1024+i),
			Zone:        fmt.Sprintf("zone-%d", i%3),
			Model:       testModel,
			Version:     "1",
			FirstLayer:  first,
			LastLayer:   first + layersPerStage - 1,
			Accelerator: fmt.Sprintf("kind-%d", i%6),
		})
	}
	return out
}

// newTestRouter returns a running router that calls the fake engines.
func newTestRouter(f *fakeEngines, m Metrics, list []wire.Instance, workspaces int) *Router {
	r := New(Options{Engines: f, Metrics: m, Logger: zap.NewNop(), RoutePolicy: route.PolicyCost, Seed: 1})
	r.Configure(testConfig(workspaces))
	r.SetInstances(list)
	return r
}

// textSink collects the tokens in the order of their arrival.
type textSink struct {
	texts []string
	// fail, if set, is called before each token; an error ends the request.
	fail func(position int) error
}

// Token implements Sink.
func (s *textSink) Token(t attempt.Token) error {
	if s.fail != nil {
		if err := s.fail(len(s.texts)); err != nil {
			return err
		}
	}
	s.texts = append(s.texts, t.Text)
	return nil
}
