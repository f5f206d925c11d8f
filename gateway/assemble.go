// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"net/http"
	"time"

	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/tcp"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/peer"
	"github.com/linkmast/linkmast/platform"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/relay"
	"github.com/linkmast/linkmast/settings"
)

// assemble makes the parts, each from those before it. The address for other
// instances must be known.
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
	store := platform.NewStore(wirehttp.Client(), f.Platform.Store)
	g.catalog = catalog.New(catalog.Settings{
		Self:       g.self,
		Seeds:      f.Peers,
		FirstStart: f.FirstStart,
		Poll:       time.Duration(f.Times.Revoke) / pollsPerRevoke,
	}, store, g.peers, g.log.WithName("catalog"))
	g.notices = notice.New(steady.Now, g.log.WithName("notice"))
	g.quarantine = quarantine.New(steady.Now, g.retestTurn, g.log.WithName("quarantine"))
	g.assemblePools()
	g.recorder = quarantine.NewRecorder(g.quarantine, store, g.placer.CountsCrashes, g.log.WithName("quarantine"))
	g.assembleServer()
	g.assembleRelay(client)
}

// maxIdleReportConns bounds the connections that are kept for questions to engines: those that are
// asked again and again, as they are slow.
const maxIdleReportConns = 128

// assemblePools makes the scheduler of pools and the client that asks other
// instances.
func (g *Gateway) assemblePools() {
	f := g.settings
	log := g.log.WithName("pool")
	g.pools = pool.NewScheduler(pool.Settings{
		Self: f.ID,
		Retries: pool.Budget{
			Ratio:  f.Retries.Ratio,
			Extra:  f.Retries.Extra,
			Window: time.Duration(f.Retries.Window),
		},
		Cold: pool.ColdLimit{
			Overage: f.Cold.Overage,
			Slack:   f.Cold.Slack,
		},
		SlowdownQuerier: platform.NewReports(wirehttp.Bounded(maxIdleReportConns), g.recordStatements, g.log.WithName("reports")),
		Check:           tcp.Check,
		Worth:           f.Worth,
		Quarantine:      g.quarantine,
		Notices:         g.notices,
	}, log)
	g.placer = pool.NewClient(g.self, g.pools, g.peers, log)
}

// retestTurn returns the place of this instance in showing whether a request still crashes endpoints.
func (g *Gateway) retestTurn(id quarantine.Identity) quarantine.RetestTurn {
	before, of := g.catalog.Rank("ban/" + id.String())
	return quarantine.RetestTurn{
		Position:  before,
		Instances: of,
	}
}

// assembleServer makes what serves other instances.
func (g *Gateway) assembleServer() {
	g.rpc = grpc.NewServer(grpc.ReadBufferSize(rpcBufferBytes), grpc.WriteBufferSize(rpcBufferBytes))
	poolpb.RegisterPoolServer(g.rpc, pool.NewServer(g.pools, g.poolsReady, g.stopping))
	catalogpb.RegisterCatalogServer(g.rpc, catalog.NewServer(g.catalog, g.stopping))
}

// assembleRelay makes what serves callers. The client carries orders to engines.
func (g *Gateway) assembleRelay(client *http.Client) {
	f := g.settings
	g.relay = relay.New(relay.Settings{
		Self:       f.ID,
		MaxAge:     time.Duration(float64(f.Times.Revoke) * maxAgeShare),
		StrictKeys: *f.Times.RevokeStrict,
	}, relay.Parts{
		Snapshot:   g.catalog.Snapshot,
		Age:        g.catalog.Age,
		Placer:     g.placer,
		Suspicions: g.placer,
		Quarantine: g.placer,
		Check:      tcp.Check,
		Notices:    g.placer,
		Wire:       platform.Wire{},
		Memory:     platform.NewOrders(client, g.recordStatements),
		Upstream:   g.upstream,
		Log:        g.log.WithName("relay"),
	})
}

// capacityPerCore of a processor core are the unit of an instance's capacity, as
// settings give shares of cores.
const capacityPerCore = 1000

// capacityPerMbps is how much of a core the work takes that a Mbit/s carries, in
// thousandths: 200 Mbit/s go with a whole core.
const capacityPerMbps = 5

// capacity returns what an instance can carry, by its processor or its link,
// whichever binds.
func capacity(f *settings.File) int {
	c := f.ProcessorShare * capacityPerCore
	if f.LinkMbps > 0 {
		c = min(c, f.LinkMbps*capacityPerMbps)
	}
	return max(int(c), 1)
}

// rpcBufferBytes is the buffer of each direction of a connection between instances, in
// bytes. Most messages are far smaller.
const rpcBufferBytes = 16 << 10

// pollsPerRevoke is how many polls for configurations fit into the time in which
// keys must be refused. With 5 s a reader that the store no longer answers is
// left by its followers within a second, well below the 2 s in which changes must
// be in force.
const pollsPerRevoke = 10

// maxAgeShare is the part of the time in which a key must be refused after it
// was taken away, up to which a configuration's age is trusted. The rest is for
// the time between the check and the endpoint.
const maxAgeShare = 0.8
