// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"context"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// The times of a planned stop.
const (
	// balancerDelay is how long the load balancer may still send new connections after the instance
	// has become unready. The load balancer checks readiness every second and removes an instance
	// after two failed checks.
	balancerDelay = 2200 * time.Millisecond
	// stopMargin is subtracted from the platform's time limit for a stop, because the platform kills
	// the process at that limit.
	stopMargin = 700 * time.Millisecond
	// answerMargin is how long before the end of the stop the answer to a request must be due.
	answerMargin = 100 * time.Millisecond
)

// Stop ends the instance gracefully and returns when it has ended. The instance reports that it is
// not ready, but serves new requests for balancerDelay and asks callers to close their connections.
// Then it closes the address for callers and refuses what no endpoint may have run yet, except for requests
// that will be over before the stop is. It ends after the last request, its own or one that it forwards for
// another instance. When ctx ends, or stopMargin before the platform's time limit, it cuts off the remaining
// requests.
func (g *Gateway) Stop(ctx context.Context) {
	g.stopOnce.Do(func() {
		g.log.Info("stopping", "in_flight", g.relay.InFlight(), "connections", g.callerConns.count())
		close(g.stopping)
		g.relay.Stop()
		within := time.Duration(g.settings.Times.StopWithin) - stopMargin
		cutAt := steady.Now().Add(within)
		// The platform's time limit includes time during which the instance is suspended, so this
		// one does as well.
		ctx, cancel := steady.WithTimeout(ctx, within)
		defer cancel()
		select {
		case <-ctx.Done():
		case <-time.After(balancerDelay):
		}
		g.relay.EndSending(cutAt.Add(-answerMargin))
		if err := g.callers.Shutdown(ctx); err != nil {
			g.log.Info("requests cut off by the end of the stop", "in_flight", g.relay.InFlight())
		}
		g.forwarder.Wait(ctx)
		g.shutdown()
	})
	<-g.Done
}

// Close ends the instance immediately, cuts off its requests and returns when it has ended.
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
		// Closing a server that was already shut down has no effect.
		_ = s.Close()
	}
}

// shutdown closes all servers and the connections to other instances, and waits for the goroutines
// that run the servers and components. It doesn't wait for the handlers of requests that it cuts off.
func (g *Gateway) shutdown() {
	defer close(g.Done)
	g.cancel()
	g.closeServers()
	g.rpc.Stop()
	g.goroutines.Wait()
	g.peers.Close()
	g.log.Info("stopped")
}
