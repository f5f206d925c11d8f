// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"net"
	"net/http"
	"sync"
)

// connections counts the open connections of callers.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// newConnections returns a count of none.
func newConnections() *connections {
	return &connections{
		open: make(map[net.Conn]struct{}),
	}
}

// handleState implements the ConnState hook of an http.Server.
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

// count returns how many connections are open.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
