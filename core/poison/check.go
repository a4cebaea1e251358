package poison

import "time"

// BeginCheck records that a check began which may prove that a process of the replica ended.
func (l *Ledger) BeginCheck(replica string) { l.checks[replica]++ }

// EndCheck records that a check that began has ended.
func (l *Ledger) EndCheck(replica string) {
	if l.checks[replica]--; l.checks[replica] <= 0 {
		delete(l.checks, replica)
	}
}

// provableUntil returns until when a proof that lost run i was a crash is awaited. A check may run late.
func (l *Ledger) provableUntil(now time.Time, i int) time.Time {
	until := l.lostAt[i].Add(proofTimeout)
	for _, p := range l.lostRuns[i].Processes {
		if l.checks[p.Replica] == 0 {
			continue
		}
		next, last := now.Add(proofTimeout), l.lostAt[i].Add(matchWindow)
		if next.After(last) {
			next = last
		}
		return later(until, next)
	}
	return until
}
