// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package instances is the interface to the platform's list of live and
// leaving instances, and its adapter over HTTP.
//
// The list lags: an instance that has gone may still be on it, and a new one
// may not be yet. It says who should be there, never who answers.
//
// The protocol over HTTP: GET /v1/instances?since=V -> List. With since, the
// platform may answer with just the changes after version V, which keeps the
// regular reads small: the whole list of 11 200 instances is 1.7 MB.
package instances

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/wirehttp"
)

// Kind tells the system's own instances from endpoint instances.
type Kind string

// The kinds of instance.
const (
	// KindNode is an instance of the system.
	KindNode Kind = "node"
	// KindEndpoint is an engine or a plain service.
	KindEndpoint Kind = "endpoint"
)

// State is what the platform says of an instance.
type State string

// The states of an instance.
const (
	// Live instances may be used.
	Live State = "live"
	// Leaving instances get no new work.
	Leaving State = "leaving"
)

// Instance is one entry of the list.
type Instance struct {
	// ID names the instance. A replacement has another id.
	ID string `json:"id"`
	// Kind is what the instance is.
	Kind Kind `json:"kind"`
	// Address is the host and port that others reach it at.
	Address string `json:"address"`
	// FailureDomain names where it runs.
	FailureDomain string `json:"failure_domain"`
	// Region names the region of the failure domain.
	Region string `json:"region"`
	// State is live or leaving.
	State State `json:"state"`
}

// List is all that the platform knows.
type List struct {
	// Version grows with each change.
	Version int64 `json:"version"`
	// Since is the version that the list is the change from; zero means that
	// it is the whole list.
	Since int64 `json:"since,omitempty"`
	// Removed are the ids that are no longer on the list since then.
	Removed []string `json:"removed,omitempty"`
	// Instances are in no order.
	Instances []Instance `json:"instances"`
}

// Lister returns the list.
type Lister interface {
	// List returns the list as the platform sees it now, or the change from
	// version since. Zero asks for the whole list.
	List(ctx context.Context, since int64) (List, error)
}

// Apply returns the list after a change: next itself when it is whole.
func (l List) Apply(next List) List {
	if next.Since == 0 {
		return next
	}
	gone := make(map[string]bool, len(next.Removed)+len(next.Instances))
	for _, id := range next.Removed {
		gone[id] = true
	}
	for _, i := range next.Instances {
		gone[i.ID] = true
	}
	out := List{
		Version:   next.Version,
		Instances: make([]Instance, 0, len(l.Instances)+len(next.Instances)),
	}
	for _, i := range l.Instances {
		if !gone[i.ID] {
			out.Instances = append(out.Instances, i)
		}
	}
	out.Instances = append(out.Instances, next.Instances...)
	return out
}

// HTTP is the adapter to the list over HTTP.
type HTTP struct {
	client *http.Client
	base   string
}

// NewHTTP returns an adapter to the list at a host and port.
func NewHTTP(client *http.Client, address string) *HTTP {
	return &HTTP{
		client: client,
		base:   "http://" + address,
	}
}

// List implements Lister.
func (h *HTTP) List(ctx context.Context, since int64) (List, error) {
	var l List
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+"/v1/instances?since="+strconv.FormatInt(since, 10), nil)
	if err != nil {
		return l, errors.Wrap(err, "list instances")
	}
	res, err := h.client.Do(req)
	if err != nil {
		return l, errors.Wrap(err, "list instances")
	}
	defer wirehttp.Drain(res.Body)
	if res.StatusCode != http.StatusOK {
		return l, errors.Errorf("list instances: status %d", res.StatusCode)
	}
	if err := json.NewDecoder(res.Body).Decode(&l); err != nil {
		return l, errors.Wrap(err, "list instances")
	}
	return l, nil
}
