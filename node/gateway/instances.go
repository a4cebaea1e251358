package gateway

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/pipeline"
)

// sharingLocked describes how the replicas are shared. The lock is held.
func (g *Gateway) sharingLocked() pipeline.Sharing {
	return pipeline.Sharing{Random: rand.Float64, Instances: g.instances, Uninformed: !g.informed}
}

// informedShare is the share of the other instances whose load an instance knows when it counts as
// informed. Those of its own zone tell it directly, which may be a third of all; the sums of the other
// zones come some seconds later, when the zones' relays know each other.
const informedShare = 0.25

// uninformedLimit is how long after its start an instance may count as uninformed: the requests that the
// others ran then have ended, and replicas' own reports tell the rest.
const uninformedLimit = 8 * time.Second

// setInformed records of how many other instances the load is known. An instance stays informed, as
// instances that end leave no load.
func (g *Gateway) setInformed(included int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.started) > uninformedLimit {
		included = g.instances
	}
	if g.informed || g.instances == 0 || float64(included) < informedShare*float64(g.instances-1) {
		return
	}
	g.informed = true
	for _, p := range g.models {
		p.setSharing(g.sharingLocked())
	}
}

// Instances returns the number of entry instances; 0 while unknown.
func (g *Gateway) Instances() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances
}

// SetInstances sets the number of entry instances that share the work.
func (g *Gateway) SetInstances(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n < 1 {
		return
	}
	if n != g.instances {
		g.instances = n
		g.informed = g.informed || n == 1 // there is no load of others
		for _, p := range g.models {
			p.setSharing(g.sharingLocked())
		}
	}
	first := g.share.Instances() == 0
	if !g.share.SetInstances(time.Now(), n) {
		return
	}
	if first && g.opts.FirstStart {
		clear(g.budgets) // recreated on demand with a full bucket
	}
	g.configureBudgets()
}

// configureBudgets applies this instance's current share to its budgets. The lock is held.
func (g *Gateway) configureBudgets() {
	share := g.share.Config()
	g.opts.Metrics.SetRetryShare(share, g.share.Instances())
	g.log.Info("retry share changed", zap.Int("instances", g.share.Instances()), zap.Int("now", g.instances), zap.Float64("burst", share.Burst),
		zap.Float64("per_second", share.MinPerSecond), zap.Float64("ratio", share.Ratio))
	now := time.Now()
	for _, b := range g.budgets {
		b.Configure(now, share)
	}
}
