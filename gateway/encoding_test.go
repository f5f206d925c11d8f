// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// unusualIDs are IDs of requests that are not valid UTF-8, very long, or contain the separators of lists.
var unusualIDs = []string{"\xff\xfe", "a,b/c:d", strings.Repeat("i", 20_000), "\xc3\x28 x"}

// TestRequestIDsOfAnyBytes guards against requests that fail, or make those of other callers fail, because of
// their ID.
func TestRequestIDsOfAnyBytes(t *testing.T) {
	w := newCluster(t, 3)
	for n, id := range unusualIDs {
		var all sync.WaitGroup
		for i := range w.gateways {
			for _, p := range paths {
				all.Go(func() {
					g := w.send(i, request{id: fmt.Sprintf("%d%s", i, id), path: p, tokens: 100})
					if g.err != nil || g.status != http.StatusOK {
						t.Errorf("ID %d on %s at instance %d: status %d, %v, %.100s", n, p, i, g.status, g.err, g.body)
					}
				})
			}
		}
		all.Wait()
	}
}

// TestInvalidUTF8Keys guards against endpoints, and instances that follow others, that are lost because a key
// in the store is not valid UTF-8.
func TestInvalidUTF8Keys(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 4)
	for n := range 20 {
		key := fmt.Sprintf("\xff%d", n)
		w.store.PutEndpoint(platformtest.EndpointEntry{
			Instance: key,
			Service:  "plain",
			Address:  w.addresses["p1"],
			Domain:   "d1",
			Slots:    8,
		})
		w.store.PutBytes(platformtest.TopicPeers, key, []byte(`{"address":"127.0.0.1:9","domain":"d1","capacity":1}`))
		w.store.PutBytes(platformtest.TopicOperator, "evacuate/"+key, []byte(`{}`))
	}
	w.addEndpoint("p3", "plain", nil)
	w.publish("k1", "k2", "k3")
	w.awaitAll("version known", func(f stats) bool { return f.Store.Version == w.version })
	w.awaitAll("endpoints known", func(f stats) bool { return f.Store.Endpoints == len(w.endpoints) })
	for i, g := range w.gateways {
		assertAllServed(t, w.sendAll(i, "after"))
		is.Equal(w.stats(g).Store.Peers, len(w.gateways))
	}
}
