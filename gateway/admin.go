// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"expvar"
	"fmt"
	"net/http"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/reach"
)

// adminHandler returns the handler of the admin address.
func (g *Gateway) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", g.handleMetrics)
	return mux
}

// handleMetrics writes the instance's statistics as one JSON object.
func (g *Gateway) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	all := new(expvar.Map).Init()
	all.Set("relay", g.relay.Metrics.Vars)
	all.Set("pools", expvar.Func(func() any { return g.pools.Stats() }))
	all.Set("store", expvar.Func(func() any { return g.storeStats() }))
	all.Set("quarantine", expvar.Func(func() any { return g.quarantine.Stats() }))
	all.Set("reach", expvar.Func(func() any { return g.reachStats() }))
	all.Set("process", expvar.Func(func() any { return g.processStats() }))
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected.
	_, _ = fmt.Fprintln(w, all.String())
}

// storeStats describes the data that the instance has from the store.
type storeStats struct {
	// Version is the version of the configuration in force.
	Version int64 `json:"version"`
	// AgeMS is an upper bound of how outdated the configuration is, in ms. The configuration
	// includes every version that the store had accepted that long ago.
	AgeMS int64 `json:"age_ms"`
	// Endpoints is the number of known endpoints, including leaving ones.
	Endpoints int `json:"endpoints"`
	// Departed is the number of endpoints that are leaving or were removed recently.
	Departed int `json:"departed"`
	// Peers is the number of known instances, including this one once the store lists it.
	Peers int `json:"peers"`
	// Following describes how this instance receives the store's data and forwards it.
	Following catalog.Stats `json:"following"`
}

// storeStats returns the current statistics. AgeMS is zero before the store has confirmed a
// configuration. Version, Endpoints, Departed and Peers are zero before the first snapshot.
func (g *Gateway) storeStats() storeStats {
	f := storeStats{
		Following: g.catalog.Stats(),
	}
	if s := g.catalog.Snapshot(); s != nil {
		f.Version = s.Table.Version
		f.Endpoints = len(s.Endpoints)
		f.Departed = len(s.Departed)
		f.Peers = len(s.Peers)
	}
	if age, ok := g.catalog.Age(); ok {
		f.AgeMS = age.Milliseconds()
	}
	return f
}

// reachStats describes the paths to endpoints.
type reachStats struct {
	reach.Stats
	// Forwarding is the number of connections that the instance forwards for others, and Served
	// their number since the start.
	Forwarding int64 `json:"forwarding"`
	Served     int64 `json:"served"`
}

// reachStats returns the current statistics.
func (g *Gateway) reachStats() reachStats {
	return reachStats{
		Stats:      g.reach.Stats(),
		Forwarding: g.forwarder.Active(),
		Served:     g.forwarder.Served(),
	}
}
