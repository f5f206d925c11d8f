// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/route"
)

// publishLarge publishes the next version of the configuration, which has only the route /safe/ and
// a number of copies of it under other prefixes, and one customer that has the keys.
func (w *cluster) publishLarge(more int, keys ...string) {
	w.version++
	routes := []route.Route{{
		Name:        "/safe/",
		Host:        "api.example",
		Prefix:      "/safe/",
		Kind:        route.Safe,
		Shares:      []route.Share{{Service: "plain", Weight: 1}},
		Timeout:     4 * time.Second,
		Target:      300 * time.Millisecond,
		MaxAttempts: 2,
	}}
	for i := range more {
		r := routes[0]
		r.Name = fmt.Sprint("more", i)
		r.Prefix = fmt.Sprintf("/more%d/", i)
		routes = append(routes, r)
	}
	w.store.Publish(w.version, routes, map[string]*batch.Model{
		"engines": fastEngine(),
		"plain":   nil,
	}, 1<<20, []route.Customer{{ID: "c1", Keys: keys}})
}

// TestAcceptsDuringConfigurationChanges guards against instances that don't accept or serve new
// connections in time while large configurations arrive in quick succession, or that miss the last
// one.
func TestAcceptsDuringConfigurationChanges(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 3)
	const versions, connections = 20, 100
	var all sync.WaitGroup
	all.Go(func() {
		for range versions {
			w.publishLarge(1400, "k1")
			time.Sleep(50 * time.Millisecond)
		}
	})
	answers := make([]response, connections)
	took := make([]time.Duration, connections)
	for i := range connections {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			began := time.Now()
			answers[i] = w.send(i%3, request{id: "c" + strconv.Itoa(i), path: "/safe/"})
			took[i] = time.Since(began)
		})
	}
	all.Wait()
	for i, g := range answers {
		assertWhole(t, g)
		is.True(took[i] < 2*time.Second)
	}
	w.awaitAll("last version", func(f stats) bool { return f.Store.Version == w.version })
	for i := range w.gateways {
		w.await("last route", func() bool {
			return w.send(i, request{id: fmt.Sprint("more", i), path: "/more1399/"}).status == 200
		})
	}
}
