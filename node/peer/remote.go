package peer

import (
	"context"
	"slices"
	"sync"
)

// remote is the record of one peer. Its fields are guarded by Node.mu, except
// notifyMu and notifiedUp, which notifyMu guards.
type remote struct {
	id      string
	address string
	zone    string
	// wanted is true while the peer is in the set passed to SetPeers.
	wanted bool
	// cancelDial ends the dialing loop; nil if none is running.
	cancelDial context.CancelFunc
	// disconnected holds a token after the session has ended.
	disconnected chan struct{}

	session *session
	// openSessions holds the sessions that have not ended yet. All except
	// session are being closed.
	openSessions []*session
	// ending counts the sessions that have ended and whose end is not notified yet.
	ending int
	// lastSession is the ID of the last session that ended here.
	lastSession uint64
	// latestProcess is the process number of the last registered session. It
	// never decreases.
	latestProcess uint64
	// endedTotals is the sum over the sessions that have ended.
	endedTotals counters

	// notifyMu serializes the calls of PeerUp and PeerDown.
	notifyMu sync.Mutex
	// notifiedUp is true between PeerUp and PeerDown.
	notifiedUp bool
}

func (r *remote) stopDialing() {
	if r.cancelDial != nil {
		r.cancelDial()
		r.cancelDial = nil
	}
}

// totals returns the sum over all sessions with the peer, ended and open.
func (r *remote) totals() counters {
	sum := r.endedTotals
	for _, s := range r.openSessions {
		sum.add(s.counters())
	}
	return sum
}

// addPeer starts dialing p or updates its address. The caller must hold n.mu.
func (n *Node) addPeer(p Peer) {
	r := n.findOrAddRemote(p.ID)
	r.address, r.zone = p.Address, p.Zone
	r.wanted = true
	if r.cancelDial != nil {
		return
	}
	ctx, cancel := context.WithCancel(n.openCtx)
	r.cancelDial = cancel
	n.tasks.Go(func() { n.dialLoop(ctx, r) })
}

// removePeer stops dialing r and returns the session to close, or nil. The
// caller must hold n.mu.
func (n *Node) removePeer(r *remote) *session {
	r.stopDialing()
	r.wanted = false
	n.deleteIfUnused(r)
	if r.session != nil && r.session.dialed {
		return r.session
	}
	return nil
}

// deleteIfUnused deletes the record of a peer that is not wanted and has no
// open or ending session: the end of one would be taken for that of a later
// record of the peer. The caller must hold n.mu.
func (n *Node) deleteIfUnused(r *remote) {
	if !r.wanted && len(r.openSessions) == 0 && r.ending == 0 {
		delete(n.remotes, r.id)
	}
}

// findOrAddRemote returns the record of the peer with the given ID and creates
// it if needed. The caller must hold n.mu.
func (n *Node) findOrAddRemote(id string) *remote {
	r := n.remotes[id]
	if r == nil {
		r = &remote{id: id, disconnected: make(chan struct{}, 1)}
		n.remotes[id] = r
	}
	return r
}

// register makes s the current session with its peer, unless the existing one
// is preferred. It returns the peer's record and the session replaced by s.
func (n *Node) register(s *session) (r *remote, replaced *session, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	existing := n.remotes[s.remoteID]
	if n.closed || !n.mayRegister(s, existing) {
		return nil, nil, false
	}
	r = n.findOrAddRemote(s.remoteID)
	replaced = r.session
	r.session = s
	r.openSessions = append(r.openSessions, s)
	r.latestProcess = s.process
	return r, replaced, true
}

// mayRegister reports whether s may become the current session with its peer.
func (n *Node) mayRegister(s *session, existing *remote) bool {
	if existing == nil {
		return !s.dialed && len(n.remotes) < n.options.MaxSessions
	}
	if s.dialed && !existing.wanted {
		return false
	}
	return s.process >= existing.latestProcess && n.prefer(s, existing.session)
}

// prefer reports whether session s replaces old. Both ends make the same
// decision, so that one session remains when both dial at the same time: the
// one dialed by the lower ID. A session that its dialer has
// already closed never prevents a new one.
func (n *Node) prefer(s, old *session) bool {
	switch {
	case old == nil:
		return true
	case s.process > old.process:
		return true
	case s.previous == old.id:
		return true
	case s.dialed == old.dialed:
		return true
	default:
		return s.dialed == (n.options.ID < s.remoteID)
	}
}

// unregister removes s from the record of its peer after it has ended.
// notifyDown must follow.
func (n *Node) unregister(r *remote, s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.ending++
	r.lastSession = s.id
	r.endedTotals.add(s.counters())
	r.openSessions = slices.DeleteFunc(r.openSessions, func(other *session) bool { return other == s })
	if r.session != s {
		return
	}
	r.session = nil
	select {
	case r.disconnected <- struct{}{}:
	default:
	}
}

// notifyUp calls PeerUp if s is still the current session with its peer.
func (n *Node) notifyUp(r *remote, s *session) {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	if n.currentSession(r.id) != s {
		return
	}
	r.notifiedUp = true
	info, _ := s.snapshot()
	n.options.Handler.PeerUp(info)
}

// notifyDown calls PeerDown unless another session has replaced s.
func (n *Node) notifyDown(r *remote, s *session) {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	if n.currentSession(r.id) == nil && r.notifiedUp {
		r.notifiedUp = false
		info, _ := s.snapshot()
		n.options.Handler.PeerDown(info)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	r.ending--
	n.deleteIfUnused(r)
}
