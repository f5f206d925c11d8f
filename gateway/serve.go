// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/tcp"
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

// listeners holds the listening sockets of an instance.
type listeners struct {
	callers net.Listener
	ready   net.Listener
	peers   net.Listener
	// admin is nil if its address is not available yet.
	admin net.Listener
}

// listen opens the sockets. It waits until ctx ends while an address is not available, except for that of
// admin.
func (g *Gateway) listen(ctx context.Context) (*listeners, error) {
	f := g.settings
	var l listeners
	if err := tcp.ListenAll(ctx, []tcp.Socket{
		{Address: f.Listen, Into: &l.callers},
		{Address: f.ReadyListen, Into: &l.ready},
		{Address: f.PeerListen, Probed: true, Into: &l.peers},
	}, g.logWaiting); err != nil {
		return nil, err
	}
	g.AdminListen = f.AdminListen
	if err := tcp.ListenOnce([]tcp.Socket{g.adminSocket(&l.admin)}); err != nil {
		// serveAdmin tries again.
		g.log.Error(err, "no metrics yet")
		return &l, nil
	}
	g.AdminListen = l.admin.Addr().String()
	return &l, nil
}

// adminSocket describes the socket for the metrics.
func (g *Gateway) adminSocket(into *net.Listener) tcp.Socket {
	return tcp.Socket{
		Address: g.settings.AdminListen,
		Into:    into,
	}
}

// logWaiting logs that the instance waits for an address.
func (g *Gateway) logWaiting(err error) {
	g.log.Error(err, "waiting for an address")
}

// serve starts the HTTP servers, except for that of admin.
func (g *Gateway) serve(l *listeners) {
	g.callers = newServer(g.relay)
	g.callers.ConnState = g.callerConns.handleState
	ready := newServer(http.HandlerFunc(g.handleReady))
	g.admin = newServer(g.adminHandler())
	g.Listen = l.callers.Addr().String()
	g.ReadyListen = l.ready.Addr().String()
	g.servers = []*http.Server{g.callers, ready, g.admin}
	g.goroutines.Go(func() { g.logServerEnd("callers", g.callers.Serve(l.callers)) })
	g.goroutines.Go(func() { g.logServerEnd("ready", ready.Serve(l.ready)) })
}

// serveAdmin serves the metrics. If l is nil, it waits until the address is available or ctx ends.
func (g *Gateway) serveAdmin(ctx context.Context, l net.Listener) {
	if l == nil {
		if err := tcp.ListenAll(ctx, []tcp.Socket{g.adminSocket(&l)}, g.logWaiting); err != nil {
			if ctx.Err() == nil {
				g.log.Error(err, "no metrics")
			}
			return
		}
	}
	g.logServerEnd("admin", g.admin.Serve(l))
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
