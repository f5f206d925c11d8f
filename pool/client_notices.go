// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "github.com/linkmast/linkmast/notice"

// Heard implements notice.Listener.
func (c *Client) Heard(a notice.Answer, s notice.Said) {
	c.local.settings.Notices.Heard(a, s)
}
