// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
)

// BenchmarkServe measures sequential requests through an instance to an endpoint that answers
// immediately, each on a new connection. Caller and endpoint run in the same process.
func BenchmarkServe(b *testing.B) {
	w := newCluster(b, 1)
	for _, e := range w.endpoints {
		e.Work = 0
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g := w.send(0, request{
			id:     fmt.Sprintf("%016x", i),
			method: http.MethodGet,
			path:   "/safe/x",
		})
		if g.err != nil || g.status != http.StatusOK {
			b.Fatal(g.status, g.err)
		}
	}
}
