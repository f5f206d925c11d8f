// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package weights is a client of the platform's weight store.
//
// The store limits the rate at which weights are served. An engine fetches weights itself when
// it is ordered to load a model. Whoever gives the order first obtains a permit, which keeps
// the fetches within the limit.
//
// The protocol over HTTP is POST /v1/weights/{model}/{version}/permits, which returns a Permit,
// or 429 with Retry-After.
package weights

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/wirehttp"
)

// Permit allows one fetch of one version of a model.
type Permit struct {
	// ID identifies the permit.
	ID string `json:"id"`
	// Bytes is the size of the weights.
	Bytes int64 `json:"bytes"`
}

// LimitedError reports that the store's rate limit is exhausted.
type LimitedError struct {
	// After is how long to wait before asking again.
	After time.Duration
}

// Error implements error.
func (e *LimitedError) Error() string {
	return "weight store: rate limit exhausted, retry in " + e.After.String()
}

// Store is the platform's weight store.
type Store interface {
	// Permit requests permission for one fetch. It returns a *LimitedError when the rate limit
	// is exhausted.
	Permit(ctx context.Context, model, version string) (Permit, error)
}

// HTTP is a Store that is reached over HTTP.
type HTTP struct {
	client *http.Client
	base   string
}

// NewHTTP returns a client of the weight store at address, a host and port.
func NewHTTP(client *http.Client, address string) *HTTP {
	return &HTTP{
		client: client,
		base:   "http://" + address,
	}
}

// Permit implements Store.
func (h *HTTP) Permit(ctx context.Context, model, version string) (Permit, error) {
	var p Permit
	permitURL := h.base + "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version) + "/permits"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, permitURL, nil)
	if err != nil {
		return p, errors.Wrap(err, "create weight permit request")
	}
	res, err := h.client.Do(req)
	if err != nil {
		return p, errors.Wrap(err, "request weight permit")
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
		return p, errors.Errorf("request weight permit: unexpected status %d", res.StatusCode)
	}
	if err := wirehttp.DecodeJSON(res.Body, &p); err != nil {
		return p, errors.Wrap(err, "decode weight permit")
	}
	return p, nil
}
