// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"context"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// The times of a planned stop.
const (
	// balancerDelay is how long the balancer may go on sending new connections: it
	// asks every second and takes an instance out after two answers.
	balancerDelay = 2200 * time.Millisecond
	// stopMargin is how long before the platform ends the process the instance
	// ends by itself.
	stopMargin = 700 * time.Millisecond
)

// Stop ends the instance as planned. It is not ready from now on but serves what
// the balancer still sends, and asks callers to use other connections. Then it
// takes nothing new and ends with the last request, so that the next process is
// there as soon as can be.
func (g *Gateway) Stop(ctx context.Context) {
	g.stopOnce.Do(func() {
		g.log.Info("stopping", "in_flight", g.relay.InFlight(), "connections", g.callerConns.count())
		close(g.stopping)
		g.relay.Stop()
		within := time.Duration(g.settings.Times.StopWithin) - stopMargin
		// The platform's time goes on while the machine is suspended, and so does what is left
		// of it here: an answer that is cut at the end of it is cut by this instance.
		ctx, cancel := steady.WithTimeout(ctx, within)
		defer cancel()
		select {
		case <-ctx.Done():
		case <-time.After(balancerDelay):
		}
		if err := g.callers.Shutdown(ctx); err != nil {
			g.log.Info("requests cut off by the end of the stop", "in_flight", g.relay.InFlight())
		}
		g.shutdown()
	})
	<-g.Done
}

// Close ends the instance at once.
func (g *Gateway) Close() {
	g.stopOnce.Do(func() {
		close(g.stopping)
		g.shutdown()
	})
	<-g.Done
}

// closeServers closes the HTTP servers and their connections.
func (g *Gateway) closeServers() {
	for _, s := range g.servers {
		// The servers are closed whether or not they were shut down before.
		_ = s.Close()
	}
}

// shutdown ends all parts.
func (g *Gateway) shutdown() {
	defer close(g.Done)
	g.cancel()
	g.closeServers()
	g.rpc.Stop()
	g.goroutines.Wait()
	g.peers.Close()
	g.log.Info("stopped")
}
