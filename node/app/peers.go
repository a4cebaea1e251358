package app

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"masticbank.example/core/demand"
	"masticbank.example/core/membership"
	"masticbank.example/core/neighbor"
	"masticbank.example/core/poison"
	"masticbank.example/core/record"
	"masticbank.example/node/metrics"
	"masticbank.example/node/peer"
	"masticbank.example/node/peer/peerpb"
	"masticbank.example/node/peer/sharing"
	"masticbank.example/node/wire"
)

const (
	// digestBytesPerSecond bounds what digests cost an instance, over all peers
	// together.
	digestBytesPerSecond = 5000
	// poisonPeriod is the time between two looks for fingerprints to tell.
	poisonPeriod = 250 * time.Millisecond
	// poisonRepeat is the time after which a fingerprint is told again.
	poisonRepeat = 30 * time.Second
)

// startPeers opens the listener for other entry instances, if one is set.
func (a *App) startPeers(ctx context.Context) error {
	s := a.opts.Settings
	if s.Listen.Peers == "" {
		return nil
	}
	n, err := peer.New(peer.Options{
		ID:      s.Instance.ID,
		Zone:    s.Instance.Zone,
		Listen:  s.Listen.Peers,
		Key:     []byte(s.Peers.Key),
		Logger:  a.log,
		Handler: &peerHandler{app: a},
	})
	if err != nil {
		return err
	}
	a.peers = n
	a.neighbors = neighbor.NewChooser(neighbor.DefaultLimits())
	a.sharer = sharing.New(sharing.Options{
		ID: s.Instance.ID, Peers: n, Pools: a.router, Logger: a.log,
		OnMember: func(membership.Changed) { a.setEntries() },
		Teller:   tellerConfig(s.Peers.DigestPeriod),
	})
	a.run(ctx, a.sharer.Run)
	a.run(ctx, a.sharePoison)
	return n.Start()
}

// tellerConfig returns how often digests are told. The longest time between two
// is not below the least.
func tellerConfig(period time.Duration) demand.TellerConfig {
	return demand.TellerConfig{
		MinPeriod:      period,
		MaxPeriod:      max(period, demand.DefaultMaxPeriod),
		BytesPerSecond: digestBytesPerSecond,
	}
}

// setEntries tells the router which instances dispatch to the upstreams.
func (a *App) setEntries() {
	var live []string
	for _, m := range a.sharer.Members() {
		if m.State == membership.Ready || m.ID == a.opts.Settings.Instance.ID {
			live = append(live, m.ID)
		}
	}
	a.router.SetEntries(live)
	a.metrics.Set(metrics.Peers, int64(len(live)-1))
}

// sharePoison tells the peers of requests that crash upstreams, each when it is
// found and again from time to time, as messages may be lost.
func (a *App) sharePoison(ctx context.Context) error {
	ticker := time.NewTicker(poisonPeriod)
	defer ticker.Stop()
	told := map[poison.Fingerprint]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if news := a.router.PoisonNews(); !news.Empty() {
				a.broadcast(peer.EncodeEvidence(news, now))
			}
			a.tellPoison(now, told)
		}
	}
}

// tellPoison tells the blocks that were not told within poisonRepeat.
func (a *App) tellPoison(now time.Time, told map[poison.Fingerprint]time.Time) {
	blocks := a.router.PoisonBlocks()
	current := map[poison.Fingerprint]bool{}
	for _, b := range blocks {
		current[b.Fingerprint] = true
		if now.Sub(told[b.Fingerprint]) < poisonRepeat {
			continue
		}
		told[b.Fingerprint] = now
		a.broadcast(poisonMessage(b, now))
	}
	for f := range told {
		if !current[f] {
			delete(told, f)
		}
	}
}

func poisonMessage(b poison.Block, now time.Time) *peerpb.Poison {
	return &peerpb.Poison{Fingerprint: b.Fingerprint[:], TtlMs: uint32(b.Expiry.Sub(now).Milliseconds())}
}

// wakeSharer asks for a new computation of the shares when a request waits.
func (a *App) wakeSharer() {
	if a.sharer != nil {
		a.sharer.Wake()
	}
}

// setPeerState tells the peers the state of this instance.
func (a *App) setPeerState(state membership.State, told peerpb.InstanceState) {
	if a.peers == nil {
		return
	}
	a.sharer.SetState(state)
	a.peers.SetState(told)
}

