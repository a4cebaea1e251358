package load

import (
	"time"
)

// grouping collects samples by rank, workspace and flow.
type grouping struct {
	covered    []window
	all        *builder
	ranks      map[string]*builder
	workspaces map[string]*builder
	flows      map[string]*builder
}

func newGrouping(covered []window) *grouping {
	return &grouping{
		covered:    covered,
		all:        newBuilder(),
		ranks:      make(map[string]*builder),
		workspaces: make(map[string]*builder),
		flows:      make(map[string]*builder),
	}
}

// of returns the builders that a request belongs to.
func (g *grouping) of(a *arrival) []*builder {
	pick := func(m map[string]*builder, name string) *builder {
		if m[name] == nil {
			m[name] = newBuilder()
		}
		return m[name]
	}
	return []*builder{
		g.all, pick(g.ranks, a.rank()), pick(g.workspaces, a.workspace), pick(g.flows, a.flow.Name),
	}
}

func (g *grouping) add(s *sample) {
	for _, b := range g.of(s.arrival) {
		b.add(s)
	}
}

// addTokens counts the tokens in time that came within the windows covered.
func (g *grouping) addTokens(s *sample) {
	n := 0
	s.eachToken(func(at time.Duration, tokens int) {
		for _, w := range g.covered {
			if at >= w.from && at < w.to {
				n += tokens
			}
		}
	})
	if n == 0 {
		return
	}
	for _, b := range g.of(s.arrival) {
		b.tokens += n
	}
}

// eachToken calls f with the time of each token of a request in time, from the
// start of the run. A whole answer's tokens come together.
func (s *sample) eachToken(f func(at time.Duration, tokens int)) {
	if s.goodTokens() == 0 {
		return
	}
	if !s.isStream() {
		f(s.arrival.at+s.total, s.tokens)
		return
	}
	at := s.arrival.at + s.firstToken
	f(at, 1)
	for _, gap := range s.gaps {
		at += gap
		f(at, 1)
	}
}

// builder collects the samples of one Group.
type builder struct {
	out    Group
	tokens int
	first  []time.Duration
	gaps   []time.Duration
	total  []time.Duration
}

func newBuilder() *builder {
	return &builder{out: Group{
		Outcomes:   make(map[Outcome]int),
		Statuses:   make(map[string]int),
		Executions: make(map[string]int),
		Details:    make(map[string]int),
	}}
}

func (b *builder) add(s *sample) {
	b.out.Requests++
	b.out.Outcomes[s.outcome]++
	b.out.Statuses[statusName(s.status)]++
	if s.execution == "" {
		s.execution = none
	}
	b.out.Executions[s.execution]++
	b.out.DemandTokens += s.demand()
	b.out.GoodTokens += s.goodTokens()
	if s.inTime() {
		b.out.InTime++
	}
	if s.outcome != Completed {
		b.addDetail(s.detail)
		return
	}
	if s.isStream() {
		b.first = append(b.first, s.firstToken)
	}
	b.total = append(b.total, s.total)
	b.gaps = append(b.gaps, s.gaps...)
}

func (b *builder) addDetail(detail string) {
	if detail == "" {
		detail = none
	}
	if _, known := b.out.Details[detail]; !known && len(b.out.Details) >= maxReasons {
		detail = otherReason
	}
	b.out.Details[detail]++
}

func (b *builder) group(covered []window) Group {
	seconds := 0.0
	for _, w := range covered {
		seconds += (w.to - w.from).Seconds()
	}
	if seconds > 0 {
		b.out.GoodputTokensPerSecond = float64(b.tokens) / seconds
	}
	b.out.FirstToken = distributionOf(b.first)
	b.out.BetweenTokens = distributionOf(b.gaps)
	b.out.Total = distributionOf(b.total)
	return b.out
}
