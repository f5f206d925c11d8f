// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/linkmast/linkmast/claim"
	"github.com/linkmast/linkmast/claim/claimpb"
	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/entry"
	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/tcp"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/limit"
	"github.com/linkmast/linkmast/limit/limitpb"
	"github.com/linkmast/linkmast/logsvc"
	"github.com/linkmast/linkmast/member"
	"github.com/linkmast/linkmast/member/memberpb"
	"github.com/linkmast/linkmast/order"
	"github.com/linkmast/linkmast/owner"
	"github.com/linkmast/linkmast/owner/ownerpb"
	"github.com/linkmast/linkmast/peer"
	"github.com/linkmast/linkmast/plain"
	"github.com/linkmast/linkmast/policy"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/quarantine/quarantinepb"
	"github.com/linkmast/linkmast/reach"
	"github.com/linkmast/linkmast/reach/reachpb"
	"github.com/linkmast/linkmast/rollout"
	"github.com/linkmast/linkmast/rollout/rolloutpb"
	"github.com/linkmast/linkmast/settings"
	"github.com/linkmast/linkmast/weights"
)

// Node is a running instance. New starts it.
type Node struct {
	// Done is closed when the node has stopped.
	Done chan struct{}
	// Listen is the address for callers.
	Listen string
	// PeerListen is the address for other instances.
	PeerListen string
	// AdminListen is the address for operators.
	AdminListen string

	settings *settings.File
	self     instances.Instance
	log      logr.Logger
	pool     *peer.Pool
	peers    *peers
	member   *member.Member
	rollout  *rollout.Rollout
	// atomicRollout points to the rollout, and is nil until the rollout exists. The method Generation
	// reads this field, because the component member may call Generation before rollout is set.
	atomicRollout atomic.Pointer[rollout.Rollout]
	owner         *owner.Owner
	entry         *entry.Entry
	writer        *claim.Writer
	claimer       *claim.Claimer
	lender        *limit.Lender
	// quarantine tracks requests that crash endpoints. peerGuard shares crashes and verdicts with
	// other instances.
	quarantine *quarantine.Registry
	peerGuard  *quarantine.PeerGuard
	borrower   *limit.Borrower

	callers *http.Server
	admin   *http.Server
	rpc     *grpc.Server
	// reach opens the connections to endpoints, which the client endpoints uses. forwarder opens
	// those that other instances request.
	reach     *reach.Dialer
	forwarder *reach.Server
	endpoints *http.Client
	// closing is closed to end the streams of instances that watch this one.
	closing chan struct{}
	// stopping is closed when Stop or Close begins.
	stopping   chan struct{}
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	stopOnce   sync.Once
}

// endpointClients creates clients of endpoints that share one HTTP client.
type endpointClients struct {
	client *http.Client
}

// Engine implements owner.Endpoints.
func (e *endpointClients) Engine(address string) engine.Client {
	return engine.NewHTTP(e.client, address)
}

// Plain implements owner.Endpoints.
func (e *endpointClients) Plain(address string) plain.Client {
	return plain.NewHTTP(e.client, address)
}

// listeners holds the listening sockets of a node.
type listeners struct {
	callers net.Listener
	peers   net.Listener
	admin   net.Listener
}

// listen opens the sockets for the addresses in the settings. It waits until ctx ends while one of them
// is not available.
func listen(ctx context.Context, f *settings.File, log logr.Logger) (*listeners, error) {
	var l listeners
	if err := tcp.ListenAll(ctx, []tcp.Socket{
		{Address: f.Listen, Into: &l.callers},
		{Address: f.PeerListen, Into: &l.peers},
		{Address: f.AdminListen, Into: &l.admin},
	}, func(err error) { log.Error(err, "waiting for an address") }); err != nil {
		return nil, err
	}
	return &l, nil
}

// Parts holds the dependencies of a Node.
type Parts struct {
	// Log receives the log lines.
	Log logr.Logger
	// DialEndpoint opens connections to endpoints; nil selects a tcp.Dialer.
	DialEndpoint tcp.DialFunc
}

