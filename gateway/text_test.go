// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// TestKeysWithoutText guards against endpoints, and instances that follow others, that are lost because a key
// in the store is no text.
func TestKeysWithoutText(t *testing.T) {
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
