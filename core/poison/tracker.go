package poison

import (
	"slices"
	"time"
)

// Tracker keeps recent crashes and the blocked fingerprints. Its memory is bounded; the
// oldest entries are evicted first. It is not safe for concurrent use.
type Tracker struct {
	retention time.Duration
	// crashes are in the order of their first report. They are kept for twice the retention
	// period, because a crash counts until one retention period after the candidate's next
	// one.
	crashes    []*crash
	candidates map[Fingerprint]*candidate
	// peerBlocks maps fingerprints blocked by peers to the expiry of the block.
	peerBlocks map[Fingerprint]time.Time
	// cleared maps fingerprints that completed while they were blocked to the time until
	// which blocks of peers are ignored for them.
	cleared map[Fingerprint]time.Time
	// updates holds observations of this instance that were not sent yet.
	updates Evidence
}

// candidate is a fingerprint that was running on a replica when it crashed.
type candidate struct {
	crashes []*crash
	// placedOn are the replicas that run the fingerprint now.
	placedOn []string
}

// last returns the time of the last crash.
func (cand *candidate) last() time.Time {
	last := cand.crashes[0].at
	for _, c := range cand.crashes {
		last = later(last, c.at)
	}
	return last
}

// NewTracker returns an empty tracker that discards crashes after the retention period.
func NewTracker(retention time.Duration) *Tracker {
	return &Tracker{
		retention:  retention,
		candidates: make(map[Fingerprint]*candidate),
		peerBlocks: make(map[Fingerprint]time.Time),
		cleared:    make(map[Fingerprint]time.Time),
	}
}

// RecordCrash records that a replica crashed while it ran a step of each of the given
// fingerprints, and returns a decision for each. Reports about one replica within
// crashWindow (2 s) belong to the same crash. Reporting all candidates in one call gives
// better decisions, because only reported candidates are compared.
func (t *Tracker) RecordCrash(now time.Time, replica string, candidates ...Fingerprint) []Decision {
	t.expireCrashes(now)
	c := t.crashOf(now, replica)
	for _, f := range candidates {
		if t.addCandidate(c, f) {
			t.queueUpdate(Crash{Fingerprint: f, Process: Process{Replica: replica}, At: now})
		}
	}
	decisions := make([]Decision, len(candidates))
	for i, f := range candidates {
		decisions[i] = t.decide(now, f)
	}
	return decisions
}

// queueUpdate adds a crash to the updates to send.
func (t *Tracker) queueUpdate(c Crash) {
	if len(t.updates.Crashes) < MaxEvidence {
		t.updates.Crashes = append(t.updates.Crashes, c)
	}
}

// DrainUpdates returns the observations of this instance since the last call.
func (t *Tracker) DrainUpdates() Evidence {
	updates := t.updates
	t.updates = Evidence{}
	return updates
}

// Merge adds the observations of another instance.
func (t *Tracker) Merge(now time.Time, evidence Evidence) {
	t.expireCrashes(now)
	for _, c := range evidence.Crashes {
		if now.Sub(c.At) < t.retention {
			t.addCandidate(t.crashOf(c.At, c.Process.Replica), c.Fingerprint)
		}
	}
	for _, c := range evidence.Clearances {
		t.clear(now, c.Fingerprint)
	}
}

// RecordCompletion records that a request completed, which proves that its fingerprint is
// not the cause of earlier crashes.
func (t *Tracker) RecordCompletion(now time.Time, f Fingerprint) {
	if t.clear(now, f) && len(t.updates.Clearances) < MaxEvidence {
		t.updates.Clearances = append(t.updates.Clearances, Clearance{Fingerprint: f, At: now})
	}
}

// clear discards the evidence against a fingerprint and reports whether there was any.
func (t *Tracker) clear(now time.Time, f Fingerprint) bool {
	if t.IsBlocked(now, f) {
		t.cleared[f] = now.Add(t.retention)
		evictExcess(t.cleared)
	}
	_, blockedByPeer := t.peerBlocks[f]
	delete(t.peerBlocks, f)
	cand, ok := t.candidates[f]
	if !ok {
		return blockedByPeer
	}
	for _, c := range cand.crashes {
		c.remove(f)
	}
	delete(t.candidates, f)
	return true
}

// IsBlocked reports whether requests with this fingerprint must be refused.
func (t *Tracker) IsBlocked(now time.Time, f Fingerprint) bool {
	if t.peerBlocks[f].After(now) {
		return true
	}
	return t.isProvenCause(now, f)
}

// AddPeerBlock records a block that a peer reported. The block lasts at most for the
// tracker's own retention period.
func (t *Tracker) AddPeerBlock(now time.Time, f Fingerprint, expiry time.Time) {
	if t.cleared[f].After(now) || !expiry.After(now) {
		return
	}
	if latest := now.Add(t.retention); expiry.After(latest) {
		expiry = latest
	}
	t.peerBlocks[f] = later(expiry, t.peerBlocks[f])
	evictExcess(t.peerBlocks)
}

