package peer

import (
	"math"
	"time"

	"masticbank.example/core/demand"
	"masticbank.example/core/membership"
	"masticbank.example/node/peer/peerpb"
)

// Limits of the lists decoded from one digest of a peer.
const (
	maxDigestPools      = 256
	maxDigestRanks      = 16
	maxDigestWorkspaces = 64
)

// EncodeDigest returns the message for a digest whose figures have the given
// age. The instance and its process number are omitted if they are the sender's
// own, as the receiver knows them from the session.
func EncodeDigest(digest demand.Digest, sender string, age time.Duration) *peerpb.Digest {
	message := &peerpb.Digest{
		Sequence: digest.Sequence,
		AgeMs:    clampUint32(age.Milliseconds()),
		Members:  clampUint32(int64(digest.Members)),
	}
	if digest.Instance != sender {
		message.Instance = digest.Instance
		message.Incarnation = digest.Incarnation
	}
	for i := range digest.Pools {
		message.Pools = append(message.Pools, encodePool(&digest.Pools[i]))
	}
	return message
}

func encodePool(pool *demand.PoolDemand) *peerpb.PoolDemand {
	message := &peerpb.PoolDemand{Pool: uint32(pool.Pool)}
	for _, rank := range pool.Ranks {
		message.Ranks = append(message.Ranks, &peerpb.RankDemand{
			Queued:     clampUint32(int64(rank.Queued)),
			InFlight:   clampUint32(int64(rank.InFlight)),
			Backlog:    uint64(max(rank.Backlog, 0)),
			RestWeight: uint64(max(rank.RestWeight, 0)),
		})
	}
	for _, w := range pool.Workspaces {
		message.Workspaces = append(message.Workspaces, &peerpb.WorkspaceDemand{
			Workspace: uint32(w.Workspace),
			Rank:      clampUint32(int64(w.Rank)),
			Slots:     clampUint32(int64(w.Slots)),
			Weight:    uint64(max(w.Weight, 0)),
		})
	}
	return message
}

// DecodeDigest returns the digest in a message passed to a Handler, and the age
// that its figures had when it was sent. Lists that are too long are truncated.
func DecodeDigest(message *peerpb.Digest) (digest demand.Digest, age time.Duration) {
	digest = demand.Digest{
		Instance:    message.GetInstance(),
		Incarnation: message.GetIncarnation(),
		Sequence:    message.GetSequence(),
		Members:     int(message.GetMembers()),
	}
	for _, pool := range truncate(message.GetPools(), maxDigestPools) {
		digest.Pools = append(digest.Pools, decodePool(pool))
	}
	return digest, time.Duration(message.GetAgeMs()) * time.Millisecond
}

func decodePool(message *peerpb.PoolDemand) demand.PoolDemand {
	pool := demand.PoolDemand{Pool: demand.Key(message.GetPool())}
	for _, rank := range truncate(message.GetRanks(), maxDigestRanks) {
		pool.Ranks = append(pool.Ranks, demand.RankDemand{
			Queued:     int(rank.GetQueued()),
			InFlight:   int(rank.GetInFlight()),
			Backlog:    clampInt64(rank.GetBacklog()),
			RestWeight: clampInt64(rank.GetRestWeight()),
		})
	}
	for _, w := range truncate(message.GetWorkspaces(), maxDigestWorkspaces) {
		pool.Workspaces = append(pool.Workspaces, demand.WorkspaceDemand{
			Workspace: demand.Key(w.GetWorkspace()),
			Rank:      int(w.GetRank()),
			Slots:     int(w.GetSlots()),
			Weight:    clampInt64(w.GetWeight()),
		})
	}
	return pool
}

// Member returns the peer's state as an event of core/membership. It returns
// false for a state that this version does not know.
func (i Info) Member() (membership.Received, bool) {
	states := map[peerpb.InstanceState]membership.State{
		peerpb.InstanceState_INSTANCE_STATE_JOINING: membership.Joining,
		peerpb.InstanceState_INSTANCE_STATE_READY:   membership.Ready,
		peerpb.InstanceState_INSTANCE_STATE_LEAVING: membership.Leaving,
	}
	state, ok := states[i.State]
	return membership.Received{ID: i.ID, Incarnation: i.Incarnation, Zone: i.Zone, State: state}, ok
}

func truncate[T any](list []T, limit int) []T { return list[:min(limit, len(list))] }

func clampUint32(n int64) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

func clampInt64(n uint64) int64 { return int64(min(n, math.MaxInt64)) }
