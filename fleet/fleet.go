// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package fleet runs a complete deployment in one process on the loopback
// interface: nodes, and stand-ins for the platform, the engines and the plain
// services. The demo, the load tool and tests use it.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/tcp"
	"github.com/linkmast/linkmast/node"
	"github.com/linkmast/linkmast/rollout"
	"github.com/linkmast/linkmast/settings"
	"github.com/linkmast/linkmast/standin"
)

// Settings configures a Fleet. Zero values select the defaults.
type Settings struct {
	// Nodes is the number of nodes; the default is 3.
	Nodes int
	// Engines is the number of engines; the default is 4.
	Engines int
	// Services is the number of endpoints of the plain service; the default
	// is 2.
	Services int
	// Domains is the number of failure domains; the default is 3.
	Domains int
	// Engine configures each engine. Zero for the prefill rate, the memory
	// and the memory per token selects the rated values.
	Engine standin.EngineSettings
	// Log configures the platform's log.
	Log standin.LogSettings
	// Strategy is the scheduling strategy of the nodes, settings.Weighed or
	// settings.Naive; the default is settings.Weighed.
	Strategy string
	// Node modifies the settings of each node before the node starts. It may
	// be nil.
	Node func(*settings.File)
	// DialEndpoint returns the function with which the node with an index dials
	// endpoints. It may be nil.
	DialEndpoint func(node int) tcp.DialFunc
	// Logger receives the log lines of the nodes; by default they are
	// discarded.
	Logger logr.Logger
}

// Identifiers in the configuration of a fleet.
const (
	// Model is the id of the model that all engines serve.
	Model = "m1"
	// Adapter is the id of an adapter of Model.
	Adapter = "m1-desk"
	// Service is the id of the plain service.
	Service = "lots"
	// Region is the id of the only region.
	Region = "r1"

	// version is the version of Model that the engines have loaded.
	version = "1"
)

const (
	defaultNodes    = 3
	defaultEngines  = 4
	defaultServices = 2
	defaultDomains  = 3
)

// The rated values of a stand-in engine.
const (
	ratedPrefillTokensPerSecond = 40_000
	ratedMemoryTokens           = 400_000
	ratedKVBytesPerToken        = 1024
	maxPromptTokens             = 1_100_000
)

// Customer is a customer in the configuration of a fleet.
type Customer struct {
	// ID is the id of the customer.
	ID string
	// Tier is the id of the highest tier that the customer may use.
	Tier string
	// Key is the bearer token that authenticates the customer.
	Key string
}

// Customers lists the customers that every fleet configures, one per tier.
var Customers = []Customer{
	{ID: "desk", Tier: "gold", Key: "key-desk"},
	{ID: "office", Tier: "silver", Key: "key-office"},
	{ID: "board", Tier: "bronze", Key: "key-board"},
}

// Endpoint is a stand-in engine or plain service together with its HTTP server.
type Endpoint struct {
	// ID is the id of the endpoint in the configuration.
	ID string
	// Address is the host and port that the endpoint listens on.
	Address string
	// Engine is the engine; nil for plain services.
	Engine *standin.Engine
	// Service is the plain service; nil for engines.
	Service *standin.Service

	server *http.Server
}

// Fleet is a running deployment. Close stops it.
type Fleet struct {
	// Platform is the stand-in platform.
	Platform *standin.Platform
	// PlatformAddress is the host and port that the platform listens on.
	PlatformAddress string
	// Engines holds the model engines.
	Engines []*Endpoint
	// Services holds the endpoints of the plain service.
	Services []*Endpoint
	// Nodes holds the nodes in the order in which they were added.
	Nodes []*node.Node

	settings Settings
	platform *http.Server
}

func (s *Settings) setDefaults() {
	for _, n := range []struct {
		v   *int
		def int
	}{
		{&s.Nodes, defaultNodes},
		{&s.Engines, defaultEngines},
		{&s.Services, defaultServices},
		{&s.Domains, defaultDomains},
	} {
		if *n.v == 0 {
			*n.v = n.def
		}
	}
	if s.Engine.PrefillTokensPerSecond == 0 {
		s.Engine.PrefillTokensPerSecond = ratedPrefillTokensPerSecond
	}
	if s.Engine.KVBytesPerToken == 0 {
		s.Engine.KVBytesPerToken = ratedKVBytesPerToken
	}
	if s.Engine.MemoryBytes == 0 {
		s.Engine.MemoryBytes = ratedMemoryTokens * s.Engine.KVBytesPerToken
	}
	if s.Strategy == "" {
		s.Strategy = settings.Weighed
	}
	if s.Logger.GetSink() == nil {
		s.Logger = logr.Discard()
	}
}

// readyTimeout bounds WaitReady, the publication of a configuration and the
// time that a server waits for request headers.
const readyTimeout = 20 * time.Second

