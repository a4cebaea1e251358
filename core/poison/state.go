package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxEvidence is the maximum number of crashes, and of clearances, that are sent at once.
const MaxEvidence = 256

// Merge adds evidence of other instances. It returns the crashes of runs lost on this
// instance that the evidence proves.
func (l *Ledger) Merge(now time.Time, evidence Evidence) []Crash {
	for _, c := range evidence.Clearances {
		if c.At.After(now) {
			c.At = now
		}
		if now.Sub(c.At) >= l.retention || !c.At.After(l.clearances[c.Fingerprint]) {
			continue
		}
		l.clearances[c.Fingerprint] = c.At
		l.applyClearance(c)
	}
	evictExcess(l.clearances)
	l.digestValid = false
	var proved []Crash
	for _, c := range evidence.Crashes {
		if c.At.After(now) {
			c.At = now
		}
		c.Local = false
		if l.add(now, c) && now.Sub(c.At) <= matchWindow {
			proved = append(proved, l.recordEnd(now, c.Process, c.At)...)
		}
	}
	return proved
}

// DrainUpdates returns the evidence that was not sent yet and marks it as sent. Earlier crashes of the
// same requests go with it, as other instances may have missed them.
func (l *Ledger) DrainUpdates() Evidence {
	updates := l.updates
	l.updates = Evidence{}
	updates.Crashes = append(updates.Crashes, l.earlier(updates.Crashes)...)
	return updates
}

// maxToldAgain is the maximum number of earlier crashes of one fingerprint that are sent with a new
// one. With that one they are enough to block it.
const maxToldAgain = 3

// earlier returns one crash of each other incident of the fingerprints of the given crashes.
func (l *Ledger) earlier(crashes []Crash) []Crash {
	type key struct {
		f Fingerprint
		p Process
	}
	told := make(map[key]bool, len(crashes))
	for _, c := range crashes {
		told[key{c.Fingerprint, c.Process}] = true
	}
	var out []Crash
	seen := make(map[Fingerprint]bool, len(crashes))
	for _, c := range crashes {
		r := l.tracked[c.Fingerprint]
		if r == nil || seen[c.Fingerprint] {
			continue
		}
		seen[c.Fingerprint] = true
		again := 0
		for _, incident := range slices.Backward(r.allIncidents()) {
			isNew := slices.ContainsFunc(incident, func(x Crash) bool { return told[key{x.Fingerprint, x.Process}] })
			if isNew || again == maxToldAgain {
				continue
			}
			again++
			out = append(out, strongest(incident))
		}
	}
	return out
}

// strongest returns a crash that gives an incident its weight.
func strongest(incident []Crash) Crash {
	for _, c := range incident {
		if !c.Progressed {
			return c
		}
	}
	return incident[0]
}

// Evidence returns the evidence to send to an instance that may lack some of it, within
// MaxEvidence. Blocked requests come first, then those with the most evidence against them, among
// equals those with the latest crash: the other instance must refuse these soonest.
func (l *Ledger) Evidence() Evidence {
	evidence := Evidence{Crashes: make([]Crash, 0, min(MaxEvidence, len(l.tracked)*maxCrashesEach))}
	for _, f := range l.mostSuspicious() {
		crashes := l.tracked[f].crashes
		if len(evidence.Crashes)+len(crashes) > MaxEvidence {
			break
		}
		evidence.Crashes = append(evidence.Crashes, crashes...)
	}
	for f, at := range l.clearances {
		if len(evidence.Clearances) == MaxEvidence {
			break
		}
		evidence.Clearances = append(evidence.Clearances, Clearance{Fingerprint: f, At: at})
	}
	return evidence
}

// mostSuspicious returns the fingerprints with crashes in the order in which other instances need
// their evidence.
func (l *Ledger) mostSuspicious() []Fingerprint {
	l.updateBlocks()
	type suspect struct {
		f       Fingerprint
		blocked bool
		weight  float64
		last    time.Time
	}
	suspects := make([]suspect, 0, len(l.tracked))
	for f, r := range l.tracked {
		suspects = append(suspects, suspect{f, r.blocked, l.weight(f), r.last()})
	}
	slices.SortFunc(suspects, func(a, b suspect) int {
		switch {
		case a.blocked != b.blocked && a.blocked:
			return -1
		case a.blocked != b.blocked:
			return 1
		case a.weight != b.weight:
			return cmp.Compare(b.weight, a.weight)
		default:
			return b.last.Compare(a.last)
		}
	})
	out := make([]Fingerprint, 0, len(suspects))
	for _, s := range suspects {
		out = append(out, s.f)
	}
	return out
}

// compare orders fingerprints by their number of crashes, then by the time of the last
// crash.
func (l *Ledger) compare(a, b Fingerprint) int {
	ra, rb := l.tracked[a], l.tracked[b]
	if n := len(ra.crashes) - len(rb.crashes); n != 0 {
		return n
	}
	return ra.last().Compare(rb.last())
}

// CrashesOf returns the recorded crashes of a request.
func (l *Ledger) CrashesOf(f Fingerprint) []Crash {
	r := l.tracked[f]
	if r == nil {
		return nil
	}
	return append([]Crash(nil), r.crashes...)
}

// Digest returns a hash that is equal for ledgers with the same evidence, and 0 for an
// empty ledger.
func (l *Ledger) Digest() uint64 {
	if !l.digestValid {
		l.digest, l.digestValid = l.computeDigest(), true
	}
	return l.digest
}

func (l *Ledger) computeDigest() uint64 {
	var sum uint64
	for _, r := range l.tracked {
		sum ^= r.digest
	}
	for f := range l.clearances {
		sum ^= xxhash.Sum64(f[:])
	}
	return sum
}

func (c *Crash) hash() uint64 {
	b := make([]byte, 0, 64)
	b = append(b, c.Fingerprint[:]...)
	b = binary.LittleEndian.AppendUint64(b, c.Run.Attempt)
	b = binary.LittleEndian.AppendUint32(b, c.Run.Number)
	b = binary.LittleEndian.AppendUint64(b, uint64(c.Process.StartTime))
	return xxhash.Sum64(append(b, c.Process.Replica...))
}
