package silence

import "time"

const (
	// probesPerReplica is the number of probes per second that all instances together send to one
	// replica on average, beside the survey that one of them makes each second for all: twice as many.
	probesPerReplica = 2
	// minFree is the least share of free room that counts, so that dead replicas are still found when
	// there is none.
	minFree = 0.25
	// burst is the number of probes that an instance may send at once: two inquiries about a whole
	// path of eight replicas, each with its two rounds. A path has 6 to 8 under load.
	burst = 32
	// firstEventReserve is the part of burst that is kept from streams that have no event yet, which
	// may just be waiting for their prefill, and shortReserve that from streams that have been silent
	// for less than maxSilence. Both are kept for those whose clients leave soonest.
	firstEventReserve = burst / 2
	shortReserve      = burst / 4
)

// Share describes what an instance has a share of.
type Share struct {
	// Replicas is the number of replicas, Instances that of instances which send probes to them.
	Replicas, Instances int
	// Free is the share of the replicas' room that is free, from 0 to 1.
	Free float64
}

// Budget limits the probes of one instance, so that those of all instances grow neither with the number
// of silent streams nor with that of instances, and shrink with the free room: when all streams are slow,
// silence says little. The zero Budget is full.
type Budget struct {
	spent     float64
	updatedAt time.Time
}

// Take takes n probes and reports whether they may be sent. silent is the time since the last event of
// the stream that needs them, 0 if it has had none. An inquiry is begun as long as half of the budget, or as much as it needs, is left, and is then
// carried through: half of one finds nothing.
func (b *Budget) Take(now time.Time, n int, silent time.Duration, s Share) bool {
	if n == 0 {
		return true
	}
	rate := probesPerReplica * float64(s.Replicas) * min(1, max(s.Free, minFree)) / float64(max(1, s.Instances))
	if now.After(b.updatedAt) {
		if !b.updatedAt.IsZero() {
			b.spent = max(0, b.spent-rate*now.Sub(b.updatedAt).Seconds())
		}
		b.updatedAt = now
	}
	left := burst - b.spent
	switch {
	case silent == 0:
		left -= firstEventReserve
	case silent < maxSilence:
		left -= shortReserve
	}
	if left < min(float64(n), burst/2) {
		return false
	}
	b.spent += float64(n)
	return true
}

const (
	// checkInterval is the time between two checks of a silent stream, and maxCheckInterval the
	// longest one after checks that have found nothing. A stream that was moved half a second late still has its
	// next event before its client leaves, after 2 s without one.
	checkInterval    = 130 * time.Millisecond
	maxCheckInterval = 4 * checkInterval
)

// NextCheck returns the time to the next check of a silent stream of which that many checks in a row
// have found that all replicas respond.
func NextCheck(cleared int) time.Duration {
	return min(maxCheckInterval, checkInterval<<min(max(0, cleared-1), maxDoublings))
}

// WantsReport reports whether a check of a silent stream reads the report of its first replica, which says
// whether it is held up between two replicas that respond. Reports are 0.2 s old, so that the first
// check of a stream comes too early, unless nobody is suspected.
func WantsReport(suspects, cleared int) bool { return suspects == 0 || cleared > 0 }

// maxDoublings keeps checkInterval from overflowing.
const maxDoublings = 8
