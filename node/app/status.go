package app

import (
	"masticbank.example/core/revision"
	"masticbank.example/node/admin"
	"masticbank.example/node/peer/peerpb"
	"masticbank.example/node/router"
)

var _ admin.Instance = (*App)(nil)

// AcceptsRequests implements admin.Instance.
func (a *App) AcceptsRequests() (bool, string) { return a.state.acceptsRequests() }

// Status implements admin.Instance.
func (a *App) Status() admin.Status {
	ready, reason := a.state.acceptsRequests()
	s := admin.Status{
		Instance: a.opts.Settings.Instance.ID,
		Zone:     a.opts.Settings.Instance.Zone,
		Version:  a.opts.Version,
		Ready:    ready,
		Reason:   reason,
		Revision: a.state.revision.Load(),
		InFlight: a.clientServer.InFlight(),
		Blocked:  len(a.router.BlockedFingerprints()),
	}
	for _, p := range a.router.Status() {
		s.Pools = append(s.Pools, poolStatus(p))
	}
	if a.follower != nil {
		s.LogReason = a.logReason()
	}
	s.Peers = a.peerStatus()
	return s
}

// reasonLogUnavailable is the log reason of an instance that already has a
// configuration while the log is unavailable.
const reasonLogUnavailable = "the log is unavailable; the configuration in force stays"

// logReason returns why the log cannot be followed at present, or "" if it can.
func (a *App) logReason() string {
	_, reason := a.follower.Ready()
	if reason == string(revision.ReasonUnavailable) && a.state.revision.Load() > 0 {
		return reasonLogUnavailable
	}
	return reason
}

func (a *App) peerStatus() []admin.PeerStatus {
	if a.peers == nil {
		return nil
	}
	var out []admin.PeerStatus
	for _, p := range a.peers.Peers() {
		out = append(out, admin.PeerStatus{
			ID:            p.ID,
			Zone:          p.Zone,
			Connected:     p.Connected,
			State:         stateName(p.State),
			Revision:      p.Revision,
			BytesSent:     p.BytesSent,
			BytesReceived: p.BytesReceived,
		})
	}
	return out
}

func stateName(s peerpb.InstanceState) string {
	switch s {
	case peerpb.InstanceState_INSTANCE_STATE_JOINING:
		return "joining"
	case peerpb.InstanceState_INSTANCE_STATE_READY:
		return "ready"
	case peerpb.InstanceState_INSTANCE_STATE_LEAVING:
		return "leaving"
	default:
		return "unknown"
	}
}

func poolStatus(p router.PoolStatus) admin.PoolStatus {
	s := admin.PoolStatus{
		Name:     p.Name,
		Kind:     p.Kind,
		Slots:    p.Queue.Slots,
		InFlight: p.Queue.InFlight,
		Queued:   p.Queue.Queued,
	}
	for _, u := range p.Upstreams {
		s.Upstreams = append(s.Upstreams, admin.UpstreamStatus{
			ID:       u.ID,
			Address:  u.Address,
			Zone:     u.Zone,
			Layers:   u.Layers,
			State:    upstreamState(u),
			Slots:    u.Slots,
			InFlight: u.InFlight,
		})
	}
	return s
}

func upstreamState(u router.UpstreamStatus) string {
	switch {
	case u.Leaving:
		return "leaving"
	case u.Weight == 0:
		return "ejected"
	case u.Weight < 1:
		return "returning"
	default:
		return "live"
	}
}
