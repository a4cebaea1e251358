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
	// digestBytesPerSecond limits the bandwidth that an instance spends on sending
	// digests, summed over all peers.
	digestBytesPerSecond = 5000
	// poisonCheckPeriod is the interval between checks for blocks and clearances to send to
	// the peers. Evidence of crashes is sent at once.
	poisonCheckPeriod = 250 * time.Millisecond
	// poisonResendPeriod is the interval after which a blocked fingerprint is sent
	// again, as a message may have been lost.
	poisonResendPeriod = 30 * time.Second
)

// startPeers starts the connections to other entry instances if listen.peers is
// set.
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
		Logger:  a.logger,
		Handler: &peerHandler{app: a},
	})
	if err != nil {
		return err
	}
	a.peers = n
	a.neighbors = neighbor.NewChooser(neighbor.DefaultLimits())
	a.sharer = sharing.New(sharing.Options{
		ID: s.Instance.ID, Peers: n, Pools: a.router, Logger: a.logger,
		OnMemberChange: func(membership.StateChange) { a.updateEntryInstances() },
		Publisher:      publisherConfig(s.Peers.DigestPeriod),
	})
	a.runInGroup(ctx, a.sharer.Run)
	a.runInGroup(ctx, a.sharePoison)
	return n.Start()
}

// publisherConfig returns the limits on how often digests are published. MaxPeriod is
// raised to MinPeriod when the configured period exceeds the default.
func publisherConfig(period time.Duration) demand.PublisherConfig {
	return demand.PublisherConfig{
		MinPeriod:      period,
		MaxPeriod:      max(period, demand.DefaultMaxPeriod),
		BytesPerSecond: digestBytesPerSecond,
	}
}

// updateEntryInstances passes the IDs of the entry instances that dispatch to the
// upstreams, this one included, to the router.
func (a *App) updateEntryInstances() {
	var live []string
	for _, m := range a.sharer.Members() {
		if m.State == membership.Ready || m.ID == a.opts.Settings.Instance.ID {
			live = append(live, m.ID)
		}
	}
	a.router.SetEntryInstances(live)
	a.metrics.Set(metrics.Peers, int64(len(live)-1))
}

// sharePoison sends the fingerprints of requests that crash upstreams to the peers
// when they are found, and blocked ones again every poisonResendPeriod, as messages may
// be lost.
func (a *App) sharePoison(ctx context.Context) error {
	ticker := time.NewTicker(poisonCheckPeriod)
	defer ticker.Stop()
	sentAt := map[poison.Fingerprint]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.newCrash:
			a.sendCrashEvidence()
		case now := <-ticker.C:
			a.sendCrashEvidence() // clearances as well
			a.sendPoisonBlocks(now, sentAt)
		}
	}
}

// sendCrashEvidence sends the evidence that this instance found since the last call.
func (a *App) sendCrashEvidence() {
	if evidence := a.router.PendingCrashEvidence(); !evidence.Empty() {
		a.broadcast(peer.EncodeEvidence(evidence, time.Now()))
	}
}

// sendPoisonBlocks sends the blocks that were not sent within poisonResendPeriod. It
// records the times of sending in sentAt and removes expired blocks from it.
func (a *App) sendPoisonBlocks(now time.Time, sentAt map[poison.Fingerprint]time.Time) {
	blocks := a.router.BlockedFingerprints()
	current := map[poison.Fingerprint]bool{}
	for _, b := range blocks {
		current[b.Fingerprint] = true
		if now.Sub(sentAt[b.Fingerprint]) < poisonResendPeriod {
			continue
		}
		sentAt[b.Fingerprint] = now
		a.broadcast(poisonMessage(b, now))
	}
	for f := range sentAt {
		if !current[f] {
			delete(sentAt, f)
		}
	}
}

func poisonMessage(b poison.Block, now time.Time) *peerpb.Poison {
	return &peerpb.Poison{Fingerprint: b.Fingerprint[:], TtlMs: uint32(b.Expiry.Sub(now).Milliseconds())}
}

