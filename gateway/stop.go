// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// The times of a planned stop.
const (
	// settle is how long the balancer may go on sending new connections: it
	// asks every second and takes an instance out after two answers.
	settle = 2500 * time.Millisecond
	// stopMargin is how long before the platform ends the process the instance
	// ends by itself.
	stopMargin = 700 * time.Millisecond
	// closeMargin is how much earlier it stops taking requests.
	closeMargin = 600 * time.Millisecond
	// stopLook is how often a stopping instance looks whether it is done.
	stopLook = 50 * time.Millisecond
)

// connections counts the open connections of callers.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

func newConnections() *connections {
	return &connections{
		open: make(map[net.Conn]struct{}),
	}
}

// note implements the ConnState hook of an http.Server.
func (c *connections) note(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	case http.StateActive, http.StateIdle:
	}
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Stop ends the instance as planned. It is not ready from now on but serves on,
// and asks callers to use other connections. It ends when no connection is left,
// or shortly before the time of the settings is over.
func (g *Gateway) Stop(ctx context.Context) {
	g.stop.Do(func() {
		began := time.Now()
		g.log.Info("stopping", "in_flight", g.relay.InFlight(), "connections", g.open.count())
		close(g.stopping)
		g.relay.Stop()
		within := time.Duration(g.settings.Times.StopWithin) - stopMargin
		ctx, cancel := context.WithDeadline(ctx, began.Add(within))
		defer cancel()
		g.awaitCallers(ctx, began)
		if err := g.callers.Shutdown(ctx); err != nil {
			g.log.Info("requests cut off by the end of the stop", "in_flight", g.relay.InFlight())
		}
		g.shut()
	})
	<-g.Done
}

// awaitCallers waits until no connection is left, or there is just time to
// finish what runs.
func (g *Gateway) awaitCallers(ctx context.Context, began time.Time) {
	tick := time.NewTicker(stopLook)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if time.Since(began) > settle && g.open.count() == 0 {
			return
		}
		if end, ok := ctx.Deadline(); ok && time.Until(end) < closeMargin {
			return
		}
	}
}

// Close ends the instance at once.
func (g *Gateway) Close() {
	g.stop.Do(func() {
		close(g.stopping)
		g.shut()
	})
	<-g.Done
}

func (g *Gateway) closeServers() {
	for _, s := range g.servers {
		// The servers are closed whether or not they were shut down before.
		_ = s.Close()
	}
}

// shut ends all parts.
func (g *Gateway) shut() {
	defer close(g.Done)
	g.cancel()
	g.closeServers()
	g.rpc.Stop()
	g.parts.Wait()
	g.peers.Close()
	g.log.Info("stopped")
}
