package attempt

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/execution"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func testStages(count int) []Stage {
	var out []Stage
	for i := range count {
		out = append(out, Stage{ReplicaID: fmt.Sprint("r", i), FirstLayer: i, LastLayer: i})
	}
	return out
}

func findEffect[T Effect](effects []Effect) (T, bool) {
	for _, e := range effects {
		if t, ok := e.(T); ok {
			return t, true
		}
	}
	var zero T
	return zero, false
}

// validResponse returns the expected response to a step on a path with the given number
// of stages. Token IDs are the position plus 100.
func validResponse(s Send, stages int) Responded {
	r := Responded{Step: s.Step, Reported: s.Step}
	if s.Step.Stage == stages-1 {
		r.Token = &Token{ID: 100 + s.Step.Position}
		return r
	}
	r.Hidden = []byte{1}
	return r
}

func TestFailuresAndRefusalsAreCountedSeparately(t *testing.T) {
	m := New(Config{RequestID: "q", MaxFailures: 1, MaxRefusals: 3, MaxTokens: 1})
	m.Start()
	for range 3 {
		s, _ := findEffect[Send](m.Step(Routed{Stages: testStages(1)}))
		_, again := findEffect[Route](m.Step(Refused{Step: s.Step}))
		require.True(t, again)
	}
	s, _ := findEffect[Send](m.Step(Routed{Stages: testStages(1)}))
	f, ended := findEffect[Finish](m.Step(Failed{Step: s.Step}))
	require.True(t, ended)
	require.Equal(t, execution.Unknown, f.Outcome.Execution)
}

// TestRandomHistories drives a machine with valid, late, mismatched and malformed
// responses, refusals, failures and timeouts in random order, and checks the invariants
// of the package.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stages := rapid.IntRange(1, 4).Draw(t, "stages")
		maxTokens := rapid.IntRange(1, 5).Draw(t, "tokens")
		m := New(Config{RequestID: "q", MaxFailures: rapid.IntRange(1, 5).Draw(t, "failures"), MaxRefusals: rapid.IntRange(0, 3).Draw(t, "refusals"), MaxTokens: maxTokens})
		pending := m.Start()
		var sent []Send
		var probe *Probe
		var finish *Finish
		var open *Send // step without a response, refusal or failure so far
		routeRequested, emitted := false, 0
		mayHaveRun := false
		apply := func(effects []Effect) {
			for _, e := range effects {
				require.Nil(t, finish, "an effect follows Finish: %T", e)
				switch e := e.(type) {
				case Route:
					routeRequested = true
				case Send:
					checkSend(t, e, emitted, sent)
					sent = append(sent, e)
					open = &e
				case Probe:
					probe = &e
				case Emit:
					require.Equal(t, emitted, e.Position)
					require.Equal(t, 100+emitted, e.Token.ID)
					emitted++
				case Finish:
					finish = &e
				}
			}
		}
		apply(pending)
		for range 60 {
			if finish != nil {
				break
			}
			var ev Event
			switch rapid.SampledFrom([]string{"response", "response", "response", "response", "late", "mismatched", "refuse", "fail", "unresponsive", "probed", "malformed", "cancel"}).Draw(t, "event") {
			case "response":
				if routeRequested {
					ev, routeRequested = Routed{Stages: testStages(stages)}, false
				} else if open != nil {
					ev = validResponse(*open, stages)
					mayHaveRun = true
				}
			case "late":
				if len(sent) > 1 {
					apply(m.Step(validResponse(sent[rapid.IntRange(0, len(sent)-2).Draw(t, "which")], stages)))
				}
			case "mismatched":
				if open != nil {
					r := validResponse(*open, stages)
					r.Reported.RequestID = "other"
					ev = r
					mayHaveRun = true
				}
			case "malformed":
				if open != nil {
					ev = Responded{Step: open.Step, Reported: open.Step}
					mayHaveRun = true
				}
			case "refuse":
				if open != nil {
					mayHaveRun = mayHaveRun || open.Resend
					ev = Refused{Step: open.Step}
				}
			case "fail":
				if open != nil {
					ev = Failed{Step: open.Step}
					mayHaveRun = true
				}
			case "unresponsive":
				if open != nil {
					ev = Unresponsive{Step: open.Step}
				}
			case "probed":
				if probe != nil && open != nil && probe.Step == open.Step {
					ev = Probed{Step: probe.Step, Alive: rapid.Bool().Draw(t, "alive")}
					mayHaveRun = true
				}
			case "cancel":
				if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 {
					ev = Cancelled{}
				}
			}
			if ev == nil {
				continue
			}
			switch ev.(type) {
			case Responded, Refused, Failed:
				open = nil
			}
			apply(m.Step(ev))
		}
		if finish == nil {
			return
		}
		require.Equal(t, emitted, finish.Outcome.Tokens)
		if finish.Outcome.Complete {
			require.Equal(t, maxTokens, emitted)
			require.Equal(t, execution.Ran, finish.Outcome.Execution)
		}
		if emitted > 0 {
			require.Equal(t, execution.Ran, finish.Outcome.Execution)
		}
		if finish.Outcome.Execution == execution.NotRun {
			require.False(t, mayHaveRun, "not_run although an upstream may have executed a step")
		}
	})
}

// checkSend checks that a step continues at the next position, or that it starts an
// attempt with every token generated so far.
func checkSend(t *rapid.T, s Send, emitted int, sent []Send) {
	require.Equal(t, emitted, s.Step.Position)
	if s.Step.Stage > 0 {
		require.NotEmpty(t, s.Hidden)
		return
	}
	if s.Prefill {
		require.Len(t, s.Tokens, emitted)
	} else {
		require.Equal(t, []int{99 + emitted}, s.Tokens)
	}
	for _, old := range sent {
		if old.Step == s.Step {
			require.True(t, s.Resend, "a step was sent twice without Resend")
		}
	}
}

func TestResumeKeepsPositions(t *testing.T) {
	m := New(Config{RequestID: "q", MaxFailures: 3, MaxTokens: 3})
	m.Start()
	effects := m.Step(Routed{Stages: testStages(1)})
	first, _ := findEffect[Send](effects)
	effects = m.Step(validResponse(first, 1))
	second, _ := findEffect[Send](effects)
	require.Equal(t, 1, second.Step.Position)
	effects = m.Step(Failed{Step: second.Step})
	route, ok := findEffect[Route](effects)
	require.True(t, ok)
	require.Equal(t, []string{"r0"}, route.Exclude)
	require.True(t, route.Retry)
	resumed, _ := findEffect[Send](m.Step(Routed{Stages: []Stage{{ReplicaID: "r9"}}}))
	require.True(t, resumed.Prefill)
	require.Equal(t, []int{100}, resumed.Tokens)
	late := m.Step(validResponse(second, 1))
	discarded, ok := findEffect[Discard](late)
	require.True(t, ok)
	require.Equal(t, DiscardLate, discarded.Reason)
}

func TestRefusedEverywhereIsNotRun(t *testing.T) {
	m := New(Config{RequestID: "q", MaxFailures: 1, MaxRefusals: 1, MaxTokens: 1})
	m.Start()
	for range 2 {
		s, ok := findEffect[Send](m.Step(Routed{Stages: testStages(2)}))
		require.True(t, ok)
		effects := m.Step(Refused{Step: s.Step, Reason: "leaving"})
		if f, ok := findEffect[Finish](effects); ok {
			require.Equal(t, execution.NotRun, f.Outcome.Execution)
			return
		}
	}
	t.Fatal("no outcome")
}
