package poison

import (
	"slices"
	"time"
)

// Retention is how long a request is remembered after its last crash.
const Retention = 10 * time.Minute

const (
	// blockThreshold is the weight of independent crashes that blocks a request. The
	// requirements allow a request to crash three replicas.
	blockThreshold = 3.0
	// progressedWeight is the weight of a crash after part of the response had arrived.
	// Most such requests only ran concurrently with the one that caused the crash.
	progressedWeight = 0.5
	// matchWindow bounds the time between the loss of a run and the detection that a
	// replica process ended. A dead replica stays listed for some seconds.
	matchWindow = 10 * time.Second
	// proofTimeout is how long copies are refused at least while it is undecided whether a lost run
	// was the crash that blocks the request. Refused connections reveal an ended process
	// within 0.2 s; a check that takes longer is awaited, for at most matchWindow.
	proofTimeout = time.Second
	// clearedDuration is how long a success disproves crashes that follow it.
	clearedDuration = time.Minute
	// trialDelay is the time after the last crash after which a blocked request may run
	// once more; it doubles with each further crash.
	trialDelay = time.Minute
	// maxTrials bounds the trial runs. The requirements allow three more runs.
	maxTrials = 3
	// trialDuration is how long other copies are refused while a trial runs: about the
	// duration of a long request.
	trialDuration = 30 * time.Second

	// These limits bound memory: lost runs without proof of a crash, ended processes,
	// fingerprints with crashes, crashes of one fingerprint, those of them at one process, and
	// successes.
	maxLostRuns          = 1024
	maxEnded             = 1024
	maxTracked           = 4096
	maxCrashesEach       = 16
	maxCrashesPerProcess = 4
	maxSuccesses         = 8192
)

// Ledger detects requests that crash every replica they run on, from the observations of
// this instance and the evidence of others.
//
// A lost run becomes evidence only when a process on its path is known to have ended
// unexpectedly. It is evidence against the content of the request and against each shared part of
// its prompt. Crashes that share a process or a run form one incident. Incidents caused by a blocked
// fingerprint are no evidence against the other requests that were running on the same
// processes. A success clears its fingerprints on every instance.
//
// Memory is bounded. A Ledger is not safe for concurrent use.
type Ledger struct {
	retention time.Duration
	lostRuns  []LostRun
	lostAt    []time.Time
	ended     map[Process]end
	// checks counts the checks in progress by replica.
	checks map[string]int
	// tracked holds the crashes by fingerprint.
	tracked map[Fingerprint]*crashHistory
	// explainedBy maps crashed processes to a blocked fingerprint that caused the crash. It and the
	// blocks are recomputed when they are needed while blocksValid is not set.
	explainedBy map[Process]Fingerprint
	blocksValid bool
	successes   *successes
	// clearances are sent to other instances; successes are not.
	clearances map[Fingerprint]time.Time
	// updates holds evidence that was not sent yet.
	updates Evidence
	// digest is cached until the evidence changes.
	digest      uint64
	digestValid bool
}

// NewLedger returns an empty ledger that discards a request when the retention period has
// passed since its last crash.
func NewLedger(retention time.Duration) *Ledger {
	return &Ledger{
		retention:   retention,
		ended:       map[Process]end{},
		checks:      map[string]int{},
		tracked:     map[Fingerprint]*crashHistory{},
		explainedBy: map[Process]Fingerprint{},
		successes:   newSuccesses(),
		clearances:  map[Fingerprint]time.Time{},
	}
}

// RecordLostRun records a run that ended without a complete response, unless it passed through no
// process. It returns the crashes that are proven at once, because the end of a process on the path
// is known.
func (l *Ledger) RecordLostRun(now time.Time, run LostRun) []Crash {
	l.expireLostRuns(now)
	if len(run.Processes) == 0 {
		return nil
	}
	if run.Progressed {
		// A part that crashes replicas lets no answer begin.
		run.Parts = nil
	}
	for _, process := range run.Processes {
		if at, ok := l.recentEnd(now, process); ok && !at.Before(run.SentAt) {
			return l.recordCrash(now, run, process)
		}
	}
	if len(l.lostRuns) >= maxLostRuns {
		l.removeLostRun(0)
	}
	l.lostRuns = append(l.lostRuns, run)
	l.lostAt = append(l.lostAt, now)
	return nil
}

func (l *Ledger) removeLostRun(i int) {
	l.lostRuns = slices.Delete(l.lostRuns, i, i+1)
	l.lostAt = slices.Delete(l.lostAt, i, i+1)
}

// recordCrash adds the crash of a run dispatched by this instance: one for its content and for each
// part.
func (l *Ledger) recordCrash(now time.Time, run LostRun, r Process) []Crash {
	var out []Crash
	record := func(f Fingerprint) {
		c := Crash{Fingerprint: f, Run: run.Run, Process: r, Progressed: run.Progressed, At: now, Local: true}
		if !l.add(now, c) {
			return
		}
		if len(l.updates.Crashes) < maxTracked {
			l.updates.Crashes = append(l.updates.Crashes, c)
		}
		out = append(out, c)
	}
	record(run.Fingerprint)
	for _, f := range run.Parts {
		record(f)
	}
	return out
}

