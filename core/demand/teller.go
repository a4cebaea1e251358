package demand

import "time"

// TellerConfig holds the fixed settings of a Teller.
type TellerConfig struct {
	// MinPeriod is the least time between two digests.
	MinPeriod time.Duration
	// MaxPeriod is the time after which a digest is told although nothing has
	// changed. Receivers take a digest as stale after several of it.
	MaxPeriod time.Duration
	// BytesPerSecond bounds what digests cost, over all peers together; 0 means
	// no bound.
	BytesPerSecond float64
	// Burst is the number of bytes that may be sent at once after a pause.
	Burst float64
}

// Defaults of TellerConfig for small fleets.
const (
	DefaultMinPeriod = 200 * time.Millisecond
	DefaultMaxPeriod = time.Second
)

// changeFraction is the change of a rank's slots, as one part in so many, that
// is told before MaxPeriod is over.
const changeFraction = 8

// Teller decides when an instance tells its peers a digest: at once when demand
// has changed, at times when it has not, and never for more bytes than it may.
// It is not safe for concurrent use.
type Teller struct {
	config TellerConfig
	told   Digest
	at     time.Time
	began  bool
	bytes  float64
}

// NewTeller returns a teller that has told nothing.
func NewTeller(config TellerConfig) *Teller {
	return &Teller{config: config, bytes: config.Burst}
}

// Due tells whether digest is to be told at now. Size is what that costs: the
// bytes of the message times the number of peers. After true, the digest counts
// as told.
func (t *Teller) Due(now time.Time, digest Digest, size int) bool {
	if t.began && !t.wants(now, &digest) {
		return false
	}
	if !t.pay(now, float64(size)) {
		return false
	}
	t.told, t.at, t.began = digest, now, true
	return true
}

func (t *Teller) wants(now time.Time, digest *Digest) bool {
	passed := now.Sub(t.at)
	if passed >= t.config.MaxPeriod {
		return true
	}
	return passed >= t.config.MinPeriod && changed(&t.told, digest)
}

// pay takes size from the bytes that have gathered since the last digest. A
// digest larger than the burst waits until a full burst has gathered and leaves
// a debt.
func (t *Teller) pay(now time.Time, size float64) bool {
	if t.config.BytesPerSecond <= 0 {
		return true
	}
	gathered := t.bytes
	if t.began {
		gathered += now.Sub(t.at).Seconds() * t.config.BytesPerSecond
	}
	gathered = min(gathered, t.config.Burst)
	if gathered < min(size, t.config.Burst) {
		return false
	}
	t.bytes = gathered - size
	return true
}

// changed tells whether a rank of a pool needs other slots than told, by one
// part in changeFraction or more.
func changed(told, current *Digest) bool {
	if len(told.Pools) != len(current.Pools) {
		return true
	}
	for i := range current.Pools {
		before := told.Pool(current.Pools[i].Pool)
		for rank := range max(len(before.Ranks), len(current.Pools[i].Ranks)) {
			if rankChanged(before.rank(rank), current.Pools[i].rank(rank)) {
				return true
			}
		}
	}
	return false
}

func rankChanged(before, after RankDemand) bool {
	return differs(before.slots(), after.slots()) || differs(before.InFlight, after.InFlight)
}

func differs(before, after int) bool {
	difference := max(before-after, after-before)
	return difference > 0 && difference*changeFraction >= before
}
