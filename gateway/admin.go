// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime"

	"github.com/linkmast/linkmast/catalog"
)

// adminHandler serves the metrics.
func (g *Gateway) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", g.handleMetrics)
	return mux
}

// handleMetrics writes all counters as one JSON object.
func (g *Gateway) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	all := new(expvar.Map).Init()
	all.Set("relay", g.relay.Metrics.Vars)
	all.Set("pools", expvar.Func(func() any { return g.pools.Stats() }))
	all.Set("store", expvar.Func(func() any { return g.storeStats() }))
	all.Set("quarantine", expvar.Func(func() any { return g.quarantine.Stats() }))
	all.Set("process", expvar.Func(func() any { return g.processStats() }))
	w.Header().Set("Content-Type", "application/json")
	// The reader may have gone; there is nobody left to tell.
	_, _ = fmt.Fprintln(w, all.String())
}

// storeStats are what is known from the store.
type storeStats struct {
	// Version is that of the configuration in force.
	Version int64 `json:"version"`
	// AgeMS is how old it may be, in ms.
	AgeMS     int64 `json:"age_ms"`
	Endpoints int   `json:"endpoints"`
	// Departed counts the endpoints that leave or have gone of late.
	Departed int `json:"departed"`
	Peers    int `json:"peers"`
	// Following is the instance's place among those that hand on what the store says.
	Following catalog.Stats `json:"following"`
}

// storeStats returns the figures; zero while nothing is known.
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

// processStats are those of the process.
type processStats struct {
	Goroutines int `json:"goroutines"`
	// InFlight counts the requests that are being served.
	InFlight int64 `json:"in_flight"`
	// Connections counts the open connections of callers.
	Connections int `json:"connections"`
	// Dials counts the connections that were opened to endpoints.
	Dials int64 `json:"dials"`
	// LinesDropped counts log lines that were dropped.
	LinesDropped int64 `json:"lines_dropped"`
}

// processStats returns the figures of now.
func (g *Gateway) processStats() processStats {
	return processStats{
		Goroutines:   runtime.NumGoroutine(),
		InFlight:     g.relay.InFlight(),
		Connections:  g.callerConns.count(),
		Dials:        g.upstream.Dials(),
		LinesDropped: g.droppedLines(),
	}
}
