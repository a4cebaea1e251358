package engine

import (
	"container/list"
	"time"

	"masticbank.example/node/wire"
)

const (
	// bytesPerToken converts prefix blocks into tokens.
	bytesPerToken = 4
	// maxCacheEvents bounds the events kept; older ones are lost.
	maxCacheEvents = 4096
)

// prefixCache holds prompt blocks and evicts the least recently used one. Not
// safe for concurrent use.
type prefixCache struct {
	capacity int
	delay    time.Duration
	lossOne  int
	order    *list.List
	blocks   map[uint64]*list.Element
	events   []timedEvent
	sequence uint64
}

type timedEvent struct {
	at    time.Time
	event wire.CacheEvent
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		capacity: o.CacheBlocks,
		delay:    o.CacheEventDelay,
		lossOne:  o.CacheEventLossOneIn,
		order:    list.New(),
		blocks:   make(map[uint64]*list.Element),
	}
}

// hit returns the tokens of the longest cached prefix.
func (c *prefixCache) hit(blocks []uint64) int {
	n := 0
	for _, b := range blocks {
		e, ok := c.blocks[b]
		if !ok {
			break
		}
		c.order.MoveToFront(e)
		n++
	}
	return n * wire.PrefixBlockBytes / bytesPerToken
}

// store adds the blocks of a prompt that was prefilled.
func (c *prefixCache) store(now time.Time, blocks []uint64) {
	for _, b := range blocks {
		if _, ok := c.blocks[b]; ok || c.capacity <= 0 {
			continue
		}
		if c.order.Len() >= c.capacity {
			c.evict(now)
		}
		c.blocks[b] = c.order.PushFront(b)
		c.publish(now, wire.CacheEvent{Block: b})
	}
}

func (c *prefixCache) evict(now time.Time) {
	e := c.order.Back()
	b := c.order.Remove(e).(uint64)
	delete(c.blocks, b)
	c.publish(now, wire.CacheEvent{Block: b, Evicted: true})
}

// clear empties the cache without events, as a crash does.
func (c *prefixCache) clear() {
	c.order.Init()
	clear(c.blocks)
}

func (c *prefixCache) publish(now time.Time, event wire.CacheEvent) {
	c.sequence++
	event.Sequence = c.sequence
	if c.lossOne > 0 && c.sequence%uint64(c.lossOne) == 0 {
		return
	}
	if len(c.events) >= maxCacheEvents {
		c.events = c.events[1:]
	}
	c.events = append(c.events, timedEvent{at: now, event: event})
}

// since returns the events from a sequence number on that are old enough.
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
