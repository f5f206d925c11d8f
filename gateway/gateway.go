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

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/platform"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/relay"
	"github.com/linkmast/linkmast/settings"
)

// Gateway is one instance.
type Gateway struct {
	// Done is closed when the instance has stopped.
	Done chan struct{}
	// Listen, ReadyListen and AdminListen are the addresses in use.
	Listen string
	// ReadyListen is where the balancer asks whether the instance is ready.
	ReadyListen string
	// AdminListen is where the metrics are.
	AdminListen string

	settings *settings.File
	log      logr.Logger
	catalog  *catalog.Catalog
	pools    *pool.Scheduler
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

// New starts an instance. Stop ends it as planned, Close at once.
func New(f *settings.File, log logr.Logger) (*Gateway, error) {
	g := &Gateway{
		Done:     make(chan struct{}),
		settings: f,
		log:      log,
		upstream: upstream.New(upstream.Settings{}),
		open:     newConnections(),
		stopping: make(chan struct{}),
	}
	g.assemble()
	if err := g.serve(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
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
	g.catalog = catalog.New(catalog.Settings{}, platform.NewStore(client, f.Platform.Store), g.log.WithName("catalog"))
	g.pools = pool.NewScheduler(pool.Settings{
		Self: f.ID,
		Retries: pool.Budget{
			Ratio:  f.Retries.Ratio,
			Extra:  f.Retries.Extra,
			Window: time.Duration(f.Retries.Window),
		},
	}, g.log.WithName("pool"))
	g.relay = relay.New(relay.Settings{
		Self:   f.ID,
		MaxAge: time.Duration(float64(f.Times.Revoke) * maxAgeShare),
	}, relay.Parts{
		Known:    g.catalog.Snapshot,
		Age:      g.catalog.Age,
		Placer:   g.pools,
		Wire:     platform.Wire{},
		Memory:   platform.NewOrders(client),
		Upstream: g.upstream,
		Log:      g.log.WithName("relay"),
	})
}

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
