package poison

import (
	"slices"
	"time"
)

// Retention is how long instances remember a request without another crash.
const Retention = 10 * time.Minute

const (
	// blockAt is the weight of independent crashes from which on a request is
	// blocked: the users' rules let a request crash three replicas.
	blockAt = 3.0
	// progressedWeight is the weight of a crash after a part of the answer had come. Most
	// such requests only ran beside the one that crashed the replica.
	progressedWeight = 0.5
	// matchWithin bounds the time between the loss of a run and the sign that a replica
	// ended. A dead replica stays listed for some seconds.
	matchWithin = 10 * time.Second
	// proofTime is how long copies are refused while it is open whether a lost run was
	// the crash that blocks the request. Refused connections tell within 0.2 s.
	proofTime = time.Second
	// shieldTime is how long a success speaks against crashes that follow it.
	shieldTime = time.Minute
	// trialAfter is the time after the last crash at which a blocked request may run
	// once more; it doubles with each further crash.
	trialAfter = time.Minute
	// maxTrials bounds the trials: the users' rules allow three runs more.
	maxTrials = 3
	// trialTime keeps other copies away while a trial runs: about a long request.
	trialTime = 30 * time.Second

	// maxPending to maxSuccesses bound memory: lost runs that are not proved, ends of
	// replicas, fingerprints with crashes, crashes of one of them, successes.
	maxPending     = 1024
	maxEnded       = 1024
	maxTracked     = 4096
	maxCrashesEach = 16
	maxSuccesses   = 8192
)

// Ledger finds requests that crash each replica that runs them, from what this
// instance sees and others tell.
//
// A lost run is evidence only once a replica on its path is known to have ended
// without being asked to. Crashes that share a replica or a run are one incident.
// Incidents of a blocked request do not count against the others that its replicas
// were running. A success clears its fingerprint everywhere.
//
// It is bounded in memory and not safe for concurrent use.
type Ledger struct {
	retention time.Duration
	pending   []LostRun
	pendingAt []time.Time
	// ended holds when replicas were found to have ended.
	ended map[Incarnation]time.Time
	// tracked holds the fingerprints with crashes.
	tracked map[Fingerprint]*record
	// explained holds the replicas that a blocked request crashed.
	explained map[Incarnation]Fingerprint
	successes *successes
	// clears are told to others; successes are not.
	clears map[Fingerprint]time.Time
	// news is what was not told yet.
	news State
	// digest is kept until the evidence changes.
	digest      uint64
	digestKnown bool
}

// record is what is known of one fingerprint.
type record struct {
	crashes []Crash
	blocked bool
	// trialUntil is set while the attempt trialOf runs as a trial here.
	trialUntil time.Time
	trialOf    uint64
}

func (r *record) last() time.Time {
	last := r.crashes[0].At
	for _, c := range r.crashes {
		last = later(last, c.At)
	}
	return last
}

// NewLedger returns an empty ledger that forgets a request after the retention period
// without a crash.
func NewLedger(retention time.Duration) *Ledger {
	return &Ledger{
		retention: retention,
		ended:     map[Incarnation]time.Time{},
		tracked:   map[Fingerprint]*record{},
		explained: map[Incarnation]Fingerprint{},
		successes: newSuccesses(),
		clears:    map[Fingerprint]time.Time{},
	}
}

// Lost takes a run that ended without a whole answer, and returns the crashes that it
// proves already.
func (l *Ledger) Lost(now time.Time, run LostRun) []Crash {
	l.expire(now)
	for _, part := range run.Parts {
		if at, ok := l.endOf(now, part); ok && !at.Before(run.Began) {
			return l.charge(now, run, part)
		}
	}
	if len(l.pending) >= maxPending {
		l.dropPending(0)
	}
	l.pending = append(l.pending, run)
	l.pendingAt = append(l.pendingAt, now)
	return nil
}

// Process returns the process that a run was sent to, if the replica took the run. The
// listed one may be known to have ended before; then it is a later one that is not
// listed yet.
func (l *Ledger) Process(listed Incarnation, began time.Time) Incarnation {
	for {
		at, ok := l.ended[listed]
		if !ok || !at.Before(began) {
			return listed
		}
		listed.Born++
	}
}

// endOf returns when a replica was found to have ended, if that was lately.
func (l *Ledger) endOf(now time.Time, r Incarnation) (time.Time, bool) {
	at, ok := l.ended[r]
	return at, ok && now.Sub(at) <= matchWithin
}

// Ended takes a replica whose process ended without being asked to, and returns the
// crashes that this proves, also for runs that are lost later.
func (l *Ledger) Ended(now time.Time, r Incarnation) []Crash {
	return l.endedAt(now, r, now)
}

func (l *Ledger) endedAt(now time.Time, r Incarnation, at time.Time) []Crash {
	l.expire(now)
	if _, known := l.ended[r]; known {
		return nil
	}
	if len(l.ended) >= maxEnded {
		l.dropOldestEnds()
	}
	l.ended[r] = at
	return l.Removed(now, r)
}

// Removed takes a replica that is no longer listed. It counts for runs that were lost
// before: a replica that stops leaves the list first.
func (l *Ledger) Removed(now time.Time, r Incarnation) []Crash {
	l.expire(now)
	var out []Crash
	for i := 0; i < len(l.pending); {
		run := l.pending[i]
		if !slices.Contains(run.Parts, r) {
			i++
			continue
		}
		l.dropPending(i)
		out = append(out, l.charge(now, run, r)...)
	}
	return out
}

