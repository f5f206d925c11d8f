// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"net"
	"net/http"
	"sync"
)

// connections tracks the open connections from callers. It is safe for concurrent use.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// newConnections returns an empty set of connections.
func newConnections() *connections {
	return &connections{
		open: make(map[net.Conn]struct{}),
	}
}

// handleState is the ConnState hook of the http.Server for callers.
func (c *connections) handleState(conn net.Conn, s http.ConnState) {
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

// count returns the number of open connections.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
