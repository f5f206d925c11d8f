// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/tcp"
	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/peer"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/relay"
	"github.com/linkmast/linkmast/settings"
)

// Gateway is one instance.
type Gateway struct {
	// Done is closed when the instance has stopped.
	Done chan struct{}
	// Listen is where callers connect.
	Listen string
	// ReadyListen is where the balancer asks whether the instance is ready.
	ReadyListen string
	// PeerListen is where other instances connect.
	PeerListen string
	// AdminListen is where the metrics are.
	AdminListen string

	settings *settings.File
	log      logr.Logger
	// droppedLines returns how many log lines were droppedLines so far.
	droppedLines func() int64
	// self is what other instances are told.
	self    catalog.Peer
	catalog *catalog.Catalog
	// pools places what this instance owns, and placer finds the owner of the
	// rest.
	pools  *pool.Scheduler
	placer *pool.Client
	// quarantine is what is known of requests that crash endpoints, and recorder keeps its
	// bans in the store.
	quarantine *quarantine.Registry
	recorder   *quarantine.Recorder
	// notices is what endpoints say of themselves in answers.
	notices  *notice.Registry
	relay    *relay.Relay
	upstream *upstream.Pool
	// peers are the connections to other instances, and rpc serves theirs.
	peers *peer.Pool
	rpc   *grpc.Server
	// servers are all HTTP servers, callers the one of these for callers, and
	// open its connections.
	servers     []*http.Server
	callers     *http.Server
	callerConns *connections
	// poolsReady is closed once the pools know their endpoints.
	poolsReady chan struct{}
	// stopping is closed when a stop begins, and cancel ends the parts.
	stopping   chan struct{}
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	stopOnce   sync.Once
}

// New starts an instance. Stop ends it as planned, Close at once. Dropped returns
// how many log lines were dropped so far. The error is that of an address that
// can't be listened on.
func New(f *settings.File, log logr.Logger, dropped func() int64) (*Gateway, error) {
	g := &Gateway{
		Done:         make(chan struct{}),
		settings:     f,
		log:          log,
		droppedLines: dropped,
		upstream:     upstream.New(upstream.Settings{}),
		callerConns:  newConnections(),
		poolsReady:   make(chan struct{}),
		stopping:     make(chan struct{}),
	}
	l, err := tcp.Listen(f.PeerListen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	g.PeerListen = l.Addr().String()
	g.assemble()
	if err := g.serve(); err != nil {
		_ = l.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.goroutines.Go(func() { g.logServerEnd("peers", g.rpc.Serve(l)) })
	g.goroutines.Go(func() { g.placer.Run(ctx) })
	g.goroutines.Go(func() { g.catalog.Run(ctx) })
	g.goroutines.Go(func() { g.pools.Run(ctx) })
	g.goroutines.Go(func() { g.recorder.Run(ctx) })
	g.goroutines.Go(func() { g.followCatalog(ctx) })
	g.goroutines.Go(func() { g.closeIdleUpstream(ctx) })
	return g, nil
}

// followCatalog hands on what the catalog learns until ctx ends.
func (g *Gateway) followCatalog(ctx context.Context) {
	known := false
	var banned map[quarantine.Identity]quarantine.Verdict
	for {
		changed := g.catalog.Changed()
		if s := g.catalog.Snapshot(); s != nil {
			g.pools.Update(s)
			g.notices.RemoveUnlisted(func(instance string) bool {
				_, listed := s.Endpoints[instance]
				return listed
			})
			if s.Complete {
				// With few of the instances known others would be taken for owners.
				g.placer.Update(s)
			}
			if !maps.Equal(banned, s.Banned) {
				g.quarantine.SyncStored(banned, s.Banned)
				banned = s.Banned
			}
			if !known && s.Complete {
				known = true
				close(g.poolsReady)
				g.log.Info("ready", "version", s.Table.Version, "endpoints", len(s.Endpoints))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// idleCheckInterval is how often connections that rested for too long are closed.
const idleCheckInterval = time.Second

// closeIdleUpstream closes connections to endpoints that rested for too long until ctx ends.
func (g *Gateway) closeIdleUpstream(ctx context.Context) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.upstream.Sweep()
		}
	}
}