// dropOldestEnds makes room for a part of maxEnded.
func (l *Ledger) dropOldestEnds() {
	all := make([]Incarnation, 0, len(l.ended))
	for r := range l.ended {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Incarnation) int { return l.ended[a].Compare(l.ended[b]) })
	for _, r := range all[:maxEnded/boundShare] {
		delete(l.ended, r)
	}
}

func (l *Ledger) dropPending(i int) {
	l.pending = slices.Delete(l.pending, i, i+1)
	l.pendingAt = slices.Delete(l.pendingAt, i, i+1)
}

// charge adds the crash of one run.
func (l *Ledger) charge(now time.Time, run LostRun, r Incarnation) []Crash {
	c := Crash{Fingerprint: run.Fingerprint, Run: run.Run, Replica: r, Progressed: run.Progressed, At: now, Own: true}
	if !l.add(now, c) {
		return nil
	}
	if len(l.news.Crashes) < maxTracked {
		l.news.Crashes = append(l.news.Crashes, c)
	}
	return []Crash{c}
}

// Succeeded takes a request that was answered whole. It returns whether that cleared a
// fingerprint with crashes.
func (l *Ledger) Succeeded(now time.Time, f Fingerprint) bool {
	l.successes.add(now, f)
	if l.tracked[f] == nil {
		return false
	}
	l.clear(Clear{Fingerprint: f, At: now})
	return true
}

// clear takes a success into what is told to others.
func (l *Ledger) clear(c Clear) {
	if !c.At.After(l.clears[c.Fingerprint]) {
		return
	}
	l.clears[c.Fingerprint] = c.At
	bound(l.clears)
	l.tellClear(c)
	l.applyClear(c)
}

func (l *Ledger) tellClear(c Clear) {
	if len(l.news.Clears) < maxTracked {
		l.news.Clears = append(l.news.Clears, c)
	}
}

// applyClear drops the crashes that a success speaks against.
func (l *Ledger) applyClear(c Clear) {
	l.digestKnown = false
	r := l.tracked[c.Fingerprint]
	if r == nil {
		return
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(x Crash) bool { return !x.At.After(c.At.Add(shieldTime)) })
	l.reassess(c.Fingerprint)
}

// add takes one crash; it returns false when the crash is known or disproved.
func (l *Ledger) add(now time.Time, c Crash) bool {
	if now.Sub(c.At) >= l.retention {
		return false
	}
	if at, ok := l.clears[c.Fingerprint]; ok && !c.At.After(at.Add(shieldTime)) {
		// Who told the crash does not know of the success.
		l.tellClear(Clear{Fingerprint: c.Fingerprint, At: at})
		return false
	}
	if at, ok := l.successes.last(c.Fingerprint); ok && !c.At.After(at.Add(shieldTime)) {
		l.clear(Clear{Fingerprint: c.Fingerprint, At: at})
		return false
	}
	r := l.tracked[c.Fingerprint]
	if r == nil {
		l.makeRoom()
		r = &record{}
		l.tracked[c.Fingerprint] = r
	}
	if len(r.crashes) >= maxCrashesEach || slices.ContainsFunc(r.crashes, func(x Crash) bool { return x.Run == c.Run && x.Replica == c.Replica }) {
		return false
	}
	l.digestKnown = false
	r.crashes = append(r.crashes, c)
	r.trialUntil = time.Time{}
	l.reassess(c.Fingerprint)
	return true
}

// makeRoom drops fingerprints with the fewest and oldest crashes when there are too
// many. A flood of different requests cannot displace one that has crashed several.
func (l *Ledger) makeRoom() {
	if len(l.tracked) < maxTracked {
		return
	}
	all := make([]Fingerprint, 0, len(l.tracked))
	for f := range l.tracked {
		all = append(all, f)
	}
	slices.SortFunc(all, l.compare)
	for _, f := range all[:maxTracked/boundShare] {
		l.forget(f)
	}
}

func (l *Ledger) forget(f Fingerprint) {
	l.digestKnown = false
	delete(l.tracked, f)
	for r, by := range l.explained {
		if by == f {
			delete(l.explained, r)
		}
	}
}

// reassess blocks or unblocks a fingerprint after a change of its crashes.
func (l *Ledger) reassess(f Fingerprint) {
	r := l.tracked[f]
	if len(r.crashes) == 0 {
		l.forget(f)
		return
	}
	if !r.blocked && l.weight(f) < blockAt {
		return
	}
	if r.blocked && len(incidents(r.crashes)) < int(blockAt) {
		r.blocked = false
		for i, by := range l.explained {
			if by == f {
				delete(l.explained, i)
			}
		}
		return
	}
	r.blocked = true
	for _, c := range r.crashes {
		if _, ok := l.explained[c.Replica]; !ok {
			l.explained[c.Replica] = f
		}
	}
}

// expire drops the lost runs that are too old.
func (l *Ledger) expire(now time.Time) {
	for len(l.pending) > 0 && now.Sub(l.pendingAt[0]) > matchWithin {
		l.dropPending(0)
	}
}

// Expire drops the fingerprints without a crash in the retention period. It looks at
// all and is to be called now and then.
func (l *Ledger) Expire(now time.Time) {
	l.expire(now)
	for r, at := range l.ended {
		if now.Sub(at) > matchWithin {
			delete(l.ended, r)
		}
	}
	for f, r := range l.tracked {
		if now.Sub(r.last()) >= l.retention {
			l.forget(f)
		}
	}
	for f, at := range l.clears {
		if now.Sub(at) >= l.retention {
			l.digestKnown = false
			delete(l.clears, f)
		}
	}
}
