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

// Status is what a node tells operators of itself.
type Status struct {
	// Instance names the instance.
	Instance string `json:"instance"`
	// Ready states whether the balancer should send requests.
	Ready bool `json:"ready"`
	// Reason says why not.
	Reason string `json:"reason,omitempty"`
	// Generation is the generation of the configuration in force.
	Generation int64 `json:"generation"`
	// Members is how many instances are usable.
	Members int `json:"members"`
	// InFlight counts requests, and errands after them.
	InFlight int64 `json:"in_flight"`
	// Attempts counts the attempts that the instance holds.
	Attempts int `json:"attempts"`
	// Endpoints are those that the instance owns.
	Endpoints []policy.Summary `json:"endpoints"`
}

// Status returns the node's status.
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

// adminHandler serves operators: liveness, readiness, counters, the status, and
// what happened to a request.
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
		story, ok := n.entry.Explain(r.PathValue("request"))
		if !ok {
			http.Error(w, "this instance knows no such request", http.StatusNotFound)
			return
		}
		wirehttp.JSON(w, http.StatusOK, story)
	})
	mux.HandleFunc("GET /configuration", func(w http.ResponseWriter, _ *http.Request) {
		text, generation := n.rollout.Text()
		w.Header().Set("Content-Type", "application/toml")
		w.Header().Set("Linkmast-Generation", fmt.Sprint(generation))
		// The operator may have gone; there is nobody left to tell.
		_, _ = w.Write(text)
	})
	mux.HandleFunc("GET /debug/vars", n.vars)
	return mux
}

// vars serves the process's counters and this node's, as package expvar does.
func (n *Node) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	out := "{"
	expvar.Do(func(kv expvar.KeyValue) {
		out += fmt.Sprintf("%q: %s,\n", kv.Key, kv.Value)
	})
	out += fmt.Sprintf("%q: %s}\n", "linkmast", n.entry.Metrics())
	// The operator may have gone; there is nobody left to tell.
	_, _ = w.Write([]byte(out))
}

// Explain returns what happened to a request of this node.
func (n *Node) Explain(request string) (entry.Trace, bool) {
	return n.entry.Explain(request)
}
