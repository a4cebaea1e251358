package app

import (
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"masticbank.example/core/record"
	"masticbank.example/node/peer"
	"masticbank.example/node/peer/peerpb"
	"masticbank.example/node/wire"
)

// startPeers opens the listener for other entry instances, if one is set.
func (a *App) startPeers() error {
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
	return n.Start()
}

// setPeers keeps sessions with the entry instances of the platform's list.
func (a *App) setPeers(list []wire.Instance) {
	if a.peers == nil {
		return
	}
	var peers []peer.Peer
	for _, in := range list {
		if in.Role == wire.RoleEntry && in.ID != a.opts.Settings.Instance.ID {
			peers = append(peers, peer.Peer{ID: in.ID, Address: in.Address, Zone: in.Zone})
		}
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
	a.peers.SetState(peerpb.InstanceState_INSTANCE_STATE_READY)
}

// peerHandler receives what peers send.
type peerHandler struct {
	peer.NopHandler
	app *App
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
func (a *App) Drain(upstream string) int {
	a.router.MarkLeaving(upstream)
	return a.broadcast(&peerpb.Leaving{Upstream: upstream}) + 1
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
