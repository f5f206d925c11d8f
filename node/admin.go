// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package node

import (
	"expvar"
	"fmt"
	"net/http"

	"github.com/linkmast/linkmast/entry"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/policy"
)

// Status describes a node to its operators.
type Status struct {
	// Instance names the instance.
	Instance string `json:"instance"`
	// Ready reports whether the load balancer should send requests to the instance.
	Ready bool `json:"ready"`
	// Reason says why the instance isn't ready. It is empty if the instance is ready.
	Reason string `json:"reason,omitempty"`
	// Generation is the generation of the configuration in force, or zero if there is none.
	Generation int64 `json:"generation"`
	// Members is the number of available instances, including this one unless it is stopping.
	Members int `json:"members"`
	// InFlight is the number of unfinished requests, and of unfinished background tasks that
	// requests have started.
	InFlight int64 `json:"in_flight"`
	// Attempts is the number of attempts for which the instance has a lease or has requested one.
	Attempts int `json:"attempts"`
	// Endpoints are summaries of the endpoints that the instance owns, ordered by id.
	Endpoints []policy.Summary `json:"endpoints"`
}

// Status returns the node's current status.
func (n *Node) Status() Status {
	ready, reason := n.entry.Ready()
	return Status{
		Instance:   n.self.ID,
		Ready:      ready,
		Reason:     reason,
		Generation: n.Generation(),
		Members:    len(n.member.View().Nodes),
		InFlight:   n.entry.InFlight(),
		Attempts:   n.entry.Registry.Len(),
		Endpoints:  n.owner.Summaries(),
	}
}

// adminHandler returns the handler of the admin address. It serves liveness, readiness, the status,
// the trace of a request, the newest accepted configuration, and counters.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if ready, reason := n.entry.Ready(); !ready {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		wirehttp.JSON(w, http.StatusOK, n.Status())
	})
	mux.HandleFunc("GET /explain/{request}", func(w http.ResponseWriter, r *http.Request) {
		trace, ok := n.entry.Explain(r.PathValue("request"))
		if !ok {
			http.Error(w, "this instance knows no such request", http.StatusNotFound)
			return
		}
		wirehttp.JSON(w, http.StatusOK, trace)
	})
	mux.HandleFunc("GET /configuration", func(w http.ResponseWriter, _ *http.Request) {
		text, generation := n.rollout.Text()
		w.Header().Set("Content-Type", "application/toml")
		w.Header().Set("Linkmast-Generation", fmt.Sprint(generation))
		// A write fails only if the client has disconnected.
		_, _ = w.Write(text)
	})
	mux.HandleFunc("GET /debug/vars", n.vars)
	return mux
}

// vars serves the expvar variables of the process, the paths to endpoints and the counters of this node in the format of
// the expvar handler.
func (n *Node) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	out := "{"
	expvar.Do(func(kv expvar.KeyValue) {
		out += fmt.Sprintf("%q: %s,\n", kv.Key, kv.Value)
	})
	out += fmt.Sprintf("%q: %s,\n", "reach", expvar.Func(func() any { return n.reach.Stats() }))
	out += fmt.Sprintf("%q: %s}\n", "linkmast", n.entry.Metrics())
	// A write fails only if the client has disconnected.
	_, _ = w.Write([]byte(out))
}

// Explain returns the trace of a request that this node received, or false if it has none.
func (n *Node) Explain(request string) (entry.Trace, bool) {
	return n.entry.Explain(request)
}
