// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

const (
	// storeAway is how long the store is away before it comes back from a copy.
	storeAway = 300 * time.Millisecond
	// rewriteAfter is when the operator and the endpoints have written again what the copy lacks.
	rewriteAfter = time.Second
	// knownWithin is the time in which a configuration must be in force.
	knownWithin = 2 * time.Second
	// entryWithin is the time in which the entry of an instance is back.
	entryWithin = 5 * time.Second
)

// restore takes the store away and brings it back from a copy.
func (w *cluster) restore(c *platformtest.Copy) {
	w.store.SetFaults(platformtest.StoreFaults{
		Refuse: true,
	})
	time.Sleep(storeAway)
	w.store.Restore(c)
	w.store.SetFaults(platformtest.StoreFaults{})
}

// publishKnown publishes a configuration and waits until all instances have it.
func (w *cluster) publishKnown(keys ...string) {
	w.t.Helper()
	w.publish(keys...)
	w.awaitAll("configuration known", func(f stats) bool { return f.Store.Version == w.version })
}

// status sends a plain request with a key to instance i and returns the status of the answer.
func (w *cluster) status(i int, id, key string) int {
	return w.send(i, request{
		id:   id,
		path: "/safe/",
		key:  key,
	}).status
}

// assertRevoked checks for a time that no instance accepts a key.
func (w *cluster) assertRevoked(key string, during time.Duration) {
	w.t.Helper()
	n := 0
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i := range w.gateways {
			n++
			if s := w.status(i, fmt.Sprintf("revoked-%s-%d", key, n), key); s == http.StatusOK {
				w.t.Fatalf("instance %d accepts the revoked key %s", i, key)
			}
		}
	}
}

// awaitKeys waits, for at most knownWithin, until all instances accept one key and refuse the other.
func (w *cluster) awaitKeys(accepted, refused string) {
	w.t.Helper()
	n := 0
	end := time.Now().Add(knownWithin)
	for i := range w.gateways {
		for {
			n++
			a := w.status(i, fmt.Sprintf("a-%s-%d", accepted, n), accepted)
			r := w.status(i, fmt.Sprintf("r-%s-%d", refused, n), refused)
			if a == http.StatusOK && r == http.StatusUnauthorized {
				break
			}
			if time.Now().After(end) {
				w.t.Fatalf("instance %d answers key %s with %d and key %s with %d", i, accepted, a, refused, r)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestConfigurationsAfterRestoredStore checks that configurations published after the store has come
// back from a copy come into force, and that none goes back meanwhile.
func TestConfigurationsAfterRestoredStore(t *testing.T) {
	for name, rewritten := range map[string]bool{
		"written again":     true,
		"not written again": false,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newCluster(t, 3)
			w.publishKnown("k1", "k2", "k3")
			copied := w.store.Copy()
			w.publishKnown("k1", "k2")
			w.publishKnown("k1")
			for round := range 2 {
				w.restore(copied)
				w.assertRevoked("k2", rewriteAfter)
				if rewritten {
					w.version-- // the operator writes the same version again
					w.publish("k1")
				}
				w.assertRevoked("k2", rewriteAfter)
				// The next configuration replaces the only valid key.
				w.publish(fmt.Sprint("new", round))
				w.awaitKeys(fmt.Sprint("new", round), "k1")
				w.publish("k1")
				w.awaitKeys("k1", fmt.Sprint("new", round))
				if round == 0 {
					copied = w.store.Copy()
					w.publishKnown("k2")
					w.publishKnown("k1")
				}
			}
		})
	}
}

// TestStartAfterRestoredStore checks that an instance that starts before the operator has written
// again doesn't go back to the configuration of the copy, nor take others with it.
func TestStartAfterRestoredStore(t *testing.T) {
	t.Parallel()
	w := newCluster(t, 2)
	w.publishKnown("k1", "k2")
	copied := w.store.Copy()
	w.publishKnown("k1")
	w.restore(copied)
	g := w.start(2)
	w.await("ready", func() bool { return w.ready(g) })
	w.assertRevoked("k2", 2*time.Second)
	is.New(t).Equal(w.status(2, "valid", "k1"), http.StatusOK)
}

// TestInstanceEntriesAfterRestoredStore checks that the entries of instances that the copy lacks are
// written again.
func TestInstanceEntriesAfterRestoredStore(t *testing.T) {
	t.Parallel()
	w := newCluster(t, 1)
	copied := w.store.Copy()
	for i := 1; i < 3; i++ {
		g := w.start(i)
		w.await("ready", func() bool { return w.ready(g) })
		w.await("entry written", func() bool { return w.hasEntry(i) })
	}
	w.awaitAll("instances known", func(f stats) bool { return f.Store.Peers == 3 })
	w.restore(copied)
	for end := time.Now().Add(entryWithin); !w.hasEntry(1) || !w.hasEntry(2); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("entries of instances are not written again")
		}
		w.assertAllKnown(3)
	}
	for end := time.Now().Add(entryWithin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w.assertAllKnown(3)
	}
}

