package follower

// Subscription delivers new revisions.
type Subscription struct {
	// C delivers the latest revision. Older ones that were not received are discarded.
	C         <-chan *Revision
	revisions chan *Revision
	follower  *Follower
}

// Subscribe returns a Subscription whose first value is the current revision, if there is
// one.
func (f *Follower) Subscribe() *Subscription {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := make(chan *Revision, 1)
	s := &Subscription{C: c, revisions: c, follower: f}
	f.subscribers[s] = struct{}{}
	if r := f.current.Load(); r != nil {
		s.replace(r)
	}
	return s
}

// Close ends the Subscription. C is not closed.
func (s *Subscription) Close() {
	s.follower.mu.Lock()
	defer s.follower.mu.Unlock()
	delete(s.follower.subscribers, s)
}

// replace replaces the value that is buffered in C. The follower's lock is held.
func (s *Subscription) replace(r *Revision) {
	select {
	case <-s.revisions:
	default:
	}
	s.revisions <- r
}
