// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package standin

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/logsvc"
)

// Instances is a list of instances with its history. It implements instances.Lister.
type Instances struct {
	mu      sync.Mutex
	faults  Faults
	version int64
	current map[string]instances.Instance
	history []snapshot
}

// snapshot is the list as of a point in time.
type snapshot struct {
	at   time.Time
	list instances.List
}

// maxSnapshots bounds the number of versions in the history.
const maxSnapshots = 256

// NewInstances returns an empty list.
func NewInstances() *Instances {
	return &Instances{
		current: make(map[string]instances.Instance),
	}
}

// SetFaults replaces the faults.
func (l *Instances) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Put adds or replaces an instance.
func (l *Instances) Put(i instances.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[i.ID] = i
	l.record()
}

// Remove removes an instance from the list.
func (l *Instances) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.current, id)
	l.record()
}

// record adds the current list to the history as a new version. The caller holds l.mu.
func (l *Instances) record() {
	l.version++
	list := instances.List{
		Version:   l.version,
		Instances: make([]instances.Instance, 0, len(l.current)),
	}
	for _, i := range l.current {
		list.Instances = append(list.Instances, i)
	}
	l.history = append(l.history, snapshot{
		at:   time.Now(),
		list: list,
	})
	if len(l.history) > maxSnapshots {
		l.history = l.history[1:]
	}
}

// List implements instances.Lister. It returns the list as of Faults.Lag ago. If the version since
// is still in the history and not newer than that list, it returns only the changes since then.
func (l *Instances) List(_ context.Context, since int64) (instances.List, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return instances.List{}, errors.New("outage")
	}
	until := time.Now().Add(-l.faults.Lag)
	var list instances.List
	for _, s := range l.history {
		if !s.at.After(until) {
			list = s.list
		}
	}
	for _, s := range l.history {
		if since > 0 && s.list.Version == since && since <= list.Version {
			return listChange(s.list, list), nil
		}
	}
	return list, nil
}

// listChange returns the difference between two versions of the list.
func listChange(from, to instances.List) instances.List {
	out := instances.List{
		Version: to.Version,
		Since:   from.Version,
	}
	old := make(map[string]instances.Instance, len(from.Instances))
	for _, i := range from.Instances {
		old[i.ID] = i
	}
	for _, i := range to.Instances {
		if old[i.ID] != i {
			out.Instances = append(out.Instances, i)
		}
		delete(old, i.ID)
	}
	for id := range old {
		out.Removed = append(out.Removed, id)
	}
	return out
}

// Platform combines the log, the list of instances and the weight store behind one HTTP
// handler.
type Platform struct {
	// Log is the append-only log.
	Log *Log
	// Instances is the list of instances.
	Instances *Instances
	// Weights is the weight store.
	Weights *Weights
}

// NewPlatform returns a platform with an empty log, an empty list of instances and a weight
// store with default settings.
func NewPlatform(s LogSettings) *Platform {
	return &Platform{
		Log:       NewLog(s),
		Instances: NewInstances(),
		Weights:   NewWeights(WeightSettings{}),
	}
}

// Handler serves the HTTP protocols of packages logsvc, instances and weights. It also serves
// PUT and DELETE on /v1/instances/{id} to change the list, and PUT /faults to set the faults
// of all parts.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{name}", p.serveAppend)
	mux.HandleFunc("GET /v1/streams/{name}", p.serveRead)
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		since, err := strconv.ParseInt(cmp.Or(r.FormValue("since"), "0"), 10, 64)
		if err != nil {
			http.Error(w, "since must be a number", http.StatusBadRequest)
			return
		}
		list, err := p.Instances.List(r.Context(), since)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		wirehttp.JSON(w, http.StatusOK, list)
	})
	mux.HandleFunc("PUT /v1/instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		if i, ok := read[instances.Instance](w, r); ok {
			i.ID = r.PathValue("id")
			p.Instances.Put(i)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("DELETE /v1/instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		p.Instances.Remove(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	p.Weights.serve(mux)
	serveFaults(mux, func(f Faults) {
		p.Log.SetFaults(f)
		p.Instances.SetFaults(f)
		p.Weights.SetFaults(f)
	})
	return mux
}

// serveAppend appends records to a stream. It aborts the connection if the outcome must stay
// unknown to the client.
func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, ok := read[logsvc.AppendBody](w, r)
	if !ok {
		return
	}
	offset, err := p.Log.Append(r.Context(), r.PathValue("name"), body.Records)
	if logsvc.IsUnknown(err) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	wirehttp.JSON(w, http.StatusOK, logsvc.AppendAnswer{
		Offset: offset,
	})
}

// serveRead serves the records of a stream from an offset on.
func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be a number", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil {
		http.Error(w, "wait_ms must be a number", http.StatusBadRequest)
		return
	}
	b, err := p.Log.Read(r.Context(), r.PathValue("name"), from, time.Duration(wait)*time.Millisecond)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	wirehttp.JSON(w, http.StatusOK, b)
}