// wakePoisonSharing makes sharePoison send the evidence of a crash at once.
func (a *App) wakePoisonSharing() {
	select {
	case a.newCrash <- struct{}{}:
	default:
	}
}

// wakeSharer triggers a new computation of the capacity shares. The router calls it
// when a request has to wait.
func (a *App) wakeSharer() {
	if a.sharer != nil {
		a.sharer.Wake()
	}
}

// setPeerState publishes the state of this instance to the peers.
func (a *App) setPeerState(state membership.State, peerState peerpb.InstanceState) {
	if a.peers == nil {
		return
	}
	a.sharer.SetState(state)
	a.peers.SetState(peerState)
}

// setPeers chooses the neighbors of this instance among the entry instances of the
// platform's list and maintains sessions with them.
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

// shareConfigState makes the accepted configuration available to the peers and reports
// this instance as ready to them.
func (a *App) shareConfigState() {
	if a.peers == nil || a.follower == nil {
		return
	}
	s := a.follower.State()
	content, err := encodeState(s)
	if err != nil {
		a.logger.Error("failed to encode configuration state", zap.Error(err))
		return
	}
	a.peers.SetConfigState(&peerpb.ConfigState{Revision: s.Revision, AsOfOffset: s.Next, Content: content})
	a.setPeerState(membership.Ready, peerpb.InstanceState_INSTANCE_STATE_READY)
}

// peerHandler handles the messages of peers.
type peerHandler struct {
	peer.NopHandler
	app *App
}

// PeerUp implements peer.Handler. It sends all blocked fingerprints over the new
// session, as the peer has missed earlier broadcasts.
func (h *peerHandler) PeerUp(info peer.Info) {
	now := time.Now()
	for _, b := range h.app.router.BlockedFingerprints() {
		if err := h.app.peers.Send(info.ID, poisonMessage(b, now)); err != nil {
			h.app.logger.Warn("failed to send poison fingerprint", zap.String("peer", info.ID), zap.Error(err))
			return
		}
	}
}

// MessageReceived implements peer.Handler.
func (h *peerHandler) MessageReceived(info peer.Info) { h.app.sharer.PeerReceived(info) }

// Digest implements peer.Handler.
func (h *peerHandler) Digest(_ string, d *peerpb.Digest) { h.app.sharer.Digest(d) }

// Poison implements peer.Handler.
func (h *peerHandler) Poison(_ string, p *peerpb.Poison) {
	var f poison.Fingerprint
	if len(p.GetFingerprint()) != len(f) {
		return
	}
	copy(f[:], p.GetFingerprint())
	h.app.router.BlockFingerprint(f, time.Duration(p.GetTtlMs())*time.Millisecond)
}

// CrashEvidence implements peer.Handler.
func (h *peerHandler) CrashEvidence(_ string, m *peerpb.CrashEvidence) {
	h.app.router.MergeCrashEvidence(peer.DecodeEvidence(m, time.Now()))
}

// ConfigState implements peer.Handler.
func (h *peerHandler) ConfigState(from string, state *peerpb.ConfigState) {
	r, err := record.Decode(state.GetContent())
	if err != nil || r.Snapshot == nil {
		h.app.logger.Warn("failed to decode configuration state of a peer", zap.String("peer", from), zap.Error(err))
		return
	}
	if h.app.follower != nil && h.app.follower.MergePeerState(*r.Snapshot) {
		h.app.logger.Info("configuration accepted from a peer", zap.String("peer", from), zap.Uint64("revision", r.Snapshot.Revision))
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

// announceLeaving informs the peers that an upstream is leaving.
func (a *App) announceLeaving(upstream string) {
	a.broadcast(&peerpb.Leaving{Upstream: upstream})
}

// broadcast sends a message to every peer and returns the number of peers.
func (a *App) broadcast(m proto.Message) int {
	if a.peers == nil {
		return 0
	}
	n, err := a.peers.Broadcast(m)
	if err != nil {
		a.logger.Error("failed to broadcast message to peers", zap.Error(err))
	}
	return n
}