// New starts a node. Stop ends it gracefully, Close immediately. While an address is in use or not
// assigned to the host, New waits for it until ctx ends. New returns an error if it can't load the TLS
// files or listen on one of the addresses.
func New(ctx context.Context, f *settings.File, p Parts) (*Node, error) {
	log := p.Log
	if p.DialEndpoint == nil {
		p.DialEndpoint = tcp.DialerFrom(endpointDialTimeout, net.ParseIP(f.EndpointSource)).DialContext
	}
	client, server, err := transportCredentials(f.TLS)
	if err != nil {
		return nil, err
	}
	if client == nil {
		log.Info("warning: connections between instances are neither encrypted nor authenticated; set [tls]")
	}
	l, err := listen(ctx, f, log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		Done:        make(chan struct{}),
		Listen:      l.callers.Addr().String(),
		PeerListen:  l.peers.Addr().String(),
		AdminListen: l.admin.Addr().String(),
		settings:    f,
		log:         log,
		pool:        peer.New(client),
		closing:     make(chan struct{}),
		stopping:    make(chan struct{}),
		cancel:      cancel,
	}
	n.self = instances.Instance{
		ID:            f.ID,
		Kind:          instances.KindNode,
		Address:       n.PeerListen,
		FailureDomain: f.FailureDomain,
		Region:        f.Region,
		State:         instances.Live,
	}
	n.assemble(p.DialEndpoint)
	n.serve(l, server)
	n.goroutines.Go(func() { n.followChanges(ctx) })
	n.goroutines.Go(func() { n.peerGuard.Run(ctx) })
	n.goroutines.Go(func() { n.watchOwners(ctx) })
	n.goroutines.Go(func() { n.closeLeaving(ctx) })
	return n, nil
}

// endpointDialTimeout bounds the establishment of a connection to an endpoint.
const endpointDialTimeout = 500 * time.Millisecond

// assemble creates the components. A function that uses a component created later must not be
// called before that component exists. The function dial opens direct connections to endpoints.
func (n *Node) assemble(dial tcp.DialFunc) {
	f := n.settings
	client := wirehttp.Client()
	log := logsvc.NewHTTP(client, f.Platform.Log)
	strategy := strategyOf(f.Strategy)
	decisions := n.log
	if !*f.LogDecisions {
		decisions = logr.Discard()
	}
	n.peers = &peers{
		self:  n.self,
		seeds: f.Peers,
		pool:  n.pool,
		view:  func() *member.View { return n.member.View() },
		local: n,
	}
	n.member = member.New(member.Settings{
		Self:          n.self,
		Seeds:         f.Peers,
		ProbeInterval: time.Duration(f.Times.Probe),
	}, instances.NewHTTP(client, f.Platform.Instances), member.NewRPC(n.pool), n.Generation, n.log.WithName("member"))
	n.writer = claim.NewWriter(claim.Settings{}, log)
	n.claimer = claim.NewClaimer(n.peers.claimServices)
	n.lender = limit.NewLender(0)
	n.borrower = limit.NewBorrower(f.ID, n.peers)
	n.rollout = rollout.New(rollout.Settings{
		RepeatAfter: time.Duration(f.Times.RepeatConfiguration),
	}, log, n.peers, n.log.WithName("rollout"))
	n.atomicRollout.Store(n.rollout)
	n.quarantine = quarantine.New(steady.Now, quarantine.Dependencies{
		Turn: n.peers.retestTurn,
	}, n.log.WithName("quarantine"))
	n.peerGuard = quarantine.NewPeerGuard(n.quarantine, n.peers, n.log.WithName("quarantine"))
	n.assemblePaths(dial)
	endpoints := &endpointClients{
		client: n.endpoints,
	}
	n.entry = entry.New(entry.Settings{
		Self:     n.self,
		Strategy: strategy,
	}, entry.Parts{
		Configuration: n.rollout.View,
		Members:       n.member.View,
		Leaser:        n.peers.leaser,
		ReportFailure: n.member.ReportFailure,
		Endpoints:     endpoints,
		Claimer:       n.claimer,
		Borrower:      n.borrower,
		Quarantine:    n.peerGuard,
		Check:         tcp.CheckBy(n.reach.DialContext),
		Attach:        entry.NewRemote(n.peers),
		Log:           decisions.WithName("entry"),
	})
	n.owner = owner.New(owner.Settings{
		Strategy:      strategy,
		SweepInterval: time.Duration(f.Times.Sweep),
		ConfirmAfter:  time.Duration(f.Times.Confirm),
	}, endpoints, n.peers, n.newReconciler(client, log), decisions.WithName("owner"))
}

