package poison

import (
	"slices"
	"time"
)

// Tracker keeps the crashes of the recent past and the blocked fingerprints. Its
// memory is bounded; when it is full, the oldest knowledge goes first. It is not
// safe for concurrent use.
type Tracker struct {
	retention time.Duration
	// crashes are in the order of their first report. They are kept for twice the
	// retention period, as a crash counts until that long after a suspect's next.
	crashes  []*crash
	suspects map[Fingerprint]*suspect
	// told are the blocks heard from peers.
	told map[Fingerprint]time.Time
	// cleared are the fingerprints that completed although they were blocked,
	// until the time given.
	cleared map[Fingerprint]time.Time
	// news is what this instance saw and did not tell yet.
	news State
}

// suspect is a fingerprint that was running on a replica when it crashed.
type suspect struct {
	crashes []*crash
	// placed are the replicas that run the fingerprint now.
	placed []string
}

// last returns the time of the last crash.
func (s *suspect) last() time.Time {
	last := s.crashes[0].at
	for _, c := range s.crashes {
		last = later(last, c.at)
	}
	return last
}

// NewTracker returns an empty tracker that forgets after the retention period.
func NewTracker(retention time.Duration) *Tracker {
	return &Tracker{
		retention: retention,
		suspects:  make(map[Fingerprint]*suspect),
		told:      make(map[Fingerprint]time.Time),
		cleared:   make(map[Fingerprint]time.Time),
	}
}

// Crash records that a replica crashed while it ran a step of each of the given
// fingerprints, and returns a verdict for each. Reports of one replica within two
// seconds belong to the same crash. It is better to report all suspects at once:
// verdicts know only what was reported.
func (t *Tracker) Crash(now time.Time, replica string, suspects ...Fingerprint) []Verdict {
	t.expire(now)
	c := t.crashOf(now, replica)
	for _, f := range suspects {
		if t.accuse(c, f) {
			t.tell(Crash{Fingerprint: f, Replica: Incarnation{Replica: replica}, At: now})
		}
	}
	verdicts := make([]Verdict, len(suspects))
	for i, f := range suspects {
		verdicts[i] = t.verdict(now, f)
	}
	return verdicts
}

// tell keeps a crash for the next call of News.
func (t *Tracker) tell(c Crash) {
	if len(t.news.Crashes) < MaxState {
		t.news.Crashes = append(t.news.Crashes, c)
	}
}

// News returns what this instance saw since the last call.
func (t *Tracker) News() State {
	news := t.news
	t.news = State{}
	return news
}

// LearnEvidence takes what another instance saw.
func (t *Tracker) LearnEvidence(now time.Time, s State) {
	t.expire(now)
	for _, c := range s.Crashes {
		if now.Sub(c.At) < t.retention {
			t.accuse(t.crashOf(c.At, c.Replica.Replica), c.Fingerprint)
		}
	}
	for _, c := range s.Clears {
		t.complete(now, c.Fingerprint)
	}
}

// Completed records that a request ran to its end, which proves that its
// fingerprint crashes nothing.
func (t *Tracker) Completed(now time.Time, f Fingerprint) {
	if t.complete(now, f) && len(t.news.Clears) < MaxState {
		t.news.Clears = append(t.news.Clears, Clear{Fingerprint: f, At: now})
	}
}

// complete returns whether there was anything against the fingerprint.
func (t *Tracker) complete(now time.Time, f Fingerprint) bool {
	if t.Blocked(now, f) {
		t.cleared[f] = now.Add(t.retention)
		bound(t.cleared)
	}
	_, told := t.told[f]
	delete(t.told, f)
	s, ok := t.suspects[f]
	if !ok {
		return told
	}
	for _, c := range s.crashes {
		c.remove(f)
	}
	delete(t.suspects, f)
	return true
}

// Blocked tells whether a request with this fingerprint is to be refused.
func (t *Tracker) Blocked(now time.Time, f Fingerprint) bool {
	if t.told[f].After(now) {
		return true
	}
	return t.convicted(now, f)
}

// Learn takes a block from a peer. The expiry is cut to the tracker's own
// retention period.
func (t *Tracker) Learn(now time.Time, f Fingerprint, expiry time.Time) {
	if t.cleared[f].After(now) || !expiry.After(now) {
		return
	}
	if latest := now.Add(t.retention); expiry.After(latest) {
		expiry = latest
	}
	t.told[f] = later(expiry, t.told[f])
	bound(t.told)
}

