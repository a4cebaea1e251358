package gateway

import (
	"time"

	"go.uber.org/zap"
)

// RoomStatus is what an instance knows of the room of one model service.
type RoomStatus struct {
	// Waiting is the number of requests that wait for a path, Late of them cannot be in time any more.
	Waiting int `json:"waiting"`
	Late    int `json:"late"`
	// Hopeless counts the late requests that were refused before their callers would have left.
	Hopeless uint64 `json:"hopeless"`
	// UseFactor corrects the reckoned use of KV cache, Links is the use of the links between zones.
	UseFactor float64 `json:"use_factor"`
	Links     float64 `json:"links"`
	// FirstEventMS and ResponseMS are the usual times from a path to the first event and the end.
	FirstEventMS int64 `json:"first_event_ms"`
	ResponseMS   int64 `json:"response_ms"`
}

// roomStatus returns the status of the pool.
func (p *modelPool) roomStatus(now time.Time) RoomStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return RoomStatus{
		Waiting: p.waiting.Len(), Late: p.waiting.Late(), Hopeless: p.hopeless,
		UseFactor: p.fleet.UseFactor(now), Links: p.fleet.LinkUtilization(now),
		FirstEventMS: p.firstEvents.mean.Milliseconds(), ResponseMS: p.responses.mean.Milliseconds(),
	}
}

// reportRoom updates the metrics of each model service and logs those in which requests wait.
func (g *Gateway) reportRoom(now time.Time) {
	for _, p := range g.modelPools() {
		s := p.roomStatus(now)
		g.opts.Metrics.SetRoom(p.name, s)
		if s.Waiting > 0 {
			g.log.Info("requests wait for room", zap.String("service", p.name), zap.Int("waiting", s.Waiting), zap.Int("late", s.Late),
				zap.Float64("use_factor", s.UseFactor), zap.Float64("links", s.Links),
				zap.Int64("first_event_ms", s.FirstEventMS), zap.Int64("response_ms", s.ResponseMS))
		}
	}
}
