// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/tcp/tcptest"
	"github.com/linkmast/linkmast/platform/platformtest"
)

// TestCrashWhileDown guards against an endpoint that accepts connections again before crashDowntime has
// passed, because a request that ran beside the one which crashed it crashes it as well.
func TestCrashWhileDown(t *testing.T) {
	is := is.New(t)
	target := httptest.NewServer(nil)
	t.Cleanup(target.Close)
	proxy, err := tcptest.NewProxy(target.Listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(proxy.Close)
	d := &Deployment{
		store: platformtest.NewStore(),
	}
	e := &endpoint{
		Endpoint: new(platformtest.Endpoint),
		proxy:    proxy,
	}
	accepts := func() bool {
		c, err := net.Dial("tcp", proxy.Address)
		if err != nil {
			return false
		}
		return c.Close() == nil
	}
	for range 2 {
		d.crash(e)
		d.crash(e)
		time.Sleep(crashDowntime / 2)
		is.True(!accepts())
		for !accepts() {
			time.Sleep(listenRetry)
		}
	}
	d.crash(e)
	time.Sleep(crashDowntime / 2)
	is.True(!accepts()) // no restart is left over from an earlier crash
}