// Start starts a fleet, publishes its configuration and waits until every node
// is ready. On an error it stops what it has started.
func Start(s Settings) (*Fleet, error) {
	s.setDefaults()
	f := &Fleet{
		Platform: standin.NewPlatform(s.Log),
		settings: s,
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if f.platform, f.PlatformAddress, err = Serve("127.0.0.1:0", f.Platform.Handler()); err != nil {
		return err
	}
	for i := range f.settings.Engines {
		if err := f.addEngine(i); err != nil {
			return err
		}
	}
	for i := range f.settings.Services {
		if err := f.addService(i); err != nil {
			return err
		}
	}
	for i := range f.settings.Nodes {
		if _, err := f.AddNode(i); err != nil {
			return err
		}
	}
	if _, err := f.Publish(f.Configuration()); err != nil {
		return err
	}
	return f.WaitReady()
}

// Serve starts an HTTP server for h on address. It returns the server and the
// address that the server listens on, which has the chosen port if the port in
// address is 0.
func Serve(address string, h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", errors.Wrap(err, "listen")
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readyTimeout,
	}
	// Serve returns http.ErrServerClosed once the server is closed.
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}

// failureDomain returns the failure domain of the i-th engine, service or node.
// The failure domains are assigned in turn.
func (f *Fleet) failureDomain(i int) string {
	return fmt.Sprintf("d%d", i%f.settings.Domains+1)
}

func (f *Fleet) addEngine(i int) error {
	id := fmt.Sprintf("e%d", i+1)
	es := f.settings.Engine
	es.Instance = id + "-1"
	es.Model = Model
	es.Version = version
	e := standin.NewEngine(es)
	server, address, err := Serve("127.0.0.1:0", e.Handler())
	if err != nil {
		return err
	}
	f.Engines = append(f.Engines, &Endpoint{
		ID:      id,
		Address: address,
		Engine:  e,
		server:  server,
	})
	f.addToList(es.Instance, address, f.failureDomain(i))
	return nil
}

func (f *Fleet) addService(i int) error {
	id := fmt.Sprintf("s%d", i+1)
	v := standin.NewService(standin.ServiceSettings{
		Instance: id + "-1",
	})
	server, address, err := Serve("127.0.0.1:0", v.Handler())
	if err != nil {
		return err
	}
	f.Services = append(f.Services, &Endpoint{
		ID:      id,
		Address: address,
		Service: v,
		server:  server,
	})
	f.addToList(id+"-1", address, f.failureDomain(i))
	return nil
}

// addToList adds an endpoint instance to the platform's list of instances.
func (f *Fleet) addToList(id, address, domain string) {
	f.Platform.Instances.Put(instances.Instance{
		ID:            id,
		Kind:          instances.KindEndpoint,
		Address:       address,
		FailureDomain: domain,
		Region:        Region,
		State:         instances.Live,
	})
}

// dialer returns the function with which a node dials endpoints; nil selects the default.
func (f *Fleet) dialer(i int) tcp.DialFunc {
	if f.settings.DialEndpoint == nil {
		return nil
	}
	return f.settings.DialEndpoint(i)
}

// AddNode starts the node with index i, counted from 0, and adds it to the
// platform's list of instances.
func (f *Fleet) AddNode(i int) (*node.Node, error) {
	s := &settings.File{
		ID:            fmt.Sprintf("n%d", i+1),
		Region:        Region,
		FailureDomain: f.failureDomain(i),
		Listen:        "127.0.0.1:0",
		PeerListen:    "127.0.0.1:0",
		AdminListen:   "127.0.0.1:0",
		Strategy:      f.settings.Strategy,
		Platform: settings.Platform{
			Log:       f.PlatformAddress,
			Instances: f.PlatformAddress,
			Weights:   f.PlatformAddress,
		},
	}
	if f.settings.Node != nil {
		f.settings.Node(s)
	}
	s.SetDefaults()
	n, err := node.New(context.Background(), s, node.Parts{
		Log:          f.settings.Logger.WithValues("node", s.ID),
		DialEndpoint: f.dialer(i),
	})
	if err != nil {
		return nil, err
	}
	f.Nodes = append(f.Nodes, n)
	f.Platform.Instances.Put(instances.Instance{
		ID:            s.ID,
		Kind:          instances.KindNode,
		Address:       n.PeerListen,
		FailureDomain: s.FailureDomain,
		Region:        Region,
		State:         instances.Live,
	})
	return n, nil
}

// Publish publishes a configuration in TOML and returns the offset of its record
// in the log, which is its generation if it is accepted.
func (f *Fleet) Publish(text string) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	v, err := rollout.Publish(ctx, f.Platform.Log, rollout.Publication{
		ID:       fmt.Sprintf("fleet-%d", time.Now().UnixNano()),
		Operator: "fleet",
		Text:     []byte(text),
	})
	return v.Offset, err
}

