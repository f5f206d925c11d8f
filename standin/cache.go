// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package standin

import (
	"container/list"

	"github.com/linkmast/linkmast/engine"
)

// maxCacheEvents bounds the events that are kept for readers.
const maxCacheEvents = 4096

// cache is a prefix cache that drops the block that was used longest ago.
type cache struct {
	order  *list.List
	blocks map[uint64]*list.Element
	events []engine.CacheEvent
	seq    int64
}

func newCache() *cache {
	return &cache{
		order:  list.New(),
		blocks: make(map[uint64]*list.Element),
	}
}

// hit returns how many leading blocks are cached, and marks them as used.
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

// add puts blocks into the cache, which then holds at most limit of them.
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

// shrink drops blocks until at most limit are left.
func (c *cache) shrink(limit int) {
	for c.order.Len() > max(limit, 0) {
		e := c.order.Back()
		b := c.order.Remove(e).(uint64)
		delete(c.blocks, b)
		c.recordEvent(b, true)
	}
}

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

// after returns the events after seq that are still kept.
func (c *cache) after(seq int64) []engine.CacheEvent {
	out := make([]engine.CacheEvent, 0)
	for _, e := range c.events {
		if e.Seq > seq {
			out = append(out, e)
		}
	}
	return out
}
