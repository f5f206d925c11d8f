// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/peer"
	"github.com/linkmast/linkmast/platform"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/pool/poolpb"
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
	dropped  func() int64
	catalog  *catalog.Catalog
	pools    *pool.Scheduler
	placer   *pool.Client
	peers    *peer.Pool
	rpc      *grpc.Server
	self     catalog.Peer
	relay    *relay.Relay
	upstream *upstream.Pool
	servers  []*http.Server
	callers  *http.Server
	open     *connections
	stopping chan struct{}
	cancel   context.CancelFunc
	parts    sync.WaitGroup
	stop     sync.Once
}

// New starts an instance. Stop ends it as planned, Close at once. Dropped returns
// how many log lines were dropped so far.
func New(f *settings.File, log logr.Logger, dropped func() int64) (*Gateway, error) {
	g := &Gateway{
		Done:     make(chan struct{}),
		settings: f,
		log:      log,
		dropped:  dropped,
		upstream: upstream.New(upstream.Settings{}),
		open:     newConnections(),
		stopping: make(chan struct{}),
	}
	l, err := net.Listen("tcp", f.PeerListen)
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
	g.parts.Go(func() { g.ended("peers", g.rpc.Serve(l)) })
	g.parts.Go(func() { g.placer.Run(ctx) })
	g.parts.Go(func() { g.announce(ctx) })
	g.parts.Go(func() { g.catalog.Run(ctx) })
	g.parts.Go(func() { g.pools.Run(ctx) })
	g.parts.Go(func() { g.follow(ctx) })
	g.parts.Go(func() { g.sweep(ctx) })
	return g, nil
}

// assemble makes the parts.
func (g *Gateway) assemble() {
	f := g.settings
	client := wirehttp.Client()
	g.self = catalog.Peer{
		ID:            f.ID,
		Address:       g.PeerListen,
		FailureDomain: f.FailureDomain,
		Capacity:      capacity(f),
	}
	g.peers = peer.New(nil)
	g.catalog = catalog.New(catalog.Settings{
		Self:       g.self,
		FirstStart: f.FirstStart,
		Poll:       time.Duration(f.Times.Revoke) / pollsPerRevoke,
	}, platform.NewStore(client, f.Platform.Store), g.peers, g.log.WithName("catalog"))
	g.pools = pool.NewScheduler(pool.Settings{
		Self: f.ID,
		Retries: pool.Budget{
			Ratio:  f.Retries.Ratio,
			Extra:  f.Retries.Extra,
			Window: time.Duration(f.Retries.Window),
		},
	}, g.log.WithName("pool"))
	g.placer = pool.NewClient(g.self, g.pools, g.peers, g.log.WithName("pool"))
	g.rpc = grpc.NewServer(grpc.ReadBufferSize(rpcBuffer), grpc.WriteBufferSize(rpcBuffer))
	poolpb.RegisterPoolServer(g.rpc, pool.NewServer(g.pools, g.owns, g.stopping))
	catalogpb.RegisterCatalogServer(g.rpc, catalog.NewServer(g.catalog, g.stopping))
	g.relay = relay.New(relay.Settings{
		Self:   f.ID,
		MaxAge: time.Duration(float64(f.Times.Revoke) * maxAgeShare),
	}, relay.Parts{
		Known:    g.catalog.Snapshot,
		Age:      g.catalog.Age,
		Placer:   g.placer,
		Wire:     platform.Wire{},
		Memory:   platform.NewOrders(client),
		Upstream: g.upstream,
		Log:      g.log.WithName("relay"),
	})
}

// thousandths of a processor core are the unit of an instance's capacity.
const thousandths = 1000

// capacityPerMbps is how much of a core the work takes that a Mbit/s carries, in
// thousandths: 200 Mbit/s go with a whole core.
const capacityPerMbps = 5

// capacity returns what an instance can carry, by its processor or its link,
// whichever binds.
func capacity(f *settings.File) int {
	c := f.ProcessorShare * thousandths
	if f.LinkMbps > 0 {
		c = min(c, f.LinkMbps*capacityPerMbps)
	}
	return max(int(c), 1)
}

// rpcBuffer is the buffer of each direction of a connection between instances.
const rpcBuffer = 16 << 10

// owns states whether the instance can own pools.
func (g *Gateway) owns() bool {
	return g.catalog.Snapshot() != nil
}

// pollsPerRevoke is how many polls for configurations fit into the time in which
// keys must be refused. With 5 s a reader that the store no longer answers is
// left by its followers within a second, well below the 2 s in which changes must
// be in force.
const pollsPerRevoke = 10

// maxAgeShare is the part of the time in which a key must be refused after it
// was taken away, up to which a configuration's age is trusted. The rest is for
// the time between the check and the endpoint.
const maxAgeShare = 0.8

// The bounds of callers' connections. Callers may let one rest for as long as
// the configuration says, which is less.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// serve opens the sockets and starts the servers.
func (g *Gateway) serve() error {
	f := g.settings
	for _, one := range []struct {
		name    string
		address string
		handler http.Handler
		into    *string
	}{
		{"callers", f.Listen, g.relay, &g.Listen},
		{"ready", f.ReadyListen, http.HandlerFunc(g.ready), &g.ReadyListen},
		{"admin", f.AdminListen, g.adminHandler(), &g.AdminListen},
	} {
		l, err := net.Listen("tcp", one.address)
		if err != nil {
			g.closeServers()
			return errors.Wrap(err, "listen")
		}
		*one.into = l.Addr().String()
		s := &http.Server{
			Handler:           one.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}
		if one.name == "callers" {
			s.ConnState = g.open.note
			g.callers = s
		}
		g.servers = append(g.servers, s)
		g.parts.Go(func() { g.ended(one.name, s.Serve(l)) })
	}
	return nil
}

func (g *Gateway) ended(name string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		g.log.Error(err, "server ended", "server", name)
	}
}

// follow hands on what the catalog learns.
func (g *Gateway) follow(ctx context.Context) {
	known := false
	for {
		changed := g.catalog.Changed()
		if s := g.catalog.Snapshot(); s != nil {
			g.pools.Update(s)
			g.placer.Update(s)
			if !known {
				known = true
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

// sweepEvery is how often connections that rested for too long are closed.
const sweepEvery = time.Second

func (g *Gateway) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
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

// ready answers the balancer.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-g.stopping:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
	}
	if g.catalog.Snapshot() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// The times of announcing the instance.
const (
	announceTimeout = time.Second
	announceRetry   = 500 * time.Millisecond
	// announceCheck is how long an entry may take to show.
	announceCheck = 3 * time.Second
)

// announce keeps the instance's entry in the store.
func (g *Gateway) announce(ctx context.Context) {
	for ctx.Err() == nil {
		pause := announceCheck
		if s := g.catalog.Snapshot(); s == nil || s.Peers[g.self.ID] != g.self {
			if err := g.announceOnce(ctx); err != nil {
				g.log.V(1).Info("instance can't be announced", "cause", err.Error())
				pause = announceRetry
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (g *Gateway) announceOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return g.catalog.Announce(ctx, g.self)
}