// WaitReady waits until every node is ready and has all nodes of the fleet as
// members. It returns an error if this takes longer than 20 s.
func (f *Fleet) WaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, n := range f.Nodes {
		for {
			s := n.Status()
			if s.Ready && s.Members == len(f.Nodes) {
				break
			}
			if time.Now().After(until) {
				return errors.Errorf("node %s is not ready: %s, %d members", s.Instance, s.Reason, s.Members)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// pollInterval is the time between two checks in WaitReady and WaitMemoryReleased.
const pollInterval = 10 * time.Millisecond

// DefaultConfiguration returns the configuration in TOML of a fleet with the given
// engines and endpoints of the plain service and otherwise default settings.
func DefaultConfiguration(engines, services []*Endpoint) string {
	f := &Fleet{
		Engines:  engines,
		Services: services,
	}
	f.settings.setDefaults()
	return f.Configuration()
}

// Configuration returns the configuration of the fleet in TOML. It contains
// the engines and services that have been started.
func (f *Fleet) Configuration() string {
	var b strings.Builder
	b.WriteString("format = 1\n\n[[regions]]\nid = \"" + Region + "\"\n")
	for i := range f.settings.Domains {
		fmt.Fprintf(&b, "\n[[failure_domains]]\nid = %q\nregion = %q\n", f.failureDomain(i), Region)
	}
	for rank, tier := range []string{"gold", "silver", "bronze"} {
		fmt.Fprintf(&b, "\n[[tiers]]\nid = %q\nrank = %d\n", tier, rank)
	}
	for _, c := range Customers {
		sum := sha256.Sum256([]byte(c.Key))
		fmt.Fprintf(&b, "\n[[customers]]\nid = %q\ntier = %q\nkey_sha256 = [%q]\n", c.ID, c.Tier, hex.EncodeToString(sum[:]))
	}
	fmt.Fprintf(&b, "\n[[models]]\nid = %q\nversion = %q\nkv_bytes_per_token = %d\nmax_prompt_tokens = %d\n",
		Model, version, f.settings.Engine.KVBytesPerToken, maxPromptTokens)
	fmt.Fprintf(&b, "\n[[adapters]]\nid = %q\nmodel = %q\n", Adapter, Model)
	for i, h := range f.Engines {
		fmt.Fprintf(&b, "\n[[endpoints]]\nid = %q\nkind = \"engine\"\naddress = %q\nfailure_domain = %q\nmodel = %q\n"+
			"memory_bytes = %d\nprefill_tokens_per_second = %.1f\n", h.ID, h.Address, f.failureDomain(i), Model,
			f.settings.Engine.MemoryBytes, f.settings.Engine.PrefillTokensPerSecond)
	}
	for i, h := range f.Services {
		fmt.Fprintf(&b, "\n[[endpoints]]\nid = %q\nkind = \"plain\"\naddress = %q\nfailure_domain = %q\nservice = %q\n",
			h.ID, h.Address, f.failureDomain(i), Service)
	}
	return b.String()
}

// Addresses returns the host and port of each node for requests of callers.
func (f *Fleet) Addresses() []string {
	out := make([]string, 0, len(f.Nodes))
	for _, n := range f.Nodes {
		out = append(out, n.Listen)
	}
	return out
}

// HeldBytes returns the bytes of memory that attempts and reservations hold on all
// engines together.
func (f *Fleet) HeldBytes() int64 {
	total := int64(0)
	for _, h := range f.Engines {
		total += h.Engine.HeldBytes()
	}
	return total
}

// WaitMemoryReleased waits until no engine holds memory for attempts or
// reservations, at most for the given time. It returns the bytes that are still
// held.
func (f *Fleet) WaitMemoryReleased(within time.Duration) int64 {
	until := time.Now().Add(within)
	for f.HeldBytes() > 0 && time.Now().Before(until) {
		time.Sleep(pollInterval)
	}
	return f.HeldBytes()
}

// Kill closes the server of an endpoint with all its connections, as if the
// instance had died. An engine also drops its attempts and reservations.
func (h *Endpoint) Kill() {
	// An error while closing a connection doesn't matter here.
	_ = h.server.Close()
	if h.Engine != nil {
		h.Engine.SetFaults(standin.Faults{
			Dead: true,
		})
	}
}

// Close closes all nodes, endpoints and the platform without waiting for
// running requests.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.Close()
	}
	for _, h := range append(f.Engines, f.Services...) {
		// An error while closing a connection doesn't matter here.
		_ = h.server.Close()
		if h.Engine != nil {
			h.Engine.Stop()
		}
	}
	if f.platform != nil {
		_ = f.platform.Close()
	}
}
