// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/notice"
)

// Declines implements notice.Guard.
func (c *Client) Declines(instance string, born time.Time) string {
	return c.local.settings.Notices.Declines(instance, born)
}

// Heard implements notice.Guard: the instances that all others have sessions with tell
// them.
func (c *Client) Heard(a notice.Answer, s notice.Said) {
	if n, changed := c.local.settings.Notices.Heard(a, s); changed {
		c.tell(c.commonPool(), noticeToOwner(n), nil)
	}
}
