// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/tcp"
	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/pool"
)

// TestVerifyEnd checks when an answer without framing, which ended in order with its connection, counts as
// complete. If the endpoint can't be checked, it may have crashed.
func TestVerifyEnd(t *testing.T) {
	refused := &net.OpError{
		Op:  "dial",
		Err: syscall.ECONNREFUSED,
	}
	for _, row := range []struct {
		name string
		// dial is the error of a new connection to the endpoint.
		dial     error
		length   int64
		complete bool
	}{
		{"endpoint accepts a connection", nil, -1, true},
		{"endpoint refuses it", refused, -1, false},
		{"endpoint does not answer", context.DeadlineExceeded, -1, false},
		{"no path to endpoints", tcp.ErrNoPath, -1, false},
		{"answer with a length", refused, 7, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			a := &attempt{
				relay: &Relay{
					parts: Parts{
						Snapshot: func() *catalog.Snapshot { return &catalog.Snapshot{} },
						Upstream: upstream.New(upstream.Settings{
							Dial: func(context.Context, string, string) (net.Conn, error) {
								if row.dial != nil {
									return nil, row.dial
								}
								c, _ := net.Pipe()
								return c, nil
							},
						}),
						Log: logr.Discard(),
					},
				},
				caller: t.Context(),
				grant: pool.Grant{
					Address: "a:1",
				},
			}
			err := a.verifyEnd(&upstream.Exchange{
				Response: &http.Response{
					ContentLength: row.length,
				},
			})
			is.Equal(err == nil, row.complete)
		})
	}
}
