// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "time"

// ReportSilence implements SilenceMonitor: the owner hears of it, who knows what others see.
func (c *Client) ReportSilence(id, service string, silence time.Duration) {
	if l := c.decidingLink(service); l != nil {
		l.enqueue(suspicionMessage(id, service, silence))
		return
	}
	c.local.ReportSilence(id, service, silence)
}

// decidingLink returns the link to the instance that decides for a pool, or nil when this one
// does.
func (c *Client) decidingLink(service string) *ownerLink {
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

// decidingInstance names the instance that decides for a pool.
func (c *Client) decidingInstance(service string) string {
	if l := c.decidingLink(service); l != nil {
		return l.peer
	}
	return c.self.ID
}

// OnMigrate implements SilenceMonitor.
func (c *Client) OnMigrate(id string, move func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.migrations[id] = move
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.migrations, id)
	}
}

// migrateAttempt has an attempt move that an owner says has to.
func (c *Client) migrateAttempt(id, endpoint, by string) {
	c.mu.Lock()
	move, r := c.migrations[id], c.attempts[id]
	c.mu.Unlock()
	if move == nil || r == nil || by != c.decidingInstance(r.ask.Service) {
		// The standby sees the same, but knows less of where there is room.
		return
	}
	c.log.Info("attempt is to move", "attempt", id, "endpoint", endpoint, "by", by)
	go move()
}

// migrateLocally has an attempt move by what this instance decides itself.
func (c *Client) migrateLocally(m migration) {
	c.migrateAttempt(m.id, m.endpoint, c.self.ID)
}
