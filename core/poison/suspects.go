package poison

import (
	"slices"
	"time"
)

// updateBlocks decides which fingerprints are blocked, if the evidence has changed. The ones with
// the most evidence come first and explain the crashes that the others took part in. The result
// depends on the evidence alone, not on the order in which it arrived.
func (l *Ledger) updateBlocks() {
	if l.blocksValid {
		return
	}
	l.blocksValid = true
	clear(l.explainedBy)
	var open []Fingerprint
	for f, r := range l.tracked {
		r.blocked = false
		if r.isSuspect() {
			open = append(open, f)
		}
	}
	for {
		likeliest := l.likeliest(open)
		if len(likeliest) == 0 {
			return
		}
		for _, f := range likeliest {
			l.block(f)
		}
		open = slices.DeleteFunc(open, func(f Fingerprint) bool { return l.tracked[f].blocked })
	}
}

// block blocks a fingerprint.
func (l *Ledger) block(f Fingerprint) {
	r := l.tracked[f]
	r.blocked = true
	for _, c := range r.crashes {
		if _, ok := l.explainedBy[c.Process]; !ok {
			l.explainedBy[c.Process] = f
		}
	}
}

// likeliest returns those of the given fingerprints that have to be blocked next, or none if there is
// too little evidence against each: of those against which there was enough first, the ones with
// the most evidence. If several have the same evidence, it prefers those whose crashed runs are all
// among the runs of the others, as these also ran without them, and then parts that several contents
// had in common.
func (l *Ledger) likeliest(open []Fingerprint) []Fingerprint {
	reached := map[Fingerprint]time.Time{}
	var first time.Time
	for _, f := range open {
		if at, ok := l.thresholdReached(f); ok {
			reached[f] = at
			if first.IsZero() || at.Before(first) {
				first = at
			}
		}
	}
	most := 0.0
	var equal []Fingerprint
	for f, at := range reached {
		if at.Sub(first) > proofTimeout {
			continue
		}
		switch w := l.weight(f); {
		case w > most:
			most, equal = w, []Fingerprint{f}
		case w == most:
			equal = append(equal, f)
		}
	}
	var out []Fingerprint
	for _, f := range equal {
		r := l.tracked[f]
		narrower := slices.ContainsFunc(equal, func(other Fingerprint) bool {
			o := l.tracked[other]
			return r.includes(o) && !o.includes(r)
		})
		if !narrower {
			out = append(out, f)
		}
	}
	var common []Fingerprint
	for _, f := range out {
		if l.inSeveralContents(f) {
			common = append(common, f)
		}
	}
	if len(common) > 0 {
		return common
	}
	return out
}

// inSeveralContents reports whether a fingerprint is that of a part and its crashed runs had different
// contents.
func (l *Ledger) inSeveralContents(f Fingerprint) bool {
	if !f.IsPart() {
		return false
	}
	runs := map[Run]bool{}
	for _, c := range l.tracked[f].crashes {
		runs[c.Run] = true
	}
	n := 0
	for other, r := range l.tracked {
		if !other.IsPart() && slices.ContainsFunc(r.crashes, func(c Crash) bool { return runs[c.Run] }) {
			n++
		}
	}
	return n > 1
}

// thresholdReached returns when the evidence against a fingerprint became enough to block it.
func (l *Ledger) thresholdReached(f Fingerprint) (time.Time, bool) {
	type step struct {
		at     time.Time
		weight float64
	}
	var steps []step
	for _, incident := range l.tracked[f].allIncidents() {
		if w := l.incidentWeight(f, incident); w > 0 {
			at := slices.MinFunc(incident, func(a, b Crash) int { return a.At.Compare(b.At) }).At
			steps = append(steps, step{at, w})
		}
	}
	slices.SortFunc(steps, func(a, b step) int { return a.at.Compare(b.at) })
	sum := 0.0
	for _, s := range steps {
		if sum += s.weight; sum >= blockThreshold {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// includes reports whether all crashed runs of another fingerprint are among those of this one.
func (r *crashHistory) includes(other *crashHistory) bool {
	return !slices.ContainsFunc(other.crashes, func(c Crash) bool {
		return !slices.ContainsFunc(r.crashes, func(x Crash) bool { return x.Run == c.Run })
	})
}

// hasCompanions reports whether a request with the given content and parts has everything that
// accompanied the part in all its crashed runs. While a part always came together with another
// one, either may be the cause, so only requests with both are refused. Lost runs count as crashed
// if withUnproven is set.
func (l *Ledger) hasCompanions(part, content Fingerprint, parts []Fingerprint, withUnproven bool) bool {
	r := l.tracked[part]
	for f, other := range l.tracked {
		if f == part || f == content || slices.Contains(parts, f) || !other.includes(r) {
			continue
		}
		lostWithout := func(run LostRun) bool { return run.concerns(part) && !run.concerns(f) }
		if !withUnproven || !slices.ContainsFunc(l.lostRuns, lostWithout) {
			return false
		}
	}
	return true
}
