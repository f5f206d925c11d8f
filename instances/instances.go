// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package instances defines the interface to the platform's list of live and
// leaving instances and implements it over HTTP.
//
// The list may be out of date: it may still contain an instance that has ended,
// or not yet contain a new one. An instance on the list need not be reachable.
//
// The protocol over HTTP is GET /v1/instances?since=V, which returns a List. If V
// is not 0, the platform may return only the changes after version V, which keeps
// the responses to regular reads small.
package instances

import (
	"context"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/wirehttp"
)

// Kind is the kind of an instance, a node or an endpoint.
type Kind string

// The kinds of instance.
const (
	// KindNode is an instance of Linkmast.
	KindNode Kind = "node"
	// KindEndpoint is an engine or an endpoint of a plain service.
	KindEndpoint Kind = "endpoint"
)

// State is the state of an instance according to the platform.
type State string

// The states of an instance.
const (
	// Live instances may get new work.
	Live State = "live"
	// Leaving instances are about to end and must get no new work.
	Leaving State = "leaving"
)

// Instance is an instance on the list.
type Instance struct {
	// ID is the id of the instance. An instance that replaces it at the same
	// address has another id.
	ID string `json:"id"`
	// Kind is KindNode or KindEndpoint.
	Kind Kind `json:"kind"`
	// Address is the host and port that other instances connect to.
	Address string `json:"address"`
	// FailureDomain is the id of the failure domain that the instance runs in.
	FailureDomain string `json:"failure_domain"`
	// Region is the id of the region of the failure domain.
	Region string `json:"region"`
	// State is Live or Leaving.
	State State `json:"state"`
}

// List is the platform's list of instances, or the changes since an earlier
// version of it.
type List struct {
	// Version increases with each change of the list.
	Version int64 `json:"version"`
	// Since is the version that the changes are relative to. Zero means that this
	// is the complete list.
	Since int64 `json:"since,omitempty"`
	// Removed lists the ids of the instances removed after version Since.
	Removed []string `json:"removed,omitempty"`
	// Instances holds all instances of a complete list, or those added or modified
	// after version Since, in no particular order.
	Instances []Instance `json:"instances"`
}

// Lister fetches the platform's list of instances.
type Lister interface {
	// List returns the complete list, or the changes after the version since. If since
	// is zero, it returns the complete list.
	List(ctx context.Context, since int64) (List, error)
}

// Apply returns the complete list that results from applying the changes in next
// to l, whose version must be next.Since. If next is a complete list, Apply returns
// next.
func (l List) Apply(next List) List {
	if next.Since == 0 {
		return next
	}
	outdated := make(map[string]bool, len(next.Removed)+len(next.Instances))
	for _, id := range next.Removed {
		outdated[id] = true
	}
	for _, i := range next.Instances {
		outdated[i.ID] = true
	}
	out := List{
		Version:   next.Version,
		Instances: make([]Instance, 0, len(l.Instances)+len(next.Instances)),
	}
	for _, i := range l.Instances {
		if !outdated[i.ID] {
			out.Instances = append(out.Instances, i)
		}
	}
	out.Instances = append(out.Instances, next.Instances...)
	return out
}

// HTTP implements Lister over HTTP.
type HTTP struct {
	client *http.Client
	base   string
}

// NewHTTP returns a client of the platform's list at address, a host and port.
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
	if err := wirehttp.DecodeJSON(res.Body, &l); err != nil {
		return l, errors.Wrap(err, "list instances")
	}
	return l, nil
}