// BlocksToShare returns at most MaxShared blocks to send to peers, in order of expiry,
// latest first.
func (t *Tracker) BlocksToShare(now time.Time) []Block {
	t.expireCrashes(now)
	expireMap(now, t.peerBlocks)
	expireMap(now, t.cleared)
	var blocks []Block
	for f, expiry := range t.peerBlocks {
		blocks = append(blocks, Block{Fingerprint: f, Expiry: expiry})
	}
	for f, cand := range t.candidates {
		if _, ok := t.peerBlocks[f]; ok || now.Sub(cand.last()) < shareDelay || !t.isProvenCause(now, f) {
			continue
		}
		blocks = append(blocks, Block{Fingerprint: f, Expiry: cand.last().Add(t.retention)})
	}
	slices.SortFunc(blocks, compareBlocks)
	return blocks[:min(len(blocks), MaxShared)]
}

// SetPlacement records on which replicas a fingerprint now runs. It is ignored for
// fingerprints that are not candidates.
func (t *Tracker) SetPlacement(f Fingerprint, replicas []string) {
	if cand, ok := t.candidates[f]; ok {
		cand.placedOn = slices.Clone(replicas)
	}
}

// ReplicasToAvoid returns the replicas that crashed while running the fingerprint, and
// those that now run other candidates of the same crashes. If a candidate that runs apart
// from the others crashes another replica, it can be identified as the cause.
func (t *Tracker) ReplicasToAvoid(f Fingerprint) []string {
	cand, ok := t.candidates[f]
	if !ok {
		return nil
	}
	var replicas []string
	for _, c := range cand.crashes {
		replicas = append(replicas, c.replica)
		for _, other := range c.candidates {
			if other != f {
				replicas = append(replicas, t.candidates[other].placedOn...)
			}
		}
	}
	slices.Sort(replicas)
	return slices.Compact(replicas)
}

// FailsIndependently reports whether a replica crashes so often, with different requests,
// that the requests do not explain it.
func (t *Tracker) FailsIndependently(now time.Time, replica string) bool {
	return t.failsIndependently(replica, now)
}

func (t *Tracker) decide(now time.Time, f Fingerprint) Decision {
	all := t.countReplicas(f, func(*crash) bool { return true })
	if all >= certainReplicas || t.attributedReplicas(f, false) >= stopReplicas || t.IsBlocked(now, f) {
		return Stop
	}
	return Retry
}

// isProvenCause reports whether the crashes recorded here prove that f must be refused.
func (t *Tracker) isProvenCause(now time.Time, f Fingerprint) bool {
	cand, ok := t.candidates[f]
	if !ok || now.Sub(cand.last()) >= t.retention {
		return false
	}
	return t.attributedReplicas(f, true) >= stopReplicas || t.attributedReplicas(f, false) >= certainReplicas
}

// crashOf returns the replica's current crash, or starts a new one if the last is older
// than crashWindow.
func (t *Tracker) crashOf(now time.Time, replica string) *crash {
	for _, c := range slices.Backward(t.crashes) {
		if c.replica == replica && now.Sub(c.at).Abs() <= crashWindow {
			return c
		}
	}
	c := &crash{replica: replica, at: now}
	t.crashes = append(t.crashes, c)
	if len(t.crashes) > maxCrashes {
		t.evictOldest()
	}
	return c
}

// addCandidate adds f to the candidates of a crash. It returns false if f is one already or
// the limit is reached.
func (t *Tracker) addCandidate(c *crash, f Fingerprint) bool {
	if len(c.candidates) >= maxCandidates || c.has(f) {
		return false
	}
	c.candidates = append(c.candidates, f)
	cand, ok := t.candidates[f]
	if !ok {
		cand = &candidate{}
		t.candidates[f] = cand
	}
	cand.placedOn = nil
	cand.crashes = append(cand.crashes, c)
	return true
}

// expireCrashes discards the crashes that no longer count.
func (t *Tracker) expireCrashes(now time.Time) {
	for len(t.crashes) > 0 && now.Sub(t.crashes[0].at) >= 2*t.retention {
		t.evictOldest()
	}
}

func (t *Tracker) evictOldest() {
	c := t.crashes[0]
	t.crashes = slices.Delete(t.crashes, 0, 1)
	for _, f := range c.candidates {
		cand := t.candidates[f]
		cand.crashes = slices.DeleteFunc(cand.crashes, func(x *crash) bool { return x == c })
		if len(cand.crashes) == 0 {
			delete(t.candidates, f)
		}
	}
}