// hasEntry reports whether the store has the entry of an instance.
func (w *cluster) hasEntry(i int) bool {
	return w.store.HasKeyPrefix(platformtest.TopicPeers, fmt.Sprint("node-", i))
}

// assertAllKnown checks that every instance knows a number of instances.
func (w *cluster) assertAllKnown(n int) {
	w.t.Helper()
	for i, g := range w.gateways {
		if got := w.stats(g).Store.Peers; got != n {
			w.t.Fatalf("instance %d knows %d instances", i, got)
		}
	}
}

// TestEndpointsAfterRestoredStore checks that an endpoint that has left is not used again because
// the copy has it, and that one that the copy lacks remains in use.
func TestEndpointsAfterRestoredStore(t *testing.T) {
	t.Parallel()
	w := newCluster(t, 3)
	copied := w.store.Copy()
	w.store.DeleteEndpoint("p2")
	w.register("e2", "engines", true)
	w.addEndpoint("p3", "plain", nil)
	w.awaitAll("departures known", func(f stats) bool { return f.Store.Departed == 2 && f.Store.Endpoints == 4 })
	before := w.totalRuns("p2", "e2")
	w.restore(copied)
	sendFor(w, "away", rewriteAfter)
	// The endpoints write again.
	w.store.DeleteEndpoint("p2")
	w.register("e2", "engines", true)
	w.register("p3", "plain", false)
	sendFor(w, "again", entryWithin)
	is := is.New(t)
	is.Equal(w.totalRuns("p2", "e2"), before)
	is.True(w.totalRuns("p3") > 0)
	for i, g := range w.gateways {
		if f := w.stats(g).Store; f.Endpoints != 4 {
			t.Errorf("instance %d knows %d endpoints", i, f.Endpoints)
		}
	}
}

// TestUnwrittenEndpointAfterRestoredStore checks that an endpoint that is not written again is gone
// some seconds later.
func TestUnwrittenEndpointAfterRestoredStore(t *testing.T) {
	t.Parallel()
	w := newCluster(t, 3)
	copied := w.store.Copy()
	w.addEndpoint("p3", "plain", nil)
	w.awaitAll("endpoint known", func(f stats) bool { return f.Store.Endpoints == 5 })
	w.restore(copied)
	time.Sleep(rewriteAfter)
	for i, g := range w.gateways {
		if f := w.stats(g).Store; f.Endpoints != 5 {
			t.Errorf("instance %d knows %d endpoints too early", i, f.Endpoints)
		}
	}
	time.Sleep(2 * entryWithin)
	for i, g := range w.gateways {
		if f := w.stats(g).Store; f.Endpoints != 4 {
			t.Errorf("instance %d still knows %d endpoints", i, f.Endpoints)
		}
	}
}

// TestDrainAfterRestoredStore checks that a drain that the copy lacks goes on.
func TestDrainAfterRestoredStore(t *testing.T) {
	t.Parallel()
	w := newCluster(t, 3)
	copied := w.store.Copy()
	w.store.DrainDomain("d9")
	drained := func(f stats) bool { return len(f.Store.Following.Drained) == 1 }
	w.awaitAll("drain known", drained)
	w.restore(copied)
	for end := time.Now().Add(rewriteAfter); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i, g := range w.gateways {
			if !drained(w.stats(g)) {
				t.Fatalf("instance %d ended the drain", i)
			}
		}
	}
	w.store.DrainDomain("d9")
	time.Sleep(entryWithin)
	w.awaitAll("drain kept", drained)
	w.store.UndrainDomain("d9")
	w.awaitAll("drain ended", func(f stats) bool { return len(f.Store.Following.Drained) == 0 })
}

// sendFor sends plain requests and streams to all instances for a time.
func sendFor(w *cluster, tag string, during time.Duration) {
	w.t.Helper()
	n := 0
	for end := time.Now().Add(during); time.Now().Before(end); {
		for i := range w.gateways {
			n++
			for _, path := range []string{"/safe/", "/stream/"} {
				r := w.send(i, request{
					id:     fmt.Sprintf("%s%d%s", tag, n, path[1:3]),
					path:   path,
					tokens: 100,
				})
				if r.status != http.StatusOK {
					w.t.Errorf("%s %s at instance %d: status %d: %s", tag, path, i, r.status, r.body)
				}
			}
		}
	}
}
