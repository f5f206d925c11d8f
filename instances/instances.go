// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package instances is the interface to the platform's list of live and
// leaving instances, and its adapter over HTTP.
//
// The list lags: an instance that has gone may still be on it, and a new one
// may not be yet. It says who should be there, never who answers.
//
// The protocol over HTTP: GET /v1/instances -> List.
package instances

import (
	"context"
	"encoding/json"
	"net/http"

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
	// Instances are in no order.
	Instances []Instance `json:"instances"`
}

// Lister returns the list.
type Lister interface {
	// List returns the list as the platform sees it now.
	List(ctx context.Context) (List, error)
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
func (h *HTTP) List(ctx context.Context) (List, error) {
	var l List
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+"/v1/instances", nil)
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
