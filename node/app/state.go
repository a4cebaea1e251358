package app

import (
	"sync/atomic"
)

// state holds the conditions of the instance's readiness.
type state struct {
	revision      atomic.Uint64 // of the active configuration; 0 before the first
	instancesRead atomic.Bool   // the platform's instance list was read
	leaving       atomic.Bool   // shutdown has started
}

// ready reports whether clients are served, and if not, why. An instance that is
// shutting down still serves the requests that reach it.
func (s *state) ready() (bool, string) {
	if s.revision.Load() == 0 {
		return false, "no configuration: neither the log nor a peer has given one"
	}
	if !s.instancesRead.Load() {
		return false, "the platform's instance list was not read yet"
	}
	return true, ""
}

// acceptsRequests reports whether the load balancer should send new requests, and if
// not, why.
func (s *state) acceptsRequests() (bool, string) {
	if s.leaving.Load() {
		return false, "the instance is leaving"
	}
	return s.ready()
}
