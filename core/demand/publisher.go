package demand

import "time"

// PublisherConfig holds the settings that decide when digests are published.
type PublisherConfig struct {
	// MinPeriod is the minimum time between two digests.
	MinPeriod time.Duration
	// MaxPeriod is the time after which a digest is published even if nothing has changed.
	// Receivers treat a digest as stale after several periods.
	MaxPeriod time.Duration
	// BytesPerSecond is the maximum rate of digest traffic to all peers together; 0 means no
	// limit.
	BytesPerSecond float64
	// Burst is the number of bytes that may be sent at once after a pause.
	Burst float64
}

// Default periods for small fleets.
const (
	DefaultMinPeriod = 200 * time.Millisecond
	DefaultMaxPeriod = time.Second
)

// changeDivisor sets the smallest change of a rank's slots that is published before MaxPeriod is
// over: one part in changeDivisor.
const changeDivisor = 8

// Publisher decides when an instance publishes a digest to its peers: soon after demand has changed,
// periodically if it has not, and always within the bandwidth limit. It is not safe for
// concurrent use.
type Publisher struct {
	config      PublisherConfig
	published   Digest
	publishedAt time.Time
	started     bool
	balance     float64
}

// NewPublisher returns one that has published nothing.
func NewPublisher(config PublisherConfig) *Publisher {
	return &Publisher{config: config, balance: config.Burst}
}

// Due reports whether digest must be published at now. size is the bandwidth that this needs: the
// bytes of the message times the number of peers. If Due returns true, the digest counts as
// published.
func (t *Publisher) Due(now time.Time, digest Digest, size int) bool {
	if t.started && !t.isDue(now, &digest) {
		return false
	}
	if !t.spend(now, float64(size)) {
		return false
	}
	t.published, t.publishedAt, t.started = digest, now, true
	return true
}

// isDue reports whether the period or a change requires a new digest.
func (t *Publisher) isDue(now time.Time, digest *Digest) bool {
	passed := now.Sub(t.publishedAt)
	if passed >= t.config.MaxPeriod {
		return true
	}
	return passed >= t.config.MinPeriod && changed(&t.published, digest)
}

// spend withdraws size from the bytes that have accumulated since the last digest. A digest larger
// than the burst is due once a full burst has accumulated, and leaves a negative balance.
func (t *Publisher) spend(now time.Time, size float64) bool {
	if t.config.BytesPerSecond <= 0 {
		return true
	}
	available := t.balance
	if t.started {
		available += now.Sub(t.publishedAt).Seconds() * t.config.BytesPerSecond
	}
	available = min(available, t.config.Burst)
	if available < min(size, t.config.Burst) {
		return false
	}
	t.balance = available - size
	return true
}

// changed reports whether the slots of any rank of a pool differ from the published ones by at
// least one part in changeDivisor.
func changed(published, current *Digest) bool {
	if len(published.Pools) != len(current.Pools) {
		return true
	}
	for i := range current.Pools {
		before := published.Pool(current.Pools[i].Pool)
		for rank := range max(len(before.Ranks), len(current.Pools[i].Ranks)) {
			if rankChanged(before.rankDemand(rank), current.Pools[i].rankDemand(rank)) {
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
	return difference > 0 && difference*changeDivisor >= before
}
