// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
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
	"github.com/linkmast/linkmast/reach/reachpb"
	"github.com/linkmast/linkmast/relay"
	"github.com/linkmast/linkmast/settings"
)

// assemble creates the components in order of their dependencies. PeerListen must be set. The
// function dial opens direct connections to endpoints.
func (g *Gateway) assemble(dial tcp.DialFunc) {
	f := g.settings
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
	g.assemblePaths(dial)
	g.notices = notice.New(steady.Now, g.log.WithName("notice"))
	g.quarantine = quarantine.New(steady.Now, quarantine.Dependencies{
		Turn:              g.retestTurn,
		Survey:            g.surveyEndpoints,
		AnswersKnownSince: g.answersKnownSince,
	}, g.log.WithName("quarantine"))
	g.assemblePools()
	g.recorder = quarantine.NewRecorder(g.quarantine, store, g.placer.CountsCrashes, g.log.WithName("quarantine"))
	g.assembleServer()
	g.assembleRelay()
}

// maxIdleReportConns is the maximum number of idle connections that are kept for querying engines
// for their slowdown. Slow engines are queried repeatedly.
const maxIdleReportConns = 128

// assemblePools creates the scheduler of pools, and the client that sends placement requests to the
// owners of pools.
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
		SlowdownQuerier: platform.NewReports(g.reports, g.recordStatements, g.log.WithName("reports")),
		Check:           tcp.CheckBy(g.reach.DialContext),
		Worth:           f.Worth,
		Quarantine:      g.quarantine,
		Notices:         g.notices,
	}, log)
	g.placer = pool.NewClient(g.self, g.pools, g.peers, log)
}

// surveyEndpoints implements quarantine.Dependencies.Survey. The registry, which calls it, is created before
// the pools.
func (g *Gateway) surveyEndpoints(address string, since time.Time) []quarantine.EndedEndpoint {
	return g.pools.EndedBeside(address, since)
}

// answersKnownSince implements quarantine.Dependencies.AnswersKnownSince.
func (g *Gateway) answersKnownSince() time.Time {
	return g.pools.AnswersKnownSince()
}

// retestTurn returns this instance's position in the order in which instances may admit a request
// again after its ban.
func (g *Gateway) retestTurn(id quarantine.Identity) quarantine.RetestTurn {
	before, of := g.catalog.Rank("ban/" + id.String())
	return quarantine.RetestTurn{
		Position:  before,
		Instances: of,
	}
}

// assembleServer creates the gRPC server for other instances.
func (g *Gateway) assembleServer() {
	g.rpc = grpc.NewServer(grpc.ReadBufferSize(rpcBufferBytes), grpc.WriteBufferSize(rpcBufferBytes))
	poolpb.RegisterPoolServer(g.rpc, pool.NewServer(g.pools, g.poolsReady, g.stopping))
	catalogpb.RegisterCatalogServer(g.rpc, catalog.NewServer(g.catalog, g.stopping))
	reachpb.RegisterForwardingServer(g.rpc, g.forwarder)
}

// assembleRelay creates the relay that serves callers.
func (g *Gateway) assembleRelay() {
	f := g.settings
	g.relay = relay.New(relay.Settings{
		Self:       f.ID,
		MaxAge:     time.Duration(float64(f.Times.Revoke) * maxAgeShare),
		StrictKeys: *f.Times.RevokeStrict,
		BodyBytes:  int64(float64(f.MemoryBytes()) * bodyMemoryShare),
	}, relay.Parts{
		Snapshot:   g.catalog.Snapshot,
		Age:        g.catalog.Age,
		Placer:     g.placer,
		Suspicions: g.placer,
		Quarantine: g.placer,
		Check:      tcp.CheckBy(g.reach.DialContext),
		Notices:    g.placer,
		Wire:       platform.Wire{},
		Memory:     platform.NewOrders(g.orders, g.recordStatements),
		Upstream:   g.upstream,
		VerifyPath: g.reach.Verify,
		Log:        g.log.WithName("relay"),
	})
}

// bodyMemoryShare is the share of the process's memory that the bodies of requests may take. Their garbage
// takes about as much again.
const bodyMemoryShare = 0.25

// capacityPerCore is the capacity that one processor core provides.
const capacityPerCore = 1000

// capacityPerMbps is the capacity that one Mbit/s of the link provides. 200 Mbit/s match one core.
const capacityPerMbps = 5

// capacity returns the instance's capacity: the smaller of the capacities that its processor share
// and its link provide, but at least 1. A LinkMbps of zero means that the link is no limit.
func capacity(f *settings.File) int {
	c := f.ProcessorShare * capacityPerCore
	if f.LinkMbps > 0 {
		c = min(c, f.LinkMbps*capacityPerMbps)
	}
	return max(int(c), 1)
}

// rpcBufferBytes is the size of the read and the write buffer of a connection from another
// instance. Most messages are far smaller.
const rpcBufferBytes = 16 << 10

// pollsPerRevoke determines the wait time of a poll for configurations: Times.Revoke, the time after
// which a revoked key must be refused, divided by pollsPerRevoke. With a Revoke of 5 s, followers leave
// a reader that the store no longer answers within a second, well below the two seconds within which
// changes must take effect.
const pollsPerRevoke = 10

// maxAgeShare determines MaxAge in the relay's settings, as a share of Times.Revoke. The remainder
// covers the time from the check of a key until the request reaches the endpoint.
const maxAgeShare = 0.8
