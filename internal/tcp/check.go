// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package tcp

import (
	"context"
	"net"
)

// Check opens a TCP connection to an address and closes it again. It returns the error of the
// dial or the close.
func Check(ctx context.Context, address string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}
