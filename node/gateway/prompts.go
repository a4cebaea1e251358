package gateway

import "time"

// recordPrompt counts a whole response by the size of its prompt and whether its first event and each
// further one were in time. Routes that state no objective are not counted.
func (s *stream) recordPrompt() {
	first, pause := s.route.LatencyObjective, s.route.EventGapObjective
	if first <= 0 && pause <= 0 {
		return
	}
	within := func(d, objective time.Duration) bool { return objective <= 0 || d <= objective }
	long := s.demand.Prompt > s.service.Model.MeanPromptTokens
	s.g.opts.Metrics.CountPrompt(long, within(s.firstEvent, first) && within(s.longestGap, pause))
}
