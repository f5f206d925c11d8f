// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"encoding/json"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// engineStats holds the metrics of the pool of engines that concern slowdown.
type engineStats struct {
	Slow  int `json:"slow"`
	Asked int `json:"pace_asked"`
}

// engineStats reads the metrics of instance i.
func (w *cluster) engineStats(i int) engineStats {
	w.t.Helper()
	res, err := http.Get("http://" + w.gateways[i].AdminListen + "/metrics")
	if err != nil {
		w.t.Fatal(err)
	}
	defer res.Body.Close()
	var all struct {
		Pools map[string]engineStats `json:"pools"`
	}
	if err := json.NewDecoder(res.Body).Decode(&all); err != nil {
		w.t.Fatal(err)
	}
	return all.Pools["engines"]
}

// TestSlowEngine checks that the pool's owner detects from the engines' reports that they have
// become slow, and that they have recovered.
func TestSlowEngine(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1)
	n := 0
	stream := func() {
		n++
		g := w.send(0, request{
			id:     "s" + strconv.Itoa(n),
			path:   "/stream/",
			tokens: 60_000,
		})
		assertWhole(t, g)
	}
	slow := func(want int) func() bool {
		return func() bool {
			stream()
			return w.engineStats(0).Slow == want
		}
	}
	stream()
	for _, e := range w.endpoints {
		e.SetFaults(platformtest.EndpointFaults{
			Slowdown: 4,
		})
	}
	w.await("slow engines to be noticed", slow(2))
	is.True(w.endpoints["e1"].ReportCount() > 0)
	for _, e := range w.endpoints {
		e.SetFaults(platformtest.EndpointFaults{})
	}
	w.await("recovery of the engines to be noticed", slow(0))
}
