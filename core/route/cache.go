package route

import (
	"slices"
	"time"
)

const (
	// maxCacheHints is the maximum number of (replica, block) pairs in a table.
	maxCacheHints = 1 << 16
	// cacheHintAge is the age at which a hint expires. The value of a hint
	// falls linearly from 1 to 0 over this time.
	cacheHintAge = 5 * time.Minute
	// maxBlocksRead limits the blocks looked up for one choice. For longer
	// prompts only every n-th block is looked up.
	maxBlocksRead = 64
)

// cacheIndex maps prompt blocks to the replicas that reported holding them. It
// holds at most size hints and discards the oldest first.
type cacheIndex struct {
	size    int
	holders map[uint64][]holder
	// hints lists the hints in insertion order; the entries before head have
	// been discarded.
	hints []hint
	head  int
}

// holder is a replica that reported a block, with the time of the report in
// Unix nanoseconds.
type holder struct {
	replica    *replica
	reportedAt int64
}

// hint is a reported pair of block and replica.
type hint struct {
	block uint64
	holder
}

func newCacheIndex(size int) *cacheIndex {
	return &cacheIndex{size: size, holders: make(map[uint64][]holder)}
}

// store records that the replica holds the block. A report that is not newer
// than the known one is ignored.
func (c *cacheIndex) store(now int64, r *replica, block uint64) {
	entry := holder{replica: r, reportedAt: now}
	holders := c.holders[block]
	index := indexOf(holders, r)
	switch {
	case index < 0:
		c.holders[block] = append(holders, entry)
	case holders[index].reportedAt >= now:
		return
	default:
		holders[index] = entry
	}
	c.hints = append(c.hints, hint{block: block, holder: entry})
	if len(c.hints)-c.head > c.size {
		c.discardOldest()
	}
}

// evict records that the replica no longer holds the block.
func (c *cacheIndex) evict(r *replica, block uint64) {
	holders := c.holders[block]
	index := indexOf(holders, r)
	if index < 0 {
		return
	}
	if len(holders) == 1 {
		delete(c.holders, block)
		return
	}
	last := len(holders) - 1
	holders[index] = holders[last]
	holders[last] = holder{}
	c.holders[block] = holders[:last]
}

func (c *cacheIndex) discardOldest() {
	oldest := c.hints[c.head]
	c.hints[c.head] = hint{}
	c.head++
	holders := c.holders[oldest.block]
	index := indexOf(holders, oldest.replica)
	if index >= 0 && holders[index].reportedAt == oldest.reportedAt {
		c.evict(oldest.replica, oldest.block)
	}
	if c.head > c.size {
		c.hints = slices.Delete(c.hints, 0, c.head)
		c.head = 0
	}
}

// markCached sets, on each replica that is expected to hold a prefix of the
// prompt, the fraction of the prompt that it holds. Engines evict a prefix from
// its end, so a known block implies all blocks before it, even if the events of
// those were lost.
func (c *cacheIndex) markCached(now int64, blocks []uint64, stamp uint64) {
	n := len(blocks)
	stride := (n + maxBlocksRead - 1) / maxBlocksRead
	for i := n - 1; i >= 0; i -= stride {
		fraction := float64(i+1) / float64(n)
		for _, holder := range c.holders[blocks[i]] {
			value := 1 - float64(now-holder.reportedAt)/float64(cacheHintAge)
			if value <= 0 || holder.replica.cachedStamp == stamp {
				continue
			}
			holder.replica.cachedStamp = stamp
			holder.replica.cachedFraction = fraction * min(value, 1)
		}
	}
}

func indexOf(holders []holder, r *replica) int {
	return slices.IndexFunc(holders, func(h holder) bool { return h.replica == r })
}