// setPeers keeps sessions with the neighbours among the entry instances of the
// platform's list.
func (a *App) setPeers(list []wire.Instance) {
	if a.peers == nil {
		return
	}
	a.sharer.SetList(list)
	candidates := a.sharer.Candidates()
	all := make([]neighbor.Instance, 0, len(candidates))
	byID := make(map[string]membership.Member, len(candidates))
	for _, m := range candidates {
		all = append(all, neighbor.Instance{ID: m.ID, Zone: m.Zone})
		byID[m.ID] = m
	}
	self := neighbor.Instance{ID: a.opts.Settings.Instance.ID, Zone: a.opts.Settings.Instance.Zone}
	var peers []peer.Peer
	for _, id := range a.neighbors.Choose(self, all) {
		m := byID[id]
		peers = append(peers, peer.Peer{ID: m.ID, Address: m.Address, Zone: m.Zone})
	}
	a.peers.SetPeers(peers)
}

// shareState offers the accepted configuration to the peers.
func (a *App) shareState() {
	if a.peers == nil || a.follower == nil {
		return
	}
	s := a.follower.State()
	content, err := encodeState(s)
	if err != nil {
		a.log.Error("configuration state cannot be encoded", zap.Error(err))
		return
	}
	a.peers.SetConfigState(&peerpb.ConfigState{Revision: s.Revision, AsOfOffset: s.Next, Content: content})
	a.setPeerState(membership.Ready, peerpb.InstanceState_INSTANCE_STATE_READY)
}

// peerHandler receives what peers send.
type peerHandler struct {
	peer.NopHandler
	app *App
}

// PeerUp implements peer.Handler. A new session gets what was told before it.
func (h *peerHandler) PeerUp(info peer.Info) {
	now := time.Now()
	for _, b := range h.app.router.PoisonBlocks() {
		if err := h.app.peers.Send(info.ID, poisonMessage(b, now)); err != nil {
			h.app.log.Warn("poison fingerprint cannot be sent", zap.String("peer", info.ID), zap.Error(err))
			return
		}
	}
}

// Heard implements peer.Handler.
func (h *peerHandler) Heard(info peer.Info) { h.app.sharer.Heard(info) }

// Digest implements peer.Handler.
func (h *peerHandler) Digest(_ string, d *peerpb.Digest) { h.app.sharer.Digest(d) }

// Poison implements peer.Handler.
func (h *peerHandler) Poison(_ string, p *peerpb.Poison) {
	var f poison.Fingerprint
	if len(p.GetFingerprint()) != len(f) {
		return
	}
	copy(f[:], p.GetFingerprint())
	h.app.router.LearnPoison(f, time.Duration(p.GetTtlMs())*time.Millisecond)
}

// CrashEvidence implements peer.Handler.
func (h *peerHandler) CrashEvidence(_ string, m *peerpb.CrashEvidence) {
	h.app.router.LearnPoisonEvidence(peer.DecodeEvidence(m, time.Now()))
}

// ConfigState implements peer.Handler.
func (h *peerHandler) ConfigState(from string, state *peerpb.ConfigState) {
	r, err := record.Decode(state.GetContent())
	if err != nil || r.Snapshot == nil {
		h.app.log.Warn("configuration state of a peer cannot be decoded", zap.String("peer", from), zap.Error(err))
		return
	}
	if h.app.follower != nil && h.app.follower.Offer(*r.Snapshot) {
		h.app.log.Info("configuration taken from a peer", zap.String("peer", from), zap.Uint64("revision", r.Snapshot.Revision))
	}
}

// Leaving implements peer.Handler.
func (h *peerHandler) Leaving(_ string, l *peerpb.Leaving) {
	h.app.router.MarkLeaving(l.GetUpstream())
}

// Drain implements admin.Instance.
func (a *App) Drain(upstream string) (instances int, known bool) {
	if !a.router.MarkLeaving(upstream) {
		return 0, false
	}
	return a.broadcast(&peerpb.Leaving{Upstream: upstream}) + 1, true
}

// announceLeaving tells the peers that an upstream leaves.
func (a *App) announceLeaving(upstream string) {
	a.broadcast(&peerpb.Leaving{Upstream: upstream})
}

// broadcast sends a message to every peer and returns their number.
func (a *App) broadcast(m proto.Message) int {
	if a.peers == nil {
		return 0
	}
	n, err := a.peers.Broadcast(m)
	if err != nil {
		a.log.Error("message to peers cannot be sent", zap.Error(err))
	}
	return n
}
