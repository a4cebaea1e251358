package peer

import (
	"context"
	"slices"
	"sync"
)

// remote is all that is kept about one peer. Its fields are guarded by Node.mu,
// but for notify and up.
type remote struct {
	id      string
	address string
	zone    string
	// wanted is true while SetPeers names the peer.
	wanted bool
	// stop ends the dialing loop, nil when none runs.
	stop context.CancelFunc
	// wake has a token when the session has ended.
	wake chan struct{}

	session *session
	// open holds the sessions that have not ended yet; all but session are
	// about to end.
	open []*session
	// lastSession is the last session that has ended here.
	lastSession uint64
	// incarnation is the highest that the peer has shown.
	incarnation uint64
	// ended sums up the sessions that have ended.
	ended counters

	// notify orders the calls of PeerUp and PeerDown.
	notify sync.Mutex
	// up is true after PeerUp and before PeerDown.
	up bool
}

func (r *remote) stopDialing() {
	if r.stop != nil {
		r.stop()
		r.stop = nil
	}
}

// total sums up all sessions with the peer.
func (r *remote) total() counters {
	sum := r.ended
	for _, s := range r.open {
		sum.add(s.counters())
	}
	return sum
}

// want starts or updates the dialing of p. The caller holds n.mu.
func (n *Node) want(p Peer) {
	r := n.remoteFor(p.ID)
	r.address, r.zone = p.Address, p.Zone
	r.wanted = true
	if r.stop != nil {
		return
	}
	ctx, cancel := context.WithCancel(n.opening)
	r.stop = cancel
	n.tasks.Go(func() { n.dialLoop(ctx, r) })
}

// unwant stops the dialing of r and returns the session to close, or nil. The
// caller holds n.mu.
func (n *Node) unwant(r *remote) *session {
	r.stopDialing()
	r.wanted = false
	n.dropUnused(r)
	if r.session != nil && r.session.dialed {
		return r.session
	}
	return nil
}

// dropUnused deletes a record that nothing needs. The caller holds n.mu.
func (n *Node) dropUnused(r *remote) {
	if !r.wanted && len(r.open) == 0 {
		delete(n.remotes, r.id)
	}
}

// remoteFor returns the record of the peer id. The caller holds n.mu.
func (n *Node) remoteFor(id string) *remote {
	r := n.remotes[id]
	if r == nil {
		r = &remote{id: id, wake: make(chan struct{}, 1)}
		n.remotes[id] = r
	}
	return r
}

// register makes s the session with its peer, unless the present one is to be
// kept. It returns the record and the session that s replaces.
func (n *Node) register(s *session) (r *remote, replaced *session, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.remotes[s.remoteID]
	if n.closed || !n.admits(s, known) {
		return nil, nil, false
	}
	r = n.remoteFor(s.remoteID)
	replaced = r.session
	r.session = s
	r.open = append(r.open, s)
	r.incarnation = s.incarnation
	return r, replaced, true
}

func (n *Node) admits(s *session, known *remote) bool {
	if known == nil {
		return !s.dialed && len(n.remotes) < n.options.MaxSessions
	}
	if s.dialed && !known.wanted {
		return false
	}
	return s.incarnation >= known.incarnation && n.prefer(s, known.session)
}

// prefer tells whether the session s takes the place of old. Both ends come to
// the same answer, so that one session is left when both dial at once: the one
// that the lower ID dialed. A session that its dialer has given up never stands
// in the way of a new one.
func (n *Node) prefer(s, old *session) bool {
	switch {
	case old == nil:
		return true
	case s.incarnation > old.incarnation:
		return true
	case s.previous == old.id:
		return true
	case s.dialed == old.dialed:
		return true
	default:
		return s.dialed == (n.options.ID < s.remoteID)
	}
}

// unregister forgets s after its end.
func (n *Node) unregister(r *remote, s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.lastSession = s.id
	r.ended.add(s.counters())
	r.open = slices.DeleteFunc(r.open, func(other *session) bool { return other == s })
	if r.session != s {
		return
	}
	r.session = nil
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// notifyUp calls PeerUp if s is still the session with its peer.
func (n *Node) notifyUp(r *remote, s *session) {
	r.notify.Lock()
	defer r.notify.Unlock()
	if n.current(r.id) != s {
		return
	}
	r.up = true
	info, _ := s.snapshot()
	n.options.Handler.PeerUp(info)
}

// notifyDown calls PeerDown if no session has taken the place of s.
func (n *Node) notifyDown(r *remote, s *session) {
	r.notify.Lock()
	defer r.notify.Unlock()
	if n.current(r.id) == nil && r.up {
		r.up = false
		info, _ := s.snapshot()
		n.options.Handler.PeerDown(info)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropUnused(r)
}
