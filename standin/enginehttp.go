// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/problem"
)

// Handler serves the HTTP protocol of package engine, and PUT /faults to set the faults.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/attempts", e.serveRun)
	mux.HandleFunc("GET /v1/attempts/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/attempts/{id}", func(w http.ResponseWriter, r *http.Request) {
		respond(w, struct{}{}, e.Cancel(r.Context(), r.PathValue("id")))
	})
	mux.HandleFunc("POST /v1/reservations", func(w http.ResponseWriter, r *http.Request) {
		if v, ok := read[engine.Reservation](w, r); ok {
			respond(w, struct{}{}, e.Reserve(r.Context(), v))
		}
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		s, err := e.Status(r.Context(), r.FormValue("list") == "true")
		respond(w, s, err)
	})
	mux.HandleFunc("POST /v1/orders", func(w http.ResponseWriter, r *http.Request) {
		if v, ok := read[engine.Order](w, r); ok {
			respond(w, struct{}{}, e.Order(r.Context(), v))
		}
	})
	mux.HandleFunc("GET /v1/events", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
		if err != nil {
			http.Error(w, "after must be a number", http.StatusBadRequest)
			return
		}
		events, err := e.Events(r.Context(), after)
		respond(w, events, err)
	})
	serveFaults(mux, e.SetFaults)
	return mux
}

// serveFaults registers PUT /faults, which replaces the faults.
func serveFaults(mux *http.ServeMux, set func(Faults)) {
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		if f, ok := read[Faults](w, r); ok {
			set(f)
			w.WriteHeader(http.StatusNoContent)
		}
	})
}

// read decodes the JSON body of a request. If that fails, it answers with status 400 and
// returns false.
func read[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return v, false
	}
	return v, true
}

// respond answers a request with v, or with the refusal that err describes. If err has the code
// Unreachable, or is not an engine.RunError, respond aborts the connection.
func respond(w http.ResponseWriter, v any, err error) {
	if err == nil {
		wirehttp.JSON(w, http.StatusOK, v)
		return
	}
	var e *engine.RunError
	if !errors.As(err, &e) || e.Code == engine.Unreachable {
		panic(http.ErrAbortHandler)
	}
	wirehttp.JSON(w, http.StatusServiceUnavailable, engine.Refusal{
		Code:    e.Code,
		Started: e.Ran != problem.NotRun,
		Detail:  e.Err.Error(),
	})
}

// serveRun starts an attempt and streams its answer.
func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	a, ok := read[engine.Attempt](w, r)
	if !ok {
		return
	}
	s, err := e.Run(r.Context(), a)
	if err != nil {
		respond(w, nil, err)
		return
	}
	writeStream(w, s)
}

// serveResume streams the answer of a running attempt from the given chunk on.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	seq, err := strconv.Atoi(r.FormValue("from"))
	if err != nil {
		http.Error(w, "from must be a number", http.StatusBadRequest)
		return
	}
	s, err := e.Resume(r.Context(), r.PathValue("id"), seq)
	if err != nil {
		respond(w, nil, err)
		return
	}
	writeStream(w, s)
}

// writeStream writes the chunks of a stream as lines of JSON. It aborts the connection if the
// stream fails.
func writeStream(w http.ResponseWriter, s engine.Stream) {
	// Closing a reader never fails.
	defer func() { _ = s.Close() }()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	if err := out.Flush(); err != nil {
		return
	}
	for {
		k, err := s.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if err := enc.Encode(k); err != nil {
			return
		}
		if err := out.Flush(); err != nil {
			return
		}
	}
}