// RecordSuccess records a complete response to a request. It reports whether that cleared
// its content or one of its parts of crashes.
func (l *Ledger) RecordSuccess(now time.Time, f Fingerprint, parts ...Fingerprint) bool {
	cleared := l.recordSuccess(now, f)
	return l.RecordProgress(now, parts...) || cleared
}

// RecordProgress records that a response to a request with the parts has begun and goes on. It reports
// whether that cleared one of them of crashes.
func (l *Ledger) RecordProgress(now time.Time, parts ...Fingerprint) bool {
	cleared := false
	for _, part := range parts {
		cleared = l.recordSuccess(now, part) || cleared
	}
	return cleared
}

func (l *Ledger) recordSuccess(now time.Time, f Fingerprint) bool {
	l.successes.add(now, f)
	if l.tracked[f] == nil {
		return false
	}
	l.clear(Clearance{Fingerprint: f, At: now})
	return true
}

// clear records a clearance, queues it for other instances and applies it.
func (l *Ledger) clear(c Clearance) {
	if !c.At.After(l.clearances[c.Fingerprint]) {
		return
	}
	l.clearances[c.Fingerprint] = c.At
	evictExcess(l.clearances)
	l.queueClearance(c)
	l.applyClearance(c)
}

func (l *Ledger) queueClearance(c Clearance) {
	if len(l.updates.Clearances) < maxTracked {
		l.updates.Clearances = append(l.updates.Clearances, c)
	}
}

// applyClearance removes the crashes that a success disproves.
func (l *Ledger) applyClearance(c Clearance) {
	l.digestValid = false
	r := l.tracked[c.Fingerprint]
	if r == nil {
		return
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(x Crash) bool {
		disproved := !x.At.After(c.At.Add(clearedDuration))
		if disproved {
			r.digest ^= x.hash()
		}
		return disproved
	})
	r.incidents = nil
	l.blocksValid = false
	if len(r.crashes) == 0 {
		l.discard(c.Fingerprint)
	}
}

// add records one crash. It returns false if the crash is already known or disproved.
func (l *Ledger) add(now time.Time, c Crash) bool {
	if now.Sub(c.At) >= l.retention {
		return false
	}
	if at, ok := l.clearances[c.Fingerprint]; ok && !c.At.After(at.Add(clearedDuration)) {
		// The sender of the crash has not received the success yet.
		l.queueClearance(Clearance{Fingerprint: c.Fingerprint, At: at})
		return false
	}
	if at, ok := l.successes.last(c.Fingerprint); ok && !c.At.After(at.Add(clearedDuration)) {
		l.clear(Clearance{Fingerprint: c.Fingerprint, At: at})
		return false
	}
	r := l.tracked[c.Fingerprint]
	if r == nil {
		l.evictTracked()
		r = &crashHistory{}
		l.tracked[c.Fingerprint] = r
	}
	if !r.insert(c) {
		return false
	}
	l.digestValid, l.blocksValid = false, false
	r.trialUntil = time.Time{}
	return true
}

// evictTracked evicts the fingerprints with the fewest and oldest crashes when the limit is
// reached. A flood of different requests therefore can't displace one with several crashes.
func (l *Ledger) evictTracked() {
	if len(l.tracked) < maxTracked {
		return
	}
	all := make([]Fingerprint, 0, len(l.tracked))
	for f := range l.tracked {
		all = append(all, f)
	}
	slices.SortFunc(all, l.compare)
	for _, f := range all[:maxTracked/evictionDivisor] {
		l.discard(f)
	}
}

func (l *Ledger) discard(f Fingerprint) {
	l.digestValid, l.blocksValid = false, false
	delete(l.tracked, f)
}

// expireLostRuns discards lost runs that are older than matchWindow.
func (l *Ledger) expireLostRuns(now time.Time) {
	for len(l.lostRuns) > 0 && now.Sub(l.lostAt[0]) > matchWindow {
		l.removeLostRun(0)
	}
}

// Expire discards fingerprints without a crash in the retention period, and old process
// ends and clearances. It scans all entries and should be called periodically.
func (l *Ledger) Expire(now time.Time) {
	l.expireLostRuns(now)
	for r, e := range l.ended {
		if now.Sub(e.at) > matchWindow {
			delete(l.ended, r)
		}
	}
	for f, r := range l.tracked {
		if now.Sub(r.last()) >= l.retention {
			l.discard(f)
		}
	}
	for f, at := range l.clearances {
		if now.Sub(at) >= l.retention {
			l.digestValid = false
			delete(l.clearances, f)
		}
	}
}
