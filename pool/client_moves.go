// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "time"

// Suspect implements Suspecter: the owner hears of it, who knows what others see.
func (c *Client) Suspect(id, service string, silence time.Duration) {
	if l := c.firstOwner(service); l != nil {
		l.tell(suspicionMessage(id, service, silence))
		return
	}
	c.local.Suspect(id, service, silence)
}

// firstOwner returns the link to the instance that decides for a pool, or nil when this one
// does.
func (c *Client) firstOwner(service string) *linked {
	for _, l := range c.owners(service) {
		if l == nil {
			return nil
		}
		if l.usable() {
			return l
		}
	}
	return nil
}

// decides names the instance that decides for a pool.
func (c *Client) decides(service string) string {
	if l := c.firstOwner(service); l != nil {
		return l.peer
	}
	return c.self.ID
}

// OnMove implements Suspecter.
func (c *Client) OnMove(id string, move func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moves[id] = move
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.moves, id)
	}
}

// moveAttempt has an attempt move that an owner says has to.
func (c *Client) moveAttempt(id, endpoint, by string) {
	c.mu.Lock()
	move, r := c.moves[id], c.book[id]
	c.mu.Unlock()
	if move == nil || r == nil || by != c.decides(r.ask.Service) {
		// The standby sees the same, but knows less of where there is room.
		return
	}
	c.log.Info("attempt is to move", "attempt", id, "endpoint", endpoint, "by", by)
	go move()
}

// moveOwn has an attempt move by what this instance decides itself.
func (c *Client) moveOwn(m move) {
	c.moveAttempt(m.id, m.endpoint, c.self.ID)
}