// newReconciler returns the reconciler that brings endpoints to their desired states, or nil if the
// settings name no weight store.
func (n *Node) newReconciler(client *http.Client, log logsvc.Log) *order.Reconciler {
	if n.settings.Platform.Weights == "" {
		return nil
	}
	store := weights.NewHTTP(client, n.settings.Platform.Weights)
	return order.New(order.Settings{}, log, store, n.log.WithName("order"))
}

// strategyOf returns the scheduling strategy with a name from the settings.
func strategyOf(name string) policy.Strategy {
	if name == settings.Naive {
		return policy.Naive{}
	}
	return policy.Weighed{}
}

// maxHeaderBytes is the maximum size of the headers of an HTTP request.
const maxHeaderBytes = 32 << 10

// headerTimeout bounds the time for reading the headers of a request. idleTimeout is how long a
// connection may be idle between requests.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// serve starts the gRPC server for other instances and the HTTP servers. Nil creds mean gRPC
// without TLS.
func (n *Node) serve(l *listeners, creds credentials.TransportCredentials) {
	opts := []grpc.ServerOption{
		grpc.ReadBufferSize(rpcBufferBytes),
		grpc.WriteBufferSize(rpcBufferBytes),
		grpc.MaxRecvMsgSize(config.MaxBytes * 2),
	}
	if creds != nil {
		opts = append(opts, grpc.Creds(creds))
	}
	n.rpc = grpc.NewServer(opts...)
	memberpb.RegisterMemberServer(n.rpc, member.NewServer(n.member))
	rolloutpb.RegisterRolloutServer(n.rpc, rollout.NewServer(n.rollout))
	ownerpb.RegisterOwnerServer(n.rpc, owner.NewServer(n.owner, n.closing))
	ownerpb.RegisterHolderServer(n.rpc, n.entry.Registry)
	claimpb.RegisterClaimsServer(n.rpc, claim.NewServer(n.writer))
	claimpb.RegisterAnswersServer(n.rpc, n.entry.Answers)
	quarantinepb.RegisterQuarantineServer(n.rpc, quarantine.NewServer(n.quarantine))
	reachpb.RegisterForwardingServer(n.rpc, n.forwarder)
	limitpb.RegisterLenderServer(n.rpc, limit.NewServer(n.lender, n.quota))
	n.callers = newServer(n.entry.Handler())
	n.admin = newServer(n.adminHandler())
	n.goroutines.Go(func() { n.logServerEnd("peers", n.rpc.Serve(l.peers)) })
	n.goroutines.Go(func() { n.logServerEnd("callers", n.callers.Serve(l.callers)) })
	n.goroutines.Go(func() { n.logServerEnd("admin", n.admin.Serve(l.admin)) })
}

// rpcBufferBytes is the size of the read and the write buffer of a connection from another
// instance.
const rpcBufferBytes = 16 << 10

// newServer returns an HTTP server with limits on the headers of requests and on idle connections.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// logServerEnd logs an error if the server ended without being closed.
func (n *Node) logServerEnd(name string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.Error(err, "server ended", "server", name)
	}
}

// Generation returns the generation of the configuration in force, or zero if there is none.
func (n *Node) Generation() int64 {
	if r := n.atomicRollout.Load(); r != nil {
		return r.Generation()
	}
	return 0
}

// quota returns a customer's quota from the configuration in force, or false if the customer is
// unknown or there is no configuration.
func (n *Node) quota(customer string) (limit.Quota, bool) {
	v := n.rollout.View()
	if v == nil {
		return limit.Quota{}, false
	}
	c, ok := v.Customer(customer)
	if !ok {
		return limit.Quota{}, false
	}
	return limit.Quota{
		Rate:        c.RequestsPerSecond,
		Concurrency: c.Concurrency,
	}, true
}
