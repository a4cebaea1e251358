package demand

import "time"

// PublisherConfig holds the settings that decide when digests are published.
type PublisherConfig struct {
	// MinPeriod is the minimum time between two digests.
	MinPeriod time.Duration
	// MaxPeriod is the time after which a digest is published even if nothing has changed.
	// Receivers treat a digest as stale after several such periods.
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

// Publisher decides when an instance publishes a digest to its peers: soon after demand has
// changed, periodically if it has not, and always within the bandwidth limit. It is not safe for
// concurrent use.
type Publisher struct {
	config      PublisherConfig
	published   Digest
	publishedAt time.Time
	started     bool
	balance     float64
}

// NewPublisher returns a Publisher that has published nothing.
func NewPublisher(config PublisherConfig) *Publisher {
	return &Publisher{config: config, balance: config.Burst}
}

// Due reports whether digest must be published at now. size is the bandwidth that this needs: the
// bytes of the message times the number of peers. If Due returns true, the digest counts as
// published.
func (p *Publisher) Due(now time.Time, digest Digest, size int) bool {
	if p.started && !p.isDue(now, &digest) {
		return false
	}
	if !p.spend(now, float64(size)) {
		return false
	}
	p.published, p.publishedAt, p.started = digest, now, true
	return true
}

// isDue reports whether the period or a change requires a new digest.
func (p *Publisher) isDue(now time.Time, digest *Digest) bool {
	elapsed := now.Sub(p.publishedAt)
	if elapsed >= p.config.MaxPeriod {
		return true
	}
	return elapsed >= p.config.MinPeriod && changed(&p.published, digest)
}

// spend withdraws size from the bytes that have accumulated since the last digest, or returns false
// if they are too few. A digest larger than the burst is due once a full burst has accumulated, and
// leaves a negative balance.
func (p *Publisher) spend(now time.Time, size float64) bool {
	if p.config.BytesPerSecond <= 0 {
		return true
	}
	available := p.balance
	if p.started {
		available += now.Sub(p.publishedAt).Seconds() * p.config.BytesPerSecond
	}
	available = min(available, p.config.Burst)
	if available < min(size, p.config.Burst) {
		return false
	}
	p.balance = available - size
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
