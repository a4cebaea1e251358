package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"masticbank.example/core/forward"
)

// awaitResend waits until a begun answer that a replica rejected may be sent again.
func (s *stream) awaitResend(ctx context.Context, outcome forward.Outcome) {
	if outcome != forward.Rejected || !s.headSent {
		s.rejections = 0
		return
	}
	s.rejections++
	next := s.runAt.Add(forward.ResendPause(s.rejections, rand.Float64()))
	if limit := s.waitLimit(); next.After(limit) {
		next = limit
	}
	t := time.NewTimer(time.Until(next))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
