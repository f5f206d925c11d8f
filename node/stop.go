// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package node

import (
	"context"
	"time"
)

// Stop ends the node as planned. It is not ready from now on, takes over no
// endpoint and hands its own to the next owners, but serves whatever callers
// still send for the drain time. Then it takes nothing new, and streams in
// flight run to their end. It returns when the node has stopped, or, with what
// is left cut off, when ctx ends.
func (n *Node) Stop(ctx context.Context) {
	n.stopOnce.Do(func() {
		n.log.Info("stopping", "in_flight", n.entry.InFlight())
		n.entry.Stop()
		n.member.Stop()
		sleep(ctx, time.Duration(n.settings.Times.Drain))
		within, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Times.StopWithin))
		defer cancel()
		if err := n.callers.Shutdown(within); err != nil {
			n.log.Info("requests cut off by the end of the stop", "in_flight", n.entry.InFlight())
		}
		if err := n.entry.Wait(within); err != nil {
			n.log.Info("errands left", "in_flight", n.entry.InFlight())
		}
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

// The wait for claims that were given up to be freed.
const (
	claimFreeTimeout  = 5 * time.Second
	claimPollInterval = 50 * time.Millisecond
)

// awaitFreedClaims waits a little for the claims that were given up.
func (n *Node) awaitFreedClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimFreeTimeout)
	defer cancel()
	for n.claimer.Pending() > 0 && ctx.Err() == nil {
		sleep(ctx, claimPollInterval)
	}
	if left := n.claimer.Pending(); left > 0 {
		n.log.Info("claims not freed; their keys stay taken until they end", "claims", left)
	}
}

// Close ends the node at once, as a test's stand-in for its death.
func (n *Node) Close() {
	n.stopOnce.Do(n.shutdown)
	<-n.Done
}

// shutdown ends all parts.
func (n *Node) shutdown() {
	defer close(n.Done)
	close(n.closing)
	n.cancel()
	// The servers are closed whether or not they were shut down before.
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
