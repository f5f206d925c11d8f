// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "github.com/linkmast/linkmast/notice"

// Heard implements notice.Listener: the instances that all others have sessions with tell
// them.
func (c *Client) Heard(a notice.Answer, s notice.Said) {
	if n, changed := c.local.settings.Notices.Heard(a, s); changed {
		c.tell(c.commonPool(), noticeToOwner(n), nil)
	}
}
