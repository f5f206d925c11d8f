// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package standin

import (
	"container/list"

	"github.com/linkmast/linkmast/engine"
)

// maxCacheEvents is the number of latest events that are always kept. Up to twice as many are
// stored.
const maxCacheEvents = 4096

// cache is a prefix cache that evicts the least recently used block.
type cache struct {
	order  *list.List
	blocks map[uint64]*list.Element
	events []engine.CacheEvent
	seq    int64
}

// newCache returns an empty cache.
func newCache() *cache {
	return &cache{
		order:  list.New(),
		blocks: make(map[uint64]*list.Element),
	}
}

// hit returns the number of leading blocks that are cached, and marks these as used.
func (c *cache) hit(blocks []uint64) int {
	for i, b := range blocks {
		e, ok := c.blocks[b]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(blocks)
}

// add inserts blocks or marks them as used, and then evicts blocks until at most limit are
// left.
func (c *cache) add(blocks []uint64, limit int) {
	for _, b := range blocks {
		if e, ok := c.blocks[b]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.recordEvent(b, false)
	}
	c.shrink(limit)
}

// shrink evicts blocks until at most limit are left.
func (c *cache) shrink(limit int) {
	for c.order.Len() > max(limit, 0) {
		e := c.order.Back()
		b := c.order.Remove(e).(uint64)
		delete(c.blocks, b)
		c.recordEvent(b, true)
	}
}

// recordEvent records that a block was added or dropped, and discards old events.
func (c *cache) recordEvent(block uint64, dropped bool) {
	c.seq++
	c.events = append(c.events, engine.CacheEvent{
		Seq:     c.seq,
		Block:   block,
		Dropped: dropped,
	})
	if len(c.events) > 2*maxCacheEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxCacheEvents:]...)
	}
}

// after returns the recorded events with a sequence number above seq.
func (c *cache) after(seq int64) []engine.CacheEvent {
	out := make([]engine.CacheEvent, 0)
	for _, e := range c.events {
		if e.Seq > seq {
			out = append(out, e)
		}
	}
	return out
}
