// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package node

import (
	"context"
	"time"
)

// Stop ends the node gracefully and returns when it has stopped. The node reports that it is not
// ready, and other instances take over its endpoints, but it serves new requests for the drain
// time. Then it closes the address for callers and waits for the requests in flight, for the tasks
// that they left in the background, for connections that it forwards, and for claims to be freed. It
// cuts off what remains when ctx ends, or StopWithin after the drain time.
func (n *Node) Stop(ctx context.Context) {
	n.stopOnce.Do(func() {
		n.log.Info("stopping", "in_flight", n.entry.InFlight())
		close(n.stopping)
		n.entry.Stop()
		n.member.Stop()
		sleep(ctx, time.Duration(n.settings.Times.Drain))
		within, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Times.StopWithin))
		defer cancel()
		if err := n.callers.Shutdown(within); err != nil {
			n.log.Info("requests cut off by the end of the stop", "in_flight", n.entry.InFlight())
		}
		if err := n.entry.Wait(within); err != nil {
			n.log.Info("requests or background tasks unfinished at the end of the stop", "in_flight", n.entry.InFlight())
		}
		n.forwarder.Wait(within)
		n.awaitFreedClaims(within)
		n.shutdown()
	})
	<-n.Done
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// The maximum time to wait until abandoned claims are freed, and the polling interval.
const (
	claimFreeTimeout  = 5 * time.Second
	claimPollInterval = 50 * time.Millisecond
)

// awaitFreedClaims waits until the claimer has no claim left to free, until ctx ends, or until
// claimFreeTimeout has passed.
func (n *Node) awaitFreedClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimFreeTimeout)
	defer cancel()
	for n.claimer.Pending() > 0 && ctx.Err() == nil {
		sleep(ctx, claimPollInterval)
	}
	if left := n.claimer.Pending(); left > 0 {
		n.log.Info("claims not freed; their keys stay claimed until the claims expire", "claims", left)
	}
}

// Close ends the node immediately and cuts off its requests. Tests use it to simulate a crash.
func (n *Node) Close() {
	n.stopOnce.Do(func() {
		close(n.stopping)
		n.shutdown()
	})
	<-n.Done
}

// shutdown closes the servers, the components and the connections to other instances, and waits for
// the goroutines that run them. It doesn't wait for the handlers of requests that it cuts off.
func (n *Node) shutdown() {
	defer close(n.Done)
	close(n.closing)
	n.cancel()
	// Closing a server that was already shut down has no effect.
	_ = n.callers.Close()
	_ = n.admin.Close()
	n.rpc.Stop()
	n.goroutines.Wait()
	n.claimer.Close()
	n.borrower.Close()
	n.writer.Close()
	n.owner.Close()
	n.rollout.Close()
	n.member.Close()
	n.pool.Close()
	n.log.Info("stopped")
}
