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

func hops(n int) []Hop {
	var out []Hop
	for i := range n {
		out = append(out, Hop{ReplicaID: fmt.Sprint("r", i), FirstLayer: i, LastLayer: i})
	}
	return out
}

func find[T Effect](effects []Effect) (T, bool) {
	for _, e := range effects {
		if t, ok := e.(T); ok {
			return t, true
		}
	}
	var zero T
	return zero, false
}

// answer returns the right answer to a step on a route of n hops. Token IDs
// are the position plus 100.
func answer(s Send, n int) Answered {
	a := Answered{Asked: s.Step, Reported: s.Step}
	if s.Step.Stage == n-1 {
		a.Token = &Token{ID: 100 + s.Step.Position}
		return a
	}
	a.Hidden = []byte{1}
	return a
}

// TestExhaustion counts failures and refusals apart.
func TestExhaustion(t *testing.T) {
	m := New(Config{RequestID: "q", MaxFailures: 1, MaxRefusals: 3, MaxTokens: 1})
	m.Start()
	for range 3 {
		s, _ := find[Send](m.Step(Routed{Hops: hops(1)}))
		_, again := find[Route](m.Step(Refused{Asked: s.Step}))
		require.True(t, again)
	}
	s, _ := find[Send](m.Step(Routed{Hops: hops(1)}))
	f, ended := find[Finish](m.Step(Failed{Asked: s.Step}))
	require.True(t, ended)
	require.Equal(t, execution.Unknown, f.Outcome.Execution)
}

// TestRandomHistories drives a machine with answers, late and foreign answers,
// refusals, failures and silence in any order.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stages := rapid.IntRange(1, 4).Draw(t, "stages")
		maxTokens := rapid.IntRange(1, 5).Draw(t, "tokens")
		m := New(Config{RequestID: "q", MaxFailures: rapid.IntRange(1, 5).Draw(t, "failures"), MaxRefusals: rapid.IntRange(0, 3).Draw(t, "refusals"), MaxTokens: maxTokens})
		pending := m.Start()
		var sent []Send
		var probe *Probe
		var finish *Finish
		var open *Send // the step that an upstream has not yet refused or answered
		routeAsked, emitted := false, 0
		accepted := false
		apply := func(effects []Effect) {
			for _, e := range effects {
				require.Nil(t, finish, "an effect follows Finish: %T", e)
				switch e := e.(type) {
				case Route:
					routeAsked = true
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
			switch rapid.SampledFrom([]string{"answer", "answer", "answer", "answer", "old", "foreign", "refuse", "fail", "silent", "probed", "malformed", "leave"}).Draw(t, "event") {
			case "answer":
				if routeAsked {
					ev, routeAsked = Routed{Hops: hops(stages)}, false
				} else if open != nil {
					ev = answer(*open, stages)
					accepted = true
				}
			case "old":
				if len(sent) > 1 {
					apply(m.Step(answer(sent[rapid.IntRange(0, len(sent)-2).Draw(t, "which")], stages)))
				}
			case "foreign":
				if open != nil {
					a := answer(*open, stages)
					a.Reported.RequestID = "other"
					ev = a
					accepted = true
				}
			case "malformed":
				if open != nil {
					ev = Answered{Asked: open.Step, Reported: open.Step}
					accepted = true
				}
			case "refuse":
				if open != nil {
					accepted = accepted || open.Resend
					ev = Refused{Asked: open.Step}
				}
			case "fail":
				if open != nil {
					ev = Failed{Asked: open.Step}
					accepted = true
				}
			case "silent":
				if open != nil {
					ev = Silent{Asked: open.Step}
				}
			case "probed":
				if probe != nil && open != nil && probe.Step == open.Step {
					ev = Probed{Asked: probe.Step, Alive: rapid.Bool().Draw(t, "alive")}
					accepted = true
				}
			case "leave":
				if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
					ev = Cancelled{}
				}
			}
			if ev == nil {
				continue
			}
			switch ev.(type) {
			case Answered, Refused, Failed:
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
			require.False(t, accepted, "not_run although an upstream may have run a step")
		}
	})
}

// checkSend requires that a step follows the last one without a gap, or that
// it begins an attempt with every token generated so far.
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
			require.True(t, s.Resend, "a step was sent twice without the mark")
		}
	}
}

func TestResumeKeepsPositions(t *testing.T) {
	m := New(Config{RequestID: "q", MaxFailures: 3, MaxTokens: 3})
	m.Start()
	effects := m.Step(Routed{Hops: hops(1)})
	first, _ := find[Send](effects)
	effects = m.Step(answer(first, 1))
	second, _ := find[Send](effects)
	require.Equal(t, 1, second.Step.Position)
	effects = m.Step(Failed{Asked: second.Step})
	route, ok := find[Route](effects)
	require.True(t, ok)
	require.Equal(t, []string{"r0"}, route.Exclude)
	require.True(t, route.Retry)
	resumed, _ := find[Send](m.Step(Routed{Hops: []Hop{{ReplicaID: "r9"}}}))
	require.True(t, resumed.Prefill)
	require.Equal(t, []int{100}, resumed.Tokens)
	late := m.Step(answer(second, 1))
	drop, ok := find[Drop](late)
	require.True(t, ok)
	require.Equal(t, DropLate, drop.Kind)
}

func TestRefusedEverywhereIsNotRun(t *testing.T) {
	m := New(Config{RequestID: "q", MaxFailures: 1, MaxRefusals: 1, MaxTokens: 1})
	m.Start()
	for range 2 {
		s, ok := find[Send](m.Step(Routed{Hops: hops(2)}))
		require.True(t, ok)
		effects := m.Step(Refused{Asked: s.Step, Reason: "leaving"})
		if f, ok := find[Finish](effects); ok {
			require.Equal(t, execution.NotRun, f.Outcome.Execution)
			return
		}
	}
	t.Fatal("no outcome")
}
