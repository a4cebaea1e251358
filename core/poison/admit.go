package poison

import (
	"slices"
	"time"
)

// Refusal explains why a request must not run.
type Refusal struct {
	// Crashes are the crashes that led to the refusal.
	Crashes []Crash
	// RetryAfter is the time until a copy of the request may run again.
	RetryAfter time.Duration
}

// Admit returns nil if the attempt may run the request, and the refusal otherwise. Some
// time after its last crash, a blocked request gets a trial run, but only on the instance
// that observed that crash.
func (l *Ledger) Admit(now time.Time, f Fingerprint, attempt uint64, parts ...Fingerprint) *Refusal {
	l.updateBlocks()
	if refusal := l.admit(now, f, attempt); refusal != nil {
		return refusal
	}
	for _, part := range parts {
		if refusal := l.admit(now, part, attempt); refusal != nil && l.hasCompanions(part, f, parts, !l.tracked[part].blocked) {
			return refusal
		}
	}
	return nil
}

func (l *Ledger) admit(now time.Time, f Fingerprint, attempt uint64) *Refusal {
	r := l.tracked[f]
	if r == nil {
		return nil
	}
	if !r.blocked {
		return l.refuseUnproven(now, f, r)
	}
	last := r.last()
	if now.Sub(last) >= l.retention {
		l.discard(f)
		return nil
	}
	at := last.Add(l.retention)
	if trial, ok := r.trialAt(last); ok && trial.Before(at) {
		free := !now.Before(trial) && !now.Before(r.trialUntil)
		if free || now.Before(r.trialUntil) && r.trialAttempt == attempt {
			r.trialUntil, r.trialAttempt = now.Add(trialDuration), attempt
			return nil
		}
		at = later(trial, r.trialUntil)
	}
	return &Refusal{Crashes: slices.Clone(r.crashes), RetryAfter: at.Sub(now)}
}

// refuseUnproven refuses a request that is not blocked but would be if processes on the
// paths of its recently lost runs turn out to have ended.
func (l *Ledger) refuseUnproven(now time.Time, f Fingerprint, r *crashHistory) *Refusal {
	var until time.Time
	unproven := l.countUnproven(func(i int) bool {
		at := l.provableUntil(now, i)
		if !l.lostRuns[i].concerns(f) || !now.Before(at) {
			return false
		}
		until = later(until, at)
		return true
	})
	if unproven == 0 || l.weight(f)+float64(unproven) < blockThreshold {
		return nil
	}
	return &Refusal{Crashes: slices.Clone(r.crashes), RetryAfter: until.Sub(now)}
}

// countUnproven returns how many incidents the matching lost runs are at most: those that began at
// the same process count once.
func (l *Ledger) countUnproven(matches func(i int) bool) int {
	first := map[Process]bool{}
	for i := range l.lostRuns {
		if matches(i) {
			first[l.lostRuns[i].Processes[0]] = true
		}
	}
	return len(first)
}

// trialAt returns the time from which this instance may run a trial, and whether it may at
// all.
func (r *crashHistory) trialAt(last time.Time) (time.Time, bool) {
	trials := max(0, len(r.allIncidents())-int(blockThreshold))
	own := slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Local && c.At.Equal(last) })
	return last.Add(trialDelay << min(trials, maxTrials)), own && trials < maxTrials
}

// MayRetry reports whether an attempt may run again after one of its runs was lost. Lost
// runs of this attempt count as crashes even without proof that a process ended, provided
// that there is other evidence against the request.
func (l *Ledger) MayRetry(f Fingerprint, attempt uint64, parts ...Fingerprint) bool {
	l.updateBlocks()
	if !l.mayRetry(f, attempt) {
		return false
	}
	for _, part := range parts {
		if !l.mayRetry(part, attempt) && l.hasCompanions(part, f, parts, !l.tracked[part].blocked) {
			return false
		}
	}
	return true
}

func (l *Ledger) mayRetry(f Fingerprint, attempt uint64) bool {
	r := l.tracked[f]
	if r == nil {
		return true
	}
	if r.blocked {
		return false
	}
	unproven := l.countUnproven(func(i int) bool {
		return l.lostRuns[i].concerns(f) && l.lostRuns[i].Run.Attempt == attempt
	})
	return l.weight(f)+float64(unproven) < blockThreshold
}

// Incidents returns the number of independent crashes of a request.
func (l *Ledger) Incidents(f Fingerprint) int {
	r := l.tracked[f]
	if r == nil {
		return 0
	}
	return len(r.allIncidents())
}

// IsBlocked reports whether a request is blocked, regardless of trials.
func (l *Ledger) IsBlocked(f Fingerprint) bool {
	l.updateBlocks()
	r := l.tracked[f]
	return r != nil && r.blocked
}

// BlockedCount returns the number of blocked requests.
func (l *Ledger) BlockedCount() int {
	l.updateBlocks()
	n := 0
	for _, r := range l.tracked {
		if r.blocked {
			n++
		}
	}
	return n
}
