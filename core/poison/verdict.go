package poison

import (
	"slices"
	"time"
)

// Refusal is why a request must not run.
type Refusal struct {
	// Crashes are the crashes that decided it.
	Crashes []Crash
	// RetryAfter is the time until a copy may run again.
	RetryAfter time.Duration
}

// Admit returns nil if an attempt may run a request. A blocked request gets a trial
// some time after its last crash, at the instance that saw that crash only.
func (l *Ledger) Admit(now time.Time, f Fingerprint, attempt uint64) *Refusal {
	r := l.tracked[f]
	if r == nil {
		return nil
	}
	if !r.blocked {
		return l.awaitProof(now, f, r)
	}
	last := r.last()
	if now.Sub(last) >= l.retention {
		l.forget(f)
		return nil
	}
	at := last.Add(l.retention)
	if trial, ok := r.trialAt(last); ok && trial.Before(at) {
		free := !now.Before(trial) && !now.Before(r.trialUntil)
		if free || now.Before(r.trialUntil) && r.trialOf == attempt {
			r.trialUntil, r.trialOf = now.Add(trialTime), attempt
			return nil
		}
		at = later(trial, r.trialUntil)
	}
	return &Refusal{Crashes: slices.Clone(r.crashes), RetryAfter: at.Sub(now)}
}

// awaitProof refuses a request while runs are open that would block it if their replicas
// turn out to have ended.
func (l *Ledger) awaitProof(now time.Time, f Fingerprint, r *record) *Refusal {
	open := 0
	var until time.Time
	for i, run := range l.pending {
		if at := l.pendingAt[i].Add(proofTime); run.Fingerprint == f && now.Before(at) {
			open++
			until = later(until, at)
		}
	}
	if open == 0 || l.weight(f)+float64(open) < blockAt {
		return nil
	}
	return &Refusal{Crashes: slices.Clone(r.crashes), RetryAfter: until.Sub(now)}
}

// trialAt returns when this instance may let a copy run.
func (r *record) trialAt(last time.Time) (time.Time, bool) {
	trials := max(0, len(incidents(r.crashes))-int(blockAt))
	own := slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Own && c.At.Equal(last) })
	return last.Add(trialAfter << min(trials, maxTrials)), own && trials < maxTrials
}

// MayRetry tells whether an attempt may run again after it was lost. Runs of this
// attempt of which it is not known yet whether a replica ended count as crashes once
// there is other evidence.
func (l *Ledger) MayRetry(f Fingerprint, attempt uint64) bool {
	r := l.tracked[f]
	if r == nil {
		return true
	}
	if r.blocked {
		return false
	}
	open := 0
	for _, run := range l.pending {
		if run.Fingerprint == f && run.Run.Attempt == attempt {
			open++
		}
	}
	return l.weight(f)+float64(open) < blockAt
}

// Incidents returns the number of independent crashes of a request.
func (l *Ledger) Incidents(f Fingerprint) int {
	r := l.tracked[f]
	if r == nil {
		return 0
	}
	return len(incidents(r.crashes))
}

// IsBlocked tells whether a request is blocked, trials apart.
func (l *Ledger) IsBlocked(f Fingerprint) bool {
	r := l.tracked[f]
	return r != nil && r.blocked
}

// Blocked returns the number of requests that are blocked.
func (l *Ledger) Blocked() int {
	n := 0
	for _, r := range l.tracked {
		if r.blocked {
			n++
		}
	}
	return n
}
