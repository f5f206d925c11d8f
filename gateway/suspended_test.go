// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/steady/steadytest"
	"github.com/linkmast/linkmast/platform/platformtest"
)

// TestKeyRevokedDuringSuspension guards against an instance that accepts a key that was revoked
// while the operating system was suspended. The store doesn't answer until the first requests
// after the suspension have been refused.
func TestKeyRevokedDuringSuspension(t *testing.T) {
	is := is.New(t)
	m := steadytest.New(t)
	w := newCluster(t, 1)
	assertWhole(t, w.send(0, request{id: "before", path: "/safe/", key: "k2"}))
	w.store.SetFaults(platformtest.StoreFaults{
		Silent: true,
	})
	w.publish("k1")
	m.Suspend(2 * revoke)
	assertRefused(t, w.send(0, request{id: "after", path: "/safe/", key: "k2"}))
	assertRefused(t, w.send(0, request{id: "other", path: "/safe/"}))
	is.Equal(w.runs("after"), 0)
	w.store.SetFaults(platformtest.StoreFaults{})
	w.await("key refused", func() bool {
		return w.send(0, request{id: "again", path: "/safe/", key: "k2"}).status == http.StatusUnauthorized
	})
	assertWhole(t, w.send(0, request{id: "later", path: "/safe/"}))
}

// TestStopOverSuspension checks that the time limit of a planned stop includes time during which
// the operating system is suspended.
func TestStopOverSuspension(t *testing.T) {
	m := steadytest.New(t)
	w := newCluster(t, 1)
	for _, name := range []string{"e1", "e2"} {
		w.endpoints[name].Events = 2000
	}
	go w.send(0, request{id: "long", path: "/once/", tokens: 500, wait: 60_000})
	w.await("stream runs", func() bool { return w.endpoints["e1"].Running()+w.endpoints["e2"].Running() == 1 })
	go w.gateways[0].Stop(t.Context())
	time.Sleep(200 * time.Millisecond)
	m.Suspend(stopWithin)
	select {
	case <-w.gateways[0].Done:
	case <-time.After(time.Second):
		t.Fatal("the instance has not stopped within its time limit")
	}
}
