package route

import (
	"slices"
	"time"
)

const (
	// maxCacheHints bounds the pairs of replica and block that a table holds.
	maxCacheHints = 1 << 16
	// cacheHintAge is the age at which a hint is no longer used. Its worth falls
	// linearly until then.
	cacheHintAge = 5 * time.Minute
	// maxBlocksRead bounds the blocks looked up in one choice. Longer prompts are
	// looked up in equal strides.
	maxBlocksRead = 64
)

// cacheIndex maps prompt blocks to the replicas that reported them. When it is
// full, the oldest hints are dropped.
type cacheIndex struct {
	size    int
	holders map[uint64][]holder
	// order holds the hints from head on in the order of their storage.
	order []hint
	head  int
}

type holder struct {
	replica *replica
	at      int64
}

type hint struct {
	block uint64
	holder
}

func newCacheIndex(size int) *cacheIndex {
	return &cacheIndex{size: size, holders: make(map[uint64][]holder)}
}

// store records that the replica holds the block. A hint that is not newer than
// the known one changes nothing.
func (c *cacheIndex) store(now int64, r *replica, block uint64) {
	entry := holder{replica: r, at: now}
	holders := c.holders[block]
	at := indexOf(holders, r)
	switch {
	case at < 0:
		c.holders[block] = append(holders, entry)
	case holders[at].at >= now:
		return
	default:
		holders[at] = entry
	}
	c.order = append(c.order, hint{block: block, holder: entry})
	if len(c.order)-c.head > c.size {
		c.dropOldest()
	}
}

func (c *cacheIndex) evict(r *replica, block uint64) {
	holders := c.holders[block]
	at := indexOf(holders, r)
	if at < 0 {
		return
	}
	if len(holders) == 1 {
		delete(c.holders, block)
		return
	}
	last := len(holders) - 1
	holders[at] = holders[last]
	holders[last] = holder{}
	c.holders[block] = holders[:last]
}

func (c *cacheIndex) dropOldest() {
	old := c.order[c.head]
	c.order[c.head] = hint{}
	c.head++
	holders := c.holders[old.block]
	at := indexOf(holders, old.replica)
	if at >= 0 && holders[at].at == old.at {
		c.evict(old.replica, old.block)
	}
	if c.head > c.size {
		c.order = slices.Delete(c.order, 0, c.head)
		c.head = 0
	}
}

// mark sets, on each replica that is expected to hold a prefix of the prompt,
// which part of the prompt that is. An engine evicts the end of a prefix first,
// so a known block stands for all blocks before it, also when the events of those
// were lost.
func (c *cacheIndex) mark(now int64, blocks []uint64, stamp uint64) {
	n := len(blocks)
	stride := (n + maxBlocksRead - 1) / maxBlocksRead
	for i := n - 1; i >= 0; i -= stride {
		part := float64(i+1) / float64(n)
		for _, h := range c.holders[blocks[i]] {
			worth := 1 - float64(now-h.at)/float64(cacheHintAge)
			if worth <= 0 || h.replica.cachedAt == stamp {
				continue
			}
			h.replica.cachedAt = stamp
			h.replica.cached = part * min(worth, 1)
		}
	}
}

func indexOf(holders []holder, r *replica) int {
	return slices.IndexFunc(holders, func(h holder) bool { return h.replica == r })
}
