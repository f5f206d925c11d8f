// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/notice"
)

// ExclusionReason implements notice.Guard.
func (c *Client) ExclusionReason(instance string, startedAt time.Time) string {
	return c.local.settings.Notices.ExclusionReason(instance, startedAt)
}

// backoffs returns the endpoints of a service that asked this instance for a back-off which has not
// ended.
func (c *Client) backoffs(service string) []Backoff {
	v := c.local.settings.Notices.View()
	endpoints := v.BackedOff()
	if len(endpoints) == 0 {
		return nil
	}
	now := c.local.settings.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil {
		return nil
	}
	var out []Backoff
	for _, endpoint := range endpoints {
		e := c.snapshot.Endpoints[endpoint]
		until := v.BackoffUntil(endpoint, e.StartedAt)
		if e.Service == service && until.After(now) {
			out = append(out, Backoff{
				Instance: endpoint,
				Duration: until.Sub(now),
			})
		}
	}
	return out
}

// RecordAnswer implements notice.Guard. If the answer changes the endpoint's notice, the new notice
// is sent to the owners of the common pool, which forward it to all instances.
func (c *Client) RecordAnswer(a notice.Answer, s notice.Statements) {
	if n, changed := c.local.settings.Notices.RecordAnswer(a, s); changed {
		c.broadcast(c.commonPool(), ownerNoticeMessage(n), nil)
	}
}
