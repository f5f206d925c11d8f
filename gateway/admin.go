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
	mux.HandleFunc("GET /metrics", g.metrics)
	return mux
}

// metrics writes all counters as one JSON object.
func (g *Gateway) metrics(w http.ResponseWriter, _ *http.Request) {
	all := new(expvar.Map).Init()
	all.Set("relay", g.relay.Metrics.Vars)
	all.Set("pools", expvar.Func(func() any { return g.pools.Stats() }))
	all.Set("store", expvar.Func(func() any { return g.storeFigures() }))
	all.Set("quarantine", expvar.Func(func() any { return g.quarantine.Stats() }))
	all.Set("process", expvar.Func(func() any { return g.processFigures() }))
	w.Header().Set("Content-Type", "application/json")
	// The reader may have gone; there is nobody left to tell.
	_, _ = fmt.Fprintln(w, all.String())
}

// storeFigures are what is known from the store.
type storeFigures struct {
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

// storeFigures returns the figures; zero while nothing is known.
func (g *Gateway) storeFigures() storeFigures {
	f := storeFigures{
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

// processFigures are those of the process.
type processFigures struct {
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

// processFigures returns the figures of now.
func (g *Gateway) processFigures() processFigures {
	return processFigures{
		Goroutines:   runtime.NumGoroutine(),
		InFlight:     g.relay.InFlight(),
		Connections:  g.open.count(),
		Dials:        g.upstream.Dials(),
		LinesDropped: g.dropped(),
	}
}
