// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// TestRevokedKeyDuringBacklog guards against requests that run with a revoked key after the store has
// turned an instance away and has more new configurations than one answer holds.
func TestRevokedKeyDuringBacklog(t *testing.T) {
	is := is.New(t)
	// The versions fill about ten answers.
	const versions, otherRoutes, callers = 50, 700, 8
	w := newCluster(t, 1)
	assertWhole(t, w.send(0, request{id: "before", path: "/safe/", key: "k2"}))
	w.store.SetFaults(platformtest.StoreFaults{
		Refuse: true,
	})
	for range versions {
		w.publishLarge(otherRoutes, "k1", "k2")
	}
	w.publishLarge(otherRoutes, "k1")
	time.Sleep(revoke)
	done := make(chan struct{})
	var all sync.WaitGroup
	for c := range callers {
		all.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				w.send(0, request{id: fmt.Sprintf("revoked-%d-%d", c, i), path: "/safe/", key: "k2"})
			}
		})
	}
	w.store.SetFaults(platformtest.StoreFaults{
		Delay: 5 * time.Millisecond,
	})
	w.await("key refused", func() bool {
		return w.send(0, request{id: "again", path: "/safe/", key: "k2"}).status == http.StatusUnauthorized
	})
	close(done)
	all.Wait()
	assertWhole(t, w.send(0, request{id: "later", path: "/safe/"}))
	// Only the two requests with a key that was in force have run.
	is.Equal(w.totalRuns("p1", "p2"), 2)
}
