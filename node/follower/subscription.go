package follower

// Subscription delivers new revisions.
type Subscription struct {
	// C yields the latest revision; older ones that were not taken are dropped.
	C        <-chan *Revision
	c        chan *Revision
	follower *Follower
}

// Subscribe returns a Subscription whose first value is the current revision, if
// any.
func (f *Follower) Subscribe() *Subscription {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := make(chan *Revision, 1)
	s := &Subscription{C: c, c: c, follower: f}
	f.subscribers[s] = struct{}{}
	if r := f.current.Load(); r != nil {
		s.put(r)
	}
	return s
}

// Close ends the Subscription. C is not closed.
func (s *Subscription) Close() {
	s.follower.mu.Lock()
	defer s.follower.mu.Unlock()
	delete(s.follower.subscribers, s)
}

// put replaces the value waiting in C. The follower's lock is held.
func (s *Subscription) put(r *Revision) {
	select {
	case <-s.c:
	default:
	}
	s.c <- r
}