// Recent returns the blocks to tell the peers, at most MaxShared: those that
// expire last, last first.
func (t *Tracker) Recent(now time.Time) []Block {
	t.expire(now)
	expireMap(now, t.told)
	expireMap(now, t.cleared)
	var blocks []Block
	for f, expiry := range t.told {
		blocks = append(blocks, Block{Fingerprint: f, Expiry: expiry})
	}
	for f, s := range t.suspects {
		if _, ok := t.told[f]; ok || now.Sub(s.last()) < shareAfter || !t.convicted(now, f) {
			continue
		}
		blocks = append(blocks, Block{Fingerprint: f, Expiry: s.last().Add(t.retention)})
	}
	slices.SortFunc(blocks, compareBlocks)
	return blocks[:min(len(blocks), MaxShared)]
}

// Place records on which replicas a fingerprint runs from now on. It is ignored
// for fingerprints that are not suspects.
func (t *Tracker) Place(f Fingerprint, replicas []string) {
	if s, ok := t.suspects[f]; ok {
		s.placed = slices.Clone(replicas)
	}
}

// Avoid returns the replicas that crashed with the fingerprint, and those that run
// other suspects of the same crashes. If a suspect that runs apart from the others
// crashes a further replica, it can be told from them.
func (t *Tracker) Avoid(f Fingerprint) []string {
	s, ok := t.suspects[f]
	if !ok {
		return nil
	}
	var avoid []string
	for _, c := range s.crashes {
		avoid = append(avoid, c.replica)
		for _, other := range c.suspects {
			if other != f {
				avoid = append(avoid, t.suspects[other].placed...)
			}
		}
	}
	slices.Sort(avoid)
	return slices.Compact(avoid)
}

// FailsAlone tells whether a replica crashes so often, with different requests,
// that the requests are no explanation.
func (t *Tracker) FailsAlone(now time.Time, replica string) bool {
	return t.failsAlone(replica, now)
}

func (t *Tracker) verdict(now time.Time, f Fingerprint) Verdict {
	all := t.countReplicas(f, func(*crash) bool { return true })
	if all >= certainReplicas || t.charged(f, false) >= stopReplicas || t.Blocked(now, f) {
		return Stop
	}
	return Retry
}

// convicted tells whether the crashes seen here prove that f is to be refused.
func (t *Tracker) convicted(now time.Time, f Fingerprint) bool {
	s, ok := t.suspects[f]
	if !ok || now.Sub(s.last()) >= t.retention {
		return false
	}
	return t.charged(f, true) >= stopReplicas || t.charged(f, false) >= certainReplicas
}

// crashOf returns the replica's crash under way or begins one.
func (t *Tracker) crashOf(now time.Time, replica string) *crash {
	for _, c := range slices.Backward(t.crashes) {
		if c.replica == replica && now.Sub(c.at).Abs() <= crashWindow {
			return c
		}
	}
	c := &crash{replica: replica, at: now}
	t.crashes = append(t.crashes, c)
	if len(t.crashes) > maxCrashes {
		t.dropOldest()
	}
	return c
}

// accuse returns whether the suspect is new to the crash.
func (t *Tracker) accuse(c *crash, f Fingerprint) bool {
	if len(c.suspects) >= maxSuspects || c.has(f) {
		return false
	}
	c.suspects = append(c.suspects, f)
	s, ok := t.suspects[f]
	if !ok {
		s = &suspect{}
		t.suspects[f] = s
	}
	s.placed = nil
	s.crashes = append(s.crashes, c)
	return true
}

// expire drops the crashes that no longer count.
func (t *Tracker) expire(now time.Time) {
	for len(t.crashes) > 0 && now.Sub(t.crashes[0].at) >= 2*t.retention {
		t.dropOldest()
	}
}

func (t *Tracker) dropOldest() {
	c := t.crashes[0]
	t.crashes = slices.Delete(t.crashes, 0, 1)
	for _, f := range c.suspects {
		s := t.suspects[f]
		s.crashes = slices.DeleteFunc(s.crashes, func(x *crash) bool { return x == c })
		if len(s.crashes) == 0 {
			delete(t.suspects, f)
		}
	}
}
