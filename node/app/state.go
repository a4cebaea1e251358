package app

import (
	"sync/atomic"
)

// state holds what decides whether the instance serves.
type state struct {
	revision atomic.Uint64
	listed   atomic.Bool
	leaving  atomic.Bool
}

// ready tells whether callers are served, and why not. An instance that leaves
// still serves the requests that reach it.
func (s *state) ready() (bool, string) {
	if s.revision.Load() == 0 {
		return false, "no configuration: neither the log nor a peer has given one"
	}
	if !s.listed.Load() {
		return false, "the platform's instance list was not read yet"
	}
	return true, ""
}

// advertised tells whether the balancer is to send new requests, and why not.
func (s *state) advertised() (bool, string) {
	if s.leaving.Load() {
		return false, "the instance is leaving"
	}
	return s.ready()
}
