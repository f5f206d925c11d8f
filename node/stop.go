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
	n.stop.Do(func() {
		n.log.Info("stopping", "in_flight", n.entry.InFlight())
		n.entry.Stop()
		n.member.Stop()
		wait(ctx, time.Duration(n.settings.Times.Drain))
		within, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Times.StopWithin))
		defer cancel()
		if err := n.callers.Shutdown(within); err != nil {
			n.log.Info("requests cut off by the end of the stop", "in_flight", n.entry.InFlight())
		}
		if err := n.entry.Wait(within); err != nil {
			n.log.Info("errands left", "in_flight", n.entry.InFlight())
		}
		n.freeClaims(within)
		n.shut()
	})
	<-n.Done
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// The wait for claims that were given up to be freed.
const (
	freeWait = 5 * time.Second
	freeLook = 50 * time.Millisecond
)

// freeClaims waits a little for the claims that were given up.
func (n *Node) freeClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, freeWait)
	defer cancel()
	for n.claimer.Pending() > 0 && ctx.Err() == nil {
		wait(ctx, freeLook)
	}
	if left := n.claimer.Pending(); left > 0 {
		n.log.Info("claims not freed; their keys stay taken until they end", "claims", left)
	}
}

// Close ends the node at once, as a test's stand-in for its death.
func (n *Node) Close() {
	n.stop.Do(n.shut)
	<-n.Done
}

// shut ends all parts.
func (n *Node) shut() {
	defer close(n.Done)
	close(n.closing)
	n.cancel()
	// The servers are closed whether or not they were shut down before.
	_ = n.callers.Close()
	_ = n.admin.Close()
	n.rpc.Stop()
	n.parts.Wait()
	n.claimer.Close()
	n.borrower.Close()
	n.writer.Close()
	n.owner.Close()
	n.rollout.Close()
	n.member.Close()
	n.pool.Close()
	n.log.Info("stopped")
}
