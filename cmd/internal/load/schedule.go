package load

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// arrival is one request to send.
type arrival struct {
	// at is the intended time from the start of the run.
	at        time.Duration
	phase     int
	flow      *Flow
	workspace string
	prompt    string
	maxTokens int
	// orderKey is the idempotency key of an order, without the run's prefix.
	orderKey string
	// repeated is true for the second sending of an order.
	repeated bool
}

// maxRepeatDelay bounds the time after which an order is sent again.
const maxRepeatDelay = time.Second

// schedule returns all arrivals in order of time. It depends on the scenario
// only.
func (s *Scenario) schedule() []arrival {
	var all []arrival
	start := time.Duration(0)
	for i, p := range s.Phases {
		for _, r := range p.Rates {
			source := s.source(p.Name, r.Flow)
			all = append(all, s.poisson(source, i, start, s.flow(r.Flow), r.PerSecond)...)
		}
		start += p.Duration
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// source returns the random source of one flow in one phase, so that changing
// one flow leaves the others as they are.
func (s *Scenario) source(phase, flow string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(phase + "\x00" + flow))
	return rand.New(rand.NewPCG(s.Seed, h.Sum64()))
}

// poisson draws the arrivals of one flow in one phase: the times between them
// are exponentially distributed.
func (s *Scenario) poisson(source *rand.Rand, phase int, start time.Duration, f *Flow, rate float64) []arrival {
	var out []arrival
	end := start + s.Phases[phase].Duration
	at := start
	for rate > 0 {
		wait := source.ExpFloat64() / rate
		if wait >= (end - at).Seconds() {
			break
		}
		at += time.Duration(wait * float64(time.Second))
		a := f.draw(source, phase, at)
		if f.Kind == Order {
			a.orderKey = fmt.Sprintf("%s-%s-%d", s.Phases[phase].Name, f.Name, len(out))
		}
		out = append(out, a)
		if f.Kind == Order && source.Float64() < f.Repeat {
			a.at += time.Duration(source.Float64() * float64(maxRepeatDelay))
			a.repeated = true
			out = append(out, a)
		}
	}
	return out
}

// draw returns one request of a flow.
func (f *Flow) draw(source *rand.Rand, phase int, at time.Duration) arrival {
	a := arrival{at: at, phase: phase, flow: f, workspace: f.drawWorkspace(source)}
	a.maxTokens = f.MaxTokens.draw(source)
	a.prompt = f.drawPrompt(source, a.workspace)
	return a
}

func (r Range) draw(source *rand.Rand) int {
	return r.Min + source.IntN(r.Max-r.Min+1)
}

func (f *Flow) drawWorkspace(source *rand.Rand) string {
	total := 0.0
	for _, s := range f.Shares {
		total += s.Weight
	}
	point := source.Float64() * total
	for _, s := range f.Shares {
		if point -= s.Weight; point < 0 {
			return s.Workspace
		}
	}
	return f.Shares[len(f.Shares)-1].Workspace
}

// drawPrompt returns a prompt that begins as all prompts of the workspace.
func (f *Flow) drawPrompt(source *rand.Rand, workspace string) string {
	size := f.PromptBytes.draw(source)
	var b strings.Builder
	for b.Len() < min(f.SharedPrefix, size) {
		b.WriteString(workspace + " ")
	}
	for b.Len() < size {
		b.WriteString(promptWords[source.IntN(len(promptWords))])
	}
	return b.String()[:size]
}

var promptWords = []string{
	"timber ", "mesh ", "hutch ", "quote ", "price ", "delivery ", "licence ", "script ",
	"casting ", "staging ", "hire ", "play ", "season ", "catalogue ", "order ", "date ",
}
