// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "time"

// ReportSilence implements SilenceMonitor. The report goes to the deciding owner, which combines it
// with those of other instances.
func (c *Client) ReportSilence(id, service string, silence time.Duration) {
	if l := c.decidingLink(service); l != nil {
		l.enqueue(suspicionMessage(id, service, silence))
		return
	}
	c.local.ReportSilence(id, service, silence)
}

// decidingLink returns the link to the first reachable owner of a pool, or nil if this instance
// decides.
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

// decidingInstance returns the name of the instance that decides for a pool.
func (c *Client) decidingInstance(service string) string {
	if l := c.decidingLink(service); l != nil {
		return l.peer
	}
	return c.self.ID
}

// OnMigrate implements SilenceMonitor.
func (c *Client) OnMigrate(id string, migrate func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.migrations[id] = migrate
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.migrations, id)
	}
}

// migrateAttempt migrates an attempt on the order of an owner.
func (c *Client) migrateAttempt(id, endpoint, by string) {
	c.mu.Lock()
	migrate, r := c.migrations[id], c.attempts[id]
	c.mu.Unlock()
	if migrate == nil || r == nil || by != c.decidingInstance(r.request.Service) {
		// Only the deciding owner's order counts: a standby sees the same silence, but knows less
		// about free capacity.
		return
	}
	c.log.Info("attempt ordered to migrate", "attempt", id, "endpoint", endpoint, "by", by)
	go migrate()
}

// migrateLocally migrates an attempt on the order of the local scheduler.
func (c *Client) migrateLocally(m migration) {
	c.migrateAttempt(m.id, m.endpoint, c.self.ID)
}
