// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package weights is the interface to the platform's weight store, and its
// adapter over HTTP.
//
// The store serves weights under a rate limit. An engine fetches the weights
// itself when it is ordered to load a model; whoever gives the order first
// takes a permit, so that orders stay within the limit and urgent models come
// first.
//
// The protocol over HTTP: POST /v1/weights/{model}/{version}/permits -> Permit,
// or 429 with Retry-After.
package weights

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/wirehttp"
)

// Permit allows one fetch of one version of a model.
type Permit struct {
	// ID is given to the engine with the order.
	ID string `json:"id"`
	// Bytes is the size of the weights.
	Bytes int64 `json:"bytes"`
}

// LimitedError says that the store's limit is used up.
type LimitedError struct {
	// After is when to ask again.
	After time.Duration
}

// Error returns when to ask again.
func (e *LimitedError) Error() string {
	return "weight store: limit is used up, ask again in " + e.After.String()
}

// Store is the platform's weight store.
type Store interface {
	// Permit asks for one fetch. It returns a *LimitedError when the limit is
	// used up.
	Permit(ctx context.Context, model, version string) (Permit, error)
}

// HTTP is the adapter to the weight store over HTTP.
type HTTP struct {
	client *http.Client
	base   string
}

// NewHTTP returns an adapter to the weight store at a host and port.
func NewHTTP(client *http.Client, address string) *HTTP {
	return &HTTP{
		client: client,
		base:   "http://" + address,
	}
}

// Permit implements Store.
func (h *HTTP) Permit(ctx context.Context, model, version string) (Permit, error) {
	var p Permit
	path := h.base + "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version) + "/permits"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, path, nil)
	if err != nil {
		return p, errors.Wrap(err, "weight permit")
	}
	res, err := h.client.Do(req)
	if err != nil {
		return p, errors.Wrap(err, "weight permit")
	}
	defer wirehttp.Drain(res.Body)
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
		if err != nil {
			seconds = 1
		}
		return p, &LimitedError{
			After: time.Duration(seconds) * time.Second,
		}
	default:
		return p, errors.Errorf("weight permit: status %d", res.StatusCode)
	}
	if err := json.NewDecoder(res.Body).Decode(&p); err != nil {
		return p, errors.Wrap(err, "weight permit")
	}
	return p, nil
}
