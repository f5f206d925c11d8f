// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/tcp"
	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/peer"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/reach"
	"github.com/linkmast/linkmast/relay"
	"github.com/linkmast/linkmast/settings"
)

// Gateway is a running instance. New starts it.
type Gateway struct {
	// Done is closed when the instance has stopped.
	Done chan struct{}
	// Listen is the address for callers.
	Listen string
	// ReadyListen is the address of the load balancer's readiness checks.
	ReadyListen string
	// PeerListen is the address for other instances.
	PeerListen string
	// AdminListen is the address of the metrics: the one in the settings if it isn't available yet.
	AdminListen string

	settings *settings.File
	log      logr.Logger
	started  time.Time
	// droppedLines returns the number of log lines dropped so far.
	droppedLines func() int64
	// self describes this instance to other instances.
	self    catalog.Peer
	catalog *catalog.Catalog
	// pools is the local scheduler. It places the requests that placer passes to it, and those that
	// other instances send to this one as the owner or a standby of a pool.
	//
	// placer sends each placement request to the owner of the request's pool, or to a standby if the
	// owner can't be reached. It passes the request to pools if this instance is that owner or
	// standby, if the pool has no owner, or if no owner or standby can be reached.
	pools  *pool.Scheduler
	placer *pool.Client
	// quarantine tracks requests that crash endpoints. recorder writes its bans to the store and
	// erases them there.
	quarantine *quarantine.Registry
	recorder   *quarantine.Recorder
	// notices holds the statements that endpoints make about themselves in their answers.
	notices  *notice.Registry
	relay    *relay.Relay
	upstream *upstream.Pool
	// reach opens the connections to endpoints. forwarder opens those that other instances request.
	// orders and reports are the clients of engines.
	reach     *reach.Dialer
	forwarder *reach.Server
	orders    *http.Client
	reports   *http.Client
	// peers holds the connections to other instances. rpc serves connections from them.
	peers *peer.Pool
	rpc   *grpc.Server
	// servers are all HTTP servers. callers is the one for callers, and callerConns tracks its
	// connections. admin is the one for operators.
	servers     []*http.Server
	callers     *http.Server
	admin       *http.Server
	callerConns *connections
	// poolsReady is closed after pools has received the first complete snapshot.
	poolsReady chan struct{}
	// stopping is closed when Stop or Close begins. cancel ends the goroutines that run the components.
	stopping   chan struct{}
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	stopOnce   sync.Once
}

// Parts holds the dependencies of a Gateway.
type Parts struct {
	// Log receives the log lines.
	Log logr.Logger
	// DroppedLines returns the number of log lines dropped so far.
	DroppedLines func() int64
	// DialEndpoint opens connections to endpoints; nil selects a tcp.Dialer.
	DialEndpoint tcp.DialFunc
}

// New starts an instance. Stop ends it gracefully, Close immediately. While an address is in use or not
// assigned to the host, New waits for it until ctx ends; it doesn't wait for AdminListen. New returns
// an error if it can't listen on one of the addresses.
func New(ctx context.Context, f *settings.File, p Parts) (*Gateway, error) {
	if p.DialEndpoint == nil {
		p.DialEndpoint = tcp.DialerFrom(endpointDialTimeout, net.ParseIP(f.EndpointSource)).DialContext
	}
	g := &Gateway{
		Done:         make(chan struct{}),
		settings:     f,
		log:          p.Log,
		started:      time.Now(),
		droppedLines: p.DroppedLines,
		callerConns:  newConnections(),
		poolsReady:   make(chan struct{}),
		stopping:     make(chan struct{}),
	}
	l, err := g.listen(ctx)
	if err != nil {
		return nil, err
	}
	g.PeerListen = l.peers.Addr().String()
	g.assemble(p.DialEndpoint)
	g.serve(l)
	running, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.goroutines.Go(func() { g.serveAdmin(running, l.admin) })
	g.goroutines.Go(func() { g.logServerEnd("peers", g.rpc.Serve(l.peers)) })
	g.goroutines.Go(func() { g.placer.Run(running) })
	g.goroutines.Go(func() { g.catalog.Run(running) })
	g.goroutines.Go(func() { g.pools.Run(running) })
	g.goroutines.Go(func() { g.recorder.Run(running) })
	g.goroutines.Go(func() { g.followCatalog(running) })
	g.goroutines.Go(func() { g.closeIdleUpstream(running) })
	return g, nil
}

// endpointDialTimeout bounds the establishment of a connection to an endpoint.
const endpointDialTimeout = 500 * time.Millisecond

// followCatalog forwards the current snapshot of the catalog to the other components after each
// change, until ctx ends. It may skip snapshots that are replaced quickly.
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
				// With an incomplete list of instances, the placer would choose wrong owners.
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

// idleCheckInterval is how often idle connections to endpoints are checked.
const idleCheckInterval = time.Second

// closeIdleUpstream closes each idle connection to an endpoint after the connection's idle timeout
// has passed, until ctx ends.
func (g *Gateway) closeIdleUpstream(ctx context.Context) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.upstream.Sweep()
			if g.reach.Leaving() > 0 {
				g.orders.CloseIdleConnections()
				g.reports.CloseIdleConnections()
			}
		}
	}
}
