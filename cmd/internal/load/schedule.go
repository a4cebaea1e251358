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

// arrival is one scheduled request.
type arrival struct {
	// at is the intended send time, measured from the start of the run.
	at        time.Duration
	phase     int
	flow      *Flow
	workspace string
	prompt    string
	maxTokens int
	// orderKey is the idempotency key of an order, without the prefix of the run.
	orderKey string
	// repeated is true for the second transmission of an order.
	repeated bool
}

// maxRepeatDelay is the upper limit of the random delay after which an order is
// sent again.
const maxRepeatDelay = time.Second

// schedule returns all arrivals in chronological order. The result depends on the
// scenario only.
func (s *Scenario) schedule() []arrival {
	var all []arrival
	start := time.Duration(0)
	for i, p := range s.Phases {
		for _, r := range p.Rates {
			random := s.randomSource(p.Name, r.Flow)
			all = append(all, s.poissonArrivals(random, i, start, s.flow(r.Flow), r.PerSecond)...)
		}
		start += p.Duration
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// randomSource returns a random number generator for one flow in one phase. Each
// pair has its own, so that changing one flow does not change the arrivals of the
// others.
func (s *Scenario) randomSource(phase, flow string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(phase + "\x00" + flow))
	return rand.New(rand.NewPCG(s.Seed, h.Sum64()))
}

// poissonArrivals draws the arrivals of one flow in one phase, with exponentially
// distributed intervals.
func (s *Scenario) poissonArrivals(random *rand.Rand, phase int, start time.Duration, f *Flow, rate float64) []arrival {
	var out []arrival
	end := start + s.Phases[phase].Duration
	at := start
	for rate > 0 {
		wait := random.ExpFloat64() / rate
		if wait >= (end - at).Seconds() {
			break
		}
		at += time.Duration(wait * float64(time.Second))
		a := f.drawArrival(random, phase, at)
		if f.Kind == Order {
			a.orderKey = fmt.Sprintf("%s-%s-%d", s.Phases[phase].Name, f.Name, len(out))
		}
		out = append(out, a)
		if f.Kind == Order && random.Float64() < f.RepeatFraction {
			a.at += time.Duration(random.Float64() * float64(maxRepeatDelay))
			a.repeated = true
			out = append(out, a)
		}
	}
	return out
}

// drawArrival draws the workspace, the token limit and the prompt of one request.
func (f *Flow) drawArrival(random *rand.Rand, phase int, at time.Duration) arrival {
	a := arrival{at: at, phase: phase, flow: f, workspace: f.drawWorkspace(random)}
	a.maxTokens = f.MaxTokens.draw(random)
	a.prompt = f.drawPrompt(random, a.workspace)
	return a
}

func (r Range) draw(random *rand.Rand) int {
	return r.Min + random.IntN(r.Max-r.Min+1)
}

func (f *Flow) drawWorkspace(random *rand.Rand) string {
	total := 0.0
	for _, s := range f.Shares {
		total += s.Weight
	}
	point := random.Float64() * total
	for _, s := range f.Shares {
		if point -= s.Weight; point < 0 {
			return s.Workspace
		}
	}
	return f.Shares[len(f.Shares)-1].Workspace
}

// drawPrompt returns a random prompt that begins with the shared prefix of the
// workspace.
func (f *Flow) drawPrompt(random *rand.Rand, workspace string) string {
	size := f.PromptBytes.draw(random)
	var b strings.Builder
	for b.Len() < min(f.SharedPrefix, size) {
		b.WriteString(workspace + " ")
	}
	for b.Len() < size {
		b.WriteString(promptWords[random.IntN(len(promptWords))])
	}
	return b.String()[:size]
}

var promptWords = []string{
	"timber ", "mesh ", "hutch ", "quote ", "price ", "delivery ", "licence ", "script ",
	"casting ", "staging ", "hire ", "play ", "season ", "catalogue ", "order ", "date ",
}
