package httpserver

import (
	"context"
	"time"
)

// waitFlushed waits until the responses of all returned handlers are written or ctx
// ends.
func (s *Server) waitFlushed(ctx context.Context) {
	ticker := time.NewTicker(defaultCheckPeriod)
	defer ticker.Stop()
	for s.removeFlushed() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// removeFlushed removes the connections whose responses are completely written from
// unflushed and returns the number of the remaining ones.
func (s *Server) removeFlushed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.unflushed {
		if s.flushedLocked(c, now) {
			delete(s.unflushed, c)
		}
	}
	return len(s.unflushed)
}

// watchConnections cancels requests whose connection was closed. It polls the
// connections, because nbio runs its close callback on the connection's job queue, and
// so only after the handler that should be canceled.
func (s *Server) watchConnections(ctx context.Context) {
	defer close(s.watchDone)
	ticker := time.NewTicker(s.opts.ClosedCheckPeriod)
	defer ticker.Stop()
	last := time.Now()
	idleChecked := last
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			last = s.reportDelay(last)
			s.cancelClosed()
			s.removeFlushed()
			if s.draining.Load() {
				s.closeIdleConnections()
			}
			if last.Sub(idleChecked) >= min(idleCheckPeriod, s.opts.IdleTimeout/4) {
				s.closeExpiredConnections(last)
				s.rejectSlowHeads(last)
				idleChecked = last
			}
		}
	}
}

// reportDelay reports a check that runs late after the last one, and returns its time.
func (s *Server) reportDelay(last time.Time) time.Time {
	now := time.Now()
	delay := now.Sub(last) - s.opts.ClosedCheckPeriod
	s.checkDelay.Store(int64(max(delay, 0)))
	if delay > reportedDelay && s.opts.OnDelay != nil {
		s.opts.OnDelay(delay)
	}
	return now
}

func (s *Server) cancelClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, cancel := range s.requests {
		if closed, cause := c.IsClosed(); closed {
			cancel(cause)
			s.noteEndLocked(c)
			delete(s.requests, c)
		}
	}
}
