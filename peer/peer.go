// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package peer pools the gRPC connections between instances.
//
// A connection is opened at its first use and closed when idle, so that an instance keeps
// connections only to the peers that it communicates with.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/linkmast/linkmast/internal/tcp"
)

// The timeouts of connections, and the bounds of the delay before reconnecting.
const (
	idleTimeout    = 2 * time.Minute
	connectTimeout = 500 * time.Millisecond
	firstBackoff   = 50 * time.Millisecond
	lastBackoff    = time.Second
)

// The growth factor and the relative jitter of the delay before reconnecting.
const (
	backoffFactor = 1.6
	backoffJitter = 0.2
)

// bufferBytes is the size of each connection's read and write buffers. Messages between instances
// are small.
const bufferBytes = 16 << 10

// Pool holds connections by address. It is safe for concurrent use.
type Pool struct {
	creds credentials.TransportCredentials

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// New returns an empty pool. Nil credentials mean connections without TLS.
func New(creds credentials.TransportCredentials) *Pool {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return &Pool{
		creds: creds,
		conns: make(map[string]*grpc.ClientConn),
	}
}

// Conn returns the connection to an address without waiting for it to be established.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.creds),
		grpc.WithContextDialer(dial),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  firstBackoff,
				Multiplier: backoffFactor,
				Jitter:     backoffJitter,
				MaxDelay:   lastBackoff,
			},
			MinConnectTimeout: connectTimeout,
		}),
	)
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer")
	}
	p.conns[address] = c
	return c, nil
}

// dial opens a TCP connection that is closed when the peer stops responding.
func dial(ctx context.Context, address string) (net.Conn, error) {
	return tcp.Dialer(connectTimeout).DialContext(ctx, "tcp", address)
}

// CloseUnless closes the connections to all addresses for which keep returns false.
func (p *Pool) CloseUnless(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		if keep(a) {
			continue
		}
		// The connection is removed even if closing it fails.
		_ = c.Close()
		delete(p.conns, a)
	}
}

// Disconnect closes the connection to an address, which may have stopped responding. The next use
// opens a new one.
func (p *Pool) Disconnect(address string) {
	p.CloseUnless(func(a string) bool { return a != address })
}

// Close closes all connections.
func (p *Pool) Close() {
	p.CloseUnless(func(string) bool { return false })
}
