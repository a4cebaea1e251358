package router

import (
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/health"
)

// reporter steps the state machines of upstreams and tells the log and the
// metrics what happens to them. It is safe for concurrent use.
type reporter struct {
	log     *zap.Logger
	metrics Metrics
}

// actions carries out what the state machine of one upstream asks for. Its
// methods are called under the lock that guards the state machine.
type actions interface {
	// probe asks the upstream in the background whether it answers.
	probe(e health.Probe)
	// replaceConnection closes a connection that is silent or broken.
	replaceConnection(number uint64)
	// setWeight sets the share of new work, 0 to 1.
	setWeight(weight float64)
	// failAttempts ends the open attempts, as the upstream does not answer.
	failAttempts()
	// remove forgets the upstream.
	remove()
}

// step feeds one event to the state machine of the upstream id and carries out
// its effects. It tells whether the upstream's share of work changed. The caller
// holds the lock that guards h.
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
			r.log.Info("upstream leaves", zap.String("upstream", id))
			r.metrics.Leaving(id)
		case health.Remove:
			a.remove()
			changed = true
		}
	}
	return changed
}
