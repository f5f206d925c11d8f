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
	return check(ctx, d.DialContext, address)
}

// CheckBy returns a Check that dials with the given function.
func CheckBy(dial DialFunc) func(ctx context.Context, address string) error {
	return func(ctx context.Context, address string) error { return check(ctx, dial, address) }
}

// check implements Check.
func check(ctx context.Context, dial DialFunc, address string) error {
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}
