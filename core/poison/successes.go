package poison

import "time"

// successes holds the time of the last success of up to maxSuccesses requests.
type successes struct {
	at map[Fingerprint]time.Time
	// ring holds the fingerprints in the order of their first success; next is the slot
	// that is overwritten next.
	ring []Fingerprint
	next int
}

func newSuccesses() *successes { return &successes{at: map[Fingerprint]time.Time{}} }

func (s *successes) add(now time.Time, f Fingerprint) {
	if _, ok := s.at[f]; ok {
		s.at[f] = now
		return
	}
	s.at[f] = now
	if len(s.ring) < maxSuccesses {
		s.ring = append(s.ring, f)
		return
	}
	delete(s.at, s.ring[s.next])
	s.ring[s.next] = f
	s.next = (s.next + 1) % maxSuccesses
}

func (s *successes) last(f Fingerprint) (time.Time, bool) {
	at, ok := s.at[f]
	return at, ok
}
