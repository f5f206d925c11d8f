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

// poolFigures are the figures of the pool of engines on the admin address.
type poolFigures struct {
	Slow  int `json:"slow"`
	Asked int `json:"pace_asked"`
}

// engineFigures returns them for an instance.
func (w *world) engineFigures(i int) poolFigures {
	w.t.Helper()
	res, err := http.Get("http://" + w.gateways[i].AdminListen + "/metrics")
	if err != nil {
		w.t.Fatal(err)
	}
	defer res.Body.Close()
	var all struct {
		Pools map[string]poolFigures `json:"pools"`
	}
	if err := json.NewDecoder(res.Body).Decode(&all); err != nil {
		w.t.Fatal(err)
	}
	return all.Pools["engines"]
}

// TestSlowEngine lets an engine turn slow and return: the instance that places learns both
// from what the engine tells.
func TestSlowEngine(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	n := 0
	stream := func() {
		n++
		g := w.ask(0, call{
			id:     "s" + strconv.Itoa(n),
			path:   "/stream/",
			tokens: 60_000,
		})
		assertWhole(t, g)
	}
	slow := func(want int) func() bool {
		return func() bool {
			stream()
			return w.engineFigures(0).Slow == want
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
	w.await("their return to be noticed", slow(0))
}
