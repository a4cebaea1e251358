package poison

import (
	"slices"
	"time"
)

// maxListDelay bounds the time from the start of a replica process until it is listed here. The
// start is compared with this machine's clock only within it: a replica is down for some seconds, so
// a clock that is wrong by less does not move a run to the next process.
const maxListDelay = 2 * time.Second

// end is the end of a process.
type end struct {
	// at is when it was detected.
	at time.Time
	// next is the start time of the replica's next process, 0 while none is listed. nextAt is the same
	// on this machine's clock, zero if that can't be told.
	next   int64
	nextAt time.Time
}

// replacedAt reports whether the next process had started by t.
func (e *end) replacedAt(t time.Time) bool { return !e.nextAt.IsZero() && !e.nextAt.After(t) }

// Process returns the process that a run was sent to, provided that the replica accepted
// the run. If the listed process is known to have ended before the run, the run went to a
// later process, which may not be listed yet.
func (l *Ledger) Process(listed Process, sentAt time.Time) Process {
	for {
		e, ok := l.ended[listed]
		if !ok || !e.at.Before(sentAt) && !e.replacedAt(sentAt) {
			return listed
		}
		listed.StartTime = max(e.next, listed.StartTime+1)
	}
}

// recentEnd returns when the end of a process was detected, and whether that lies within
// matchWindow.
func (l *Ledger) recentEnd(now time.Time, r Process) (time.Time, bool) {
	e, ok := l.ended[r]
	return e.at, ok && now.Sub(e.at) <= matchWindow
}

// RecordEnd records that a replica process ended unexpectedly. It returns the crashes that
// this proves. Runs that are reported lost later are matched as well.
func (l *Ledger) RecordEnd(now time.Time, r Process) []Crash {
	return l.recordEnd(now, r, now)
}

func (l *Ledger) recordEnd(now time.Time, r Process, at time.Time) []Crash {
	l.expireLostRuns(now)
	if _, known := l.ended[r]; known {
		return nil
	}
	if len(l.ended) >= maxEnded {
		l.evictOldestEnds()
	}
	l.ended[r] = end{at: at}
	return l.RecordRemoval(now, r)
}

// RecordRestart records that a replica process ended unexpectedly and that a later one, which
// started at nextStart, is listed. Runs that were sent to the later one are kept for its end.
func (l *Ledger) RecordRestart(now time.Time, r Process, nextStart int64) []Crash {
	e := end{at: now, next: nextStart}
	if startedAt := time.UnixMilli(nextStart); now.Sub(startedAt).Abs() <= maxListDelay {
		e.nextAt = startedAt
	}
	for i := range l.lostRuns {
		l.lostRuns[i].Processes = e.reassign(r, l.lostRuns[i])
	}
	crashes := l.RecordEnd(now, r)
	if known, ok := l.ended[r]; ok {
		e.at = known.at
		l.ended[r] = e
	}
	return crashes
}

// reassign returns the processes of a run with r replaced by the process that follows it if the run
// was sent to that one. Until it was listed, that one had the earliest start time that it could have.
func (e *end) reassign(r Process, run LostRun) []Process {
	processes := slices.Clone(run.Processes)
	for i, p := range processes {
		unlisted := p.Replica == r.Replica && p.StartTime > r.StartTime && p.StartTime < e.next
		if unlisted || p == r && e.replacedAt(run.SentAt) {
			processes[i].StartTime = e.next
		}
	}
	return processes
}

// RecordRemoval records that a replica process is no longer listed. This proves crashes
// only for runs that were lost before, since a replica that shuts down is removed from the
// list first.
func (l *Ledger) RecordRemoval(now time.Time, r Process) []Crash {
	l.expireLostRuns(now)
	var out []Crash
	for i := 0; i < len(l.lostRuns); {
		run := l.lostRuns[i]
		if !slices.Contains(run.Processes, r) {
			i++
			continue
		}
		l.removeLostRun(i)
		out = append(out, l.recordCrash(now, run, r)...)
	}
	return out
}

// evictOldestEnds evicts maxEnded/evictionDivisor processes, those that ended first.
func (l *Ledger) evictOldestEnds() {
	all := make([]Process, 0, len(l.ended))
	for r := range l.ended {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Process) int { return l.ended[a].at.Compare(l.ended[b].at) })
	for _, r := range all[:maxEnded/evictionDivisor] {
		delete(l.ended, r)
	}
}
