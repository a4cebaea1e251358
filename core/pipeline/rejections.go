package pipeline

import "time"

const (
	// initialBlock is how long new paths avoid a replica that rejected a request although
	// it has capacity. It is leaving or releasing layers, which its entry shows within one
	// read interval.
	initialBlock = 300 * time.Millisecond
	// maxDoublings is how many times initialBlock doubles while the replica accepts nothing.
	// It is bounded because the replica's entry may be outdated while the store is
	// unavailable.
	maxDoublings = 2
	// remoteExtraBlock is the minimum additional time for which other instances avoid the
	// replica, so that the instance that was rejected retries first. remoteBlockSpread is the
	// range over which their times are spread, so that they do not all retry at once if that
	// instance has no request to send.
	remoteExtraBlock  = 200 * time.Millisecond
	remoteBlockSpread = 400 * time.Millisecond
	// FullUtilization is the reserved share of the KV cache at which a rejection is
	// attributed to missing memory. It is below 1 because reservations are estimates, and a
	// waiting request needs its memory in one piece.
	FullUtilization = 0.7
)

// RejectsForMemory reports whether a rejection by this replica is attributed to missing memory.
func (s State) RejectsForMemory() bool { return s.Utilization() >= FullUtilization }

// Rejections tracks the replicas that rejected requests although they have capacity, and have
// accepted none since. It limits retries in this case: several replicas leave while the store is
// unavailable, and each request that they reject costs a retry. It is not safe for concurrent
// use.
type Rejections struct {
	replicas map[string]rejection
}

// rejection counts the consecutive rejections by a replica.
type rejection struct {
	count int
	last  time.Time
}

// NewRejections returns an empty Rejections.
func NewRejections() *Rejections { return &Rejections{replicas: map[string]rejection{}} }

// AddLocal records that a replica rejected a request of this instance. It returns the number of
// consecutive rejections and how long new paths must avoid the replica.
func (r *Rejections) AddLocal(now time.Time, id string) (count int, d time.Duration) {
	count = r.replicas[id].count + 1
	d = initialBlock << min(count-1, maxDoublings)
	r.replicas[id] = rejection{count: count, last: now}
	return count, d
}

// AddRemote records that a replica rejected a request of another instance, which was the count-th
// consecutive rejection. It returns how long new paths must avoid the replica. The random number,
// from 0 to 1, spreads the retries of the instances.
func (r *Rejections) AddRemote(now time.Time, id string, count int, random float64) time.Duration {
	count = max(count, r.replicas[id].count)
	d := initialBlock<<min(max(count, 1)-1, maxDoublings) + remoteExtraBlock
	d += time.Duration(random * float64(remoteBlockSpread))
	r.replicas[id] = rejection{count: count, last: now}
	return d
}

// RecordAccepted records that a replica runs a request that was sent to it at the given time. A
// request sent before the last rejection is ignored: a replica that is leaving continues the
// requests that it has.
func (r *Rejections) RecordAccepted(id string, sent time.Time) {
	if r.replicas[id].last.Before(sent) {
		delete(r.replicas, id)
	}
}

// Delete deletes the record of a replica that has restarted or holds other layers now.
func (r *Rejections) Delete(id string) { delete(r.replicas, id) }
