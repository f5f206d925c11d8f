// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// The limits of connections to the HTTP servers.
const (
	// headerTimeout bounds the time for reading the header of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection may be idle between requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of the header of a request.
	maxHeaderBytes = 64 << 10
)

// serve starts the HTTP servers. If it can't listen on one of the addresses, it closes all servers
// and returns an error.
func (g *Gateway) serve() error {
	f := g.settings
	g.callers = newServer(g.relay)
	g.callers.ConnState = g.callerConns.handleState
	for _, one := range []struct {
		name    string
		address string
		server  *http.Server
		into    *string
	}{
		{"callers", f.Listen, g.callers, &g.Listen},
		{"ready", f.ReadyListen, newServer(http.HandlerFunc(g.handleReady)), &g.ReadyListen},
		{"admin", f.AdminListen, newServer(g.adminHandler()), &g.AdminListen},
	} {
		l, err := net.Listen("tcp", one.address)
		if err != nil {
			g.closeServers()
			return errors.Wrap(err, "listen")
		}
		*one.into = l.Addr().String()
		g.servers = append(g.servers, one.server)
		g.goroutines.Go(func() { g.logServerEnd(one.name, one.server.Serve(l)) })
	}
	return nil
}

// newServer returns an HTTP server with limits on the headers of requests and on idle connections.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// logServerEnd logs an error if the server ended without being closed.
func (g *Gateway) logServerEnd(name string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		g.log.Error(err, "server ended", "server", name)
	}
}

// handleReady answers the load balancer's readiness check: status 200 if the catalog is complete
// and no stop has begun, otherwise 503.
func (g *Gateway) handleReady(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-g.stopping:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
	}
	if s := g.catalog.Snapshot(); s == nil || !s.Complete {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
