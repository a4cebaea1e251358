package engine

import (
	"container/list"
	"time"

	"masticbank.example/node/wire"
)

const (
	// bytesPerToken is the assumed prompt bytes per token, used to convert prefix
	// blocks to tokens.
	bytesPerToken = 4
	// maxCacheEvents is the number of events that are kept; older ones are lost.
	maxCacheEvents = 4096
)

// prefixCache is a cache of prompt blocks that evicts the least recently used one. It
// is not safe for concurrent use.
type prefixCache struct {
	capacity  int
	delay     time.Duration
	lossOneIn int
	recency   *list.List
	blocks    map[uint64]*list.Element
	events    []timedEvent
	sequence  uint64
}

// timedEvent is a cache event and its time.
type timedEvent struct {
	at    time.Time
	event wire.CacheEvent
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		capacity:  o.CacheBlocks,
		delay:     o.CacheEventDelay,
		lossOneIn: o.CacheEventLossOneIn,
		recency:   list.New(),
		blocks:    make(map[uint64]*list.Element),
	}
}

// cachedTokens returns the number of tokens in the longest cached prefix.
func (c *prefixCache) cachedTokens(blocks []uint64) int {
	n := 0
	for _, b := range blocks {
		e, ok := c.blocks[b]
		if !ok {
			break
		}
		c.recency.MoveToFront(e)
		n++
	}
	return n * wire.PrefixBlockBytes / bytesPerToken
}

// store adds the blocks of a prompt after its prefill.
func (c *prefixCache) store(now time.Time, blocks []uint64) {
	for _, b := range blocks {
		if _, ok := c.blocks[b]; ok || c.capacity <= 0 {
			continue
		}
		if c.recency.Len() >= c.capacity {
			c.evict(now)
		}
		c.blocks[b] = c.recency.PushFront(b)
		c.publish(now, wire.CacheEvent{Block: b})
	}
}

// evict removes the least recently used block.
func (c *prefixCache) evict(now time.Time) {
	e := c.recency.Back()
	b := c.recency.Remove(e).(uint64)
	delete(c.blocks, b)
	c.publish(now, wire.CacheEvent{Block: b, Evicted: true})
}

// clear empties the cache without publishing events, as a crash does.
func (c *prefixCache) clear() {
	c.recency.Init()
	clear(c.blocks)
}

// publish numbers an event and keeps it, unless it is one of those to lose.
func (c *prefixCache) publish(now time.Time, event wire.CacheEvent) {
	c.sequence++
	event.Sequence = c.sequence
	if c.lossOneIn > 0 && c.sequence%uint64(c.lossOneIn) == 0 {
		return
	}
	if len(c.events) >= maxCacheEvents {
		c.events = c.events[1:]
	}
	c.events = append(c.events, timedEvent{at: now, event: event})
}

// since returns the events with at least the given sequence number that are old enough
// to be visible.
func (c *prefixCache) since(now time.Time, from uint64) wire.CacheEvents {
	out := wire.CacheEvents{Next: from}
	for _, e := range c.events {
		if now.Sub(e.at) < c.delay {
			break
		}
		if e.event.Sequence >= from {
			out.Events = append(out.Events, e.event)
		}
		out.Next = max(out.Next, e.event.Sequence+1)
	}
	return out
}
