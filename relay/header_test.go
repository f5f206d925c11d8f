// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestForwardedHeader guards against forwarding headers that apply to a single connection.
func TestForwardedHeader(t *testing.T) {
	is := is.New(t)
	h := http.Header{}
	h.Set("Connection", "close, X-Hop")
	h.Set("X-Hop", "1")
	h.Set("Transfer-Encoding", "chunked")
	h.Set("Content-Length", "7")
	h.Set("Model", "m")
	got := forwardedHeader(h)
	is.Equal(got, http.Header{"Model": {"m"}})
	is.Equal(h.Get("X-Hop"), "1") // the caller's header is unchanged
}
