package router

import (
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/health"
)

// reporter drives the health state machines of upstreams and reports their events to
// the log and the metrics. It is safe for concurrent use.
type reporter struct {
	log     *zap.Logger
	metrics Metrics
}

// actions performs the effects of the health state machine of one upstream. Its
// methods are called with the lock held that guards the state machine.
type actions interface {
	// probe checks in the background whether the upstream responds.
	probe(e health.Probe)
	// replaceConnection closes a connection that is unresponsive or broken.
	replaceConnection(number uint64)
	// setWeight sets the share of new work, from 0 to 1.
	setWeight(weight float64)
	// failAttempts cancels the open attempts on an unresponsive upstream.
	failAttempts()
	// remove deletes the upstream.
	remove()
}

// step passes an event to the state machine of the upstream id and performs the
// resulting effects. It reports whether the upstream's share of work changed. The
// caller must hold the lock that guards h.
func (r reporter) step(id string, h *health.Upstream, e health.Event, a actions) bool {
	changed := false
	for _, effect := range h.Step(time.Now(), e) {
		switch effect := effect.(type) {
		case health.Probe:
			a.probe(effect)
		case health.ReplaceConnection:
			r.metrics.ConnectionReplaced(id)
			a.replaceConnection(effect.Connection)
		case health.SetWeight:
			a.setWeight(effect.Weight)
			changed = true
		case health.FailAttempts:
			a.failAttempts()
		case health.Eject:
			r.log.Warn("upstream ejected", zap.String("upstream", id), zap.Time("until", effect.Until))
			r.metrics.Ejected(id)
		case health.AnnounceLeaving:
			r.log.Info("upstream is leaving", zap.String("upstream", id))
			r.metrics.UpstreamLeaving(id)
		case health.Remove:
			a.remove()
			changed = true
		}
	}
	return changed
}
