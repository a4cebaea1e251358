package router

import (
	"strconv"
	"sync"
	"time"

	"masticbank.example/core/poison"
)

// poisonTracker tracks requests that crash replicas. It is safe for concurrent use.
type poisonTracker struct {
	mu        sync.Mutex
	tracker   *poison.Tracker
	retention time.Duration
	// onCrash is called after a crash was recorded; it may be nil.
	onCrash func()
}

func newPoisonTracker(retention time.Duration, onCrash func()) *poisonTracker {
	return &poisonTracker{tracker: poison.NewTracker(retention), retention: retention, onCrash: onCrash}
}

// configure sets how long evidence is kept. A change discards the existing evidence.
func (p *poisonTracker) configure(retention time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if retention == p.retention {
		return
	}
	p.retention = retention
	p.tracker = poison.NewTracker(retention)
}

// fingerprintOf returns the fingerprint of a request. It includes the workspace, so
// that no client can cause requests of other workspaces to be blocked.
func fingerprintOf(req *Request) poison.Fingerprint {
	return poison.FingerprintOf(req.Model, req.Prompt, strconv.Itoa(req.MaxTokens), req.Workspace)
}

func (p *poisonTracker) blocked(f poison.Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.IsBlocked(time.Now(), f)
}

// recordCrash records that a replica crashed while it ran steps of the given requests.
func (p *poisonTracker) recordCrash(replica string, candidates []poison.Fingerprint) {
	p.record(replica, candidates...)
}

// stopAfterCrash records that a step of a request was lost in the crash of a replica.
// It reports whether the request must not run again.
func (p *poisonTracker) stopAfterCrash(replica string, f poison.Fingerprint) bool {
	return p.record(replica, f)[0] == poison.Stop
}

func (p *poisonTracker) record(replica string, candidates ...poison.Fingerprint) []poison.Decision {
	p.mu.Lock()
	decisions := p.tracker.RecordCrash(time.Now(), replica, candidates...)
	p.mu.Unlock()
	if p.onCrash != nil {
		p.onCrash()
	}
	return decisions
}

func (p *poisonTracker) recordCompletion(f poison.Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordCompletion(time.Now(), f)
}

func (p *poisonTracker) recordPlacement(f poison.Fingerprint, replicas []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.SetPlacement(f, replicas)
}

func (p *poisonTracker) replicasToAvoid(f poison.Fingerprint) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.ReplicasToAvoid(f)
}

// BlockedFingerprints returns the blocked fingerprints to send to peers.
func (r *Router) BlockedFingerprints() []poison.Block {
	r.poison.mu.Lock()
	defer r.poison.mu.Unlock()
	return r.poison.tracker.BlocksToShare(time.Now())
}

// PendingCrashEvidence returns the crash evidence that this instance found since the
// last call.
func (r *Router) PendingCrashEvidence() poison.Evidence {
	r.poison.mu.Lock()
	defer r.poison.mu.Unlock()
	return r.poison.tracker.DrainUpdates()
}

// MergeCrashEvidence merges the crash evidence of a peer.
func (r *Router) MergeCrashEvidence(s poison.Evidence) {
	r.poison.mu.Lock()
	defer r.poison.mu.Unlock()
	r.poison.tracker.Merge(time.Now(), s)
}

// BlockFingerprint blocks a fingerprint that a peer reported, for the time ttl.
func (r *Router) BlockFingerprint(f poison.Fingerprint, ttl time.Duration) {
	r.poison.mu.Lock()
	defer r.poison.mu.Unlock()
	now := time.Now()
	r.poison.tracker.AddPeerBlock(now, f, now.Add(ttl))
}
