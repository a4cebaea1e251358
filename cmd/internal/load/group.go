package load

import (
	"time"
)

// grouping aggregates samples by rank, workspace and flow.
type grouping struct {
	windows    []window
	all        *groupBuilder
	ranks      map[string]*groupBuilder
	workspaces map[string]*groupBuilder
	flows      map[string]*groupBuilder
}

func newGrouping(windows []window) *grouping {
	return &grouping{
		windows:    windows,
		all:        newGroupBuilder(),
		ranks:      make(map[string]*groupBuilder),
		workspaces: make(map[string]*groupBuilder),
		flows:      make(map[string]*groupBuilder),
	}
}

// buildersOf returns the builders of all groups that a request belongs to.
func (g *grouping) buildersOf(a *arrival) []*groupBuilder {
	pick := func(m map[string]*groupBuilder, name string) *groupBuilder {
		if m[name] == nil {
			m[name] = newGroupBuilder()
		}
		return m[name]
	}
	return []*groupBuilder{
		g.all, pick(g.ranks, a.rank()), pick(g.workspaces, a.workspace), pick(g.flows, a.flow.Name),
	}
}

func (g *grouping) add(s *sample) {
	for _, b := range g.buildersOf(s.arrival) {
		b.add(s)
	}
}

// addTokens adds the good tokens of a request that were received within the
// windows.
func (g *grouping) addTokens(s *sample) {
	n := 0
	s.eachToken(func(at time.Duration, tokens int) {
		for _, w := range g.windows {
			if at >= w.from && at < w.to {
				n += tokens
			}
		}
	})
	if n == 0 {
		return
	}
	for _, b := range g.buildersOf(s.arrival) {
		b.tokens += n
	}
}

// eachToken calls f with the receive time, from the start of the run, of each token
// of a request that completed within its deadline. All tokens of a response that is
// not streamed have the same time.
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

// groupBuilder accumulates the samples of one Group.
type groupBuilder struct {
	out        Group
	tokens     int
	firstToken []time.Duration
	gaps       []time.Duration
	total      []time.Duration
}

func newGroupBuilder() *groupBuilder {
	return &groupBuilder{out: Group{
		Outcomes:   make(map[Outcome]int),
		Statuses:   make(map[string]int),
		Executions: make(map[string]int),
		Details:    make(map[string]int),
	}}
}

func (b *groupBuilder) add(s *sample) {
	b.out.Requests++
	b.out.Outcomes[s.outcome]++
	b.out.Statuses[statusName(s.status)]++
	if s.execution == "" {
		s.execution = labelNone
	}
	b.out.Executions[s.execution]++
	b.out.DemandTokens += s.demandTokens()
	b.out.GoodTokens += s.goodTokens()
	if s.inTime() {
		b.out.InTime++
	}
	if s.outcome != Completed {
		b.addDetail(s.detail)
		return
	}
	if s.isStream() {
		b.firstToken = append(b.firstToken, s.firstToken)
	}
	b.total = append(b.total, s.total)
	b.gaps = append(b.gaps, s.gaps...)
}

func (b *groupBuilder) addDetail(detail string) {
	if detail == "" {
		detail = labelNone
	}
	if _, known := b.out.Details[detail]; !known && len(b.out.Details) >= maxDetails {
		detail = labelOther
	}
	b.out.Details[detail]++
}

func (b *groupBuilder) build(windows []window) Group {
	seconds := 0.0
	for _, w := range windows {
		seconds += (w.to - w.from).Seconds()
	}
	if seconds > 0 {
		b.out.GoodputTokensPerSecond = float64(b.tokens) / seconds
	}
	b.out.FirstToken = distributionOf(b.firstToken)
	b.out.BetweenTokens = distributionOf(b.gaps)
	b.out.Total = distributionOf(b.total)
	return b.out
}
