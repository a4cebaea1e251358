package poison

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxState is the largest number of crashes, and of clears, that State returns.
const MaxState = 1024

// Learn merges evidence of other instances. It returns the crashes that it proves of
// runs that were lost here.
func (l *Ledger) Learn(now time.Time, s State) []Crash {
	for _, c := range s.Clears {
		if c.At.After(now) {
			c.At = now
		}
		if now.Sub(c.At) >= l.retention || !c.At.After(l.clears[c.Fingerprint]) {
			continue
		}
		l.clears[c.Fingerprint] = c.At
		l.applyClear(c)
	}
	bound(l.clears)
	var proved []Crash
	for _, c := range s.Crashes {
		if c.At.After(now) {
			c.At = now
		}
		c.Own = false
		if l.add(now, c) && now.Sub(c.At) <= matchWithin {
			proved = append(proved, l.endedAt(now, c.Replica, c.At)...)
		}
	}
	return proved
}

// News returns the evidence that was not told yet, once.
func (l *Ledger) News() State {
	news := l.news
	l.news = State{}
	return news
}

// State returns the evidence to tell an instance that may lack some. The requests with
// the most crashes come first.
func (l *Ledger) State() State {
	var s State
	for n := maxCrashesEach; n > 0 && len(s.Crashes) < MaxState; n-- {
		for _, r := range l.tracked {
			if len(r.crashes) == n && len(s.Crashes)+n <= MaxState {
				s.Crashes = append(s.Crashes, r.crashes...)
			}
		}
	}
	for f, at := range l.clears {
		if len(s.Clears) == MaxState {
			break
		}
		s.Clears = append(s.Clears, Clear{Fingerprint: f, At: at})
	}
	return s
}

// CrashesOf returns the crashes of a request.
func (l *Ledger) CrashesOf(f Fingerprint) []Crash {
	r := l.tracked[f]
	if r == nil {
		return nil
	}
	return append([]Crash(nil), r.crashes...)
}

// Digest is equal for two ledgers that know the same; 0 for one that knows nothing.
func (l *Ledger) Digest() uint64 {
	var sum uint64
	for _, r := range l.tracked {
		for _, c := range r.crashes {
			sum ^= c.hash()
		}
	}
	for f := range l.clears {
		sum ^= xxhash.Sum64(f[:])
	}
	return sum
}

func (c *Crash) hash() uint64 {
	b := make([]byte, 0, 64)
	b = append(b, c.Fingerprint[:]...)
	b = binary.LittleEndian.AppendUint64(b, c.Run.Attempt)
	b = binary.LittleEndian.AppendUint32(b, c.Run.Number)
	b = binary.LittleEndian.AppendUint64(b, uint64(c.Replica.Born))
	return xxhash.Sum64(append(b, c.Replica.Replica...))
}
