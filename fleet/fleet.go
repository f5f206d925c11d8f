// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package fleet runs a whole deployment in one process, on loopback: the
// stand-in platform, engines and plain services, and nodes. It serves the
// demo, the load tool and the tests.
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
	"github.com/linkmast/linkmast/node"
	"github.com/linkmast/linkmast/rollout"
	"github.com/linkmast/linkmast/settings"
	"github.com/linkmast/linkmast/standin"
)

// Settings are the measures of a Fleet. A zero value means the default.
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
	// Engine are the measures of each engine.
	Engine standin.EngineSettings
	// Log are the measures of the platform's log.
	Log standin.LogSettings
	// Strategy is the nodes' strategy.
	Strategy string
	// Node changes the settings of a node before its start.
	Node func(*settings.File)
	// Logger gets the nodes' lines.
	Logger logr.Logger
}

// The names that the fleet's configuration uses.
const (
	// Model is the model that all engines serve.
	Model = "m1"
	// Adapter is an adapter of Model.
	Adapter = "m1-desk"
	// Service is the plain service.
	Service = "lots"
	// Region is the only region.
	Region = "r1"

	// version is the version that the engines have loaded.
	version = "1"
)

const (
	defaultNodes    = 3
	defaultEngines  = 4
	defaultServices = 2
	defaultDomains  = 3
)

// The rated measures of a stand-in engine.
const (
	ratedPrefillTokensPerSecond = 40_000
	ratedMemoryTokens           = 400_000
	ratedKVBytesPerToken        = 1024
	maxPromptTokens             = 1_100_000
)

// Customer is a customer of the fleet's configuration.
type Customer struct {
	// ID names the customer.
	ID string
	// Tier is what it bought.
	Tier string
	// Key is its bearer key.
	Key string
}

// Customers are the customers of every fleet.
var Customers = []Customer{
	{ID: "desk", Tier: "gold", Key: "key-desk"},
	{ID: "office", Tier: "silver", Key: "key-office"},
	{ID: "board", Tier: "bronze", Key: "key-board"},
}

// Endpoint is one stand-in endpoint with its server.
type Endpoint struct {
	// ID names the endpoint.
	ID string
	// Address is where it listens.
	Address string
	// Engine is set for engines.
	Engine *standin.Engine
	// Service is set for plain services.
	Service *standin.Service

	server *http.Server
}

// Fleet is a whole deployment.
type Fleet struct {
	// Platform is the stand-in platform.
	Platform *standin.Platform
	// PlatformAddress is where it listens.
	PlatformAddress string
	// Engines are the model engines.
	Engines []*Endpoint
	// Services are the endpoints of the plain service.
	Services []*Endpoint
	// Nodes are the nodes.
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

// readyTimeout bounds the start of a fleet.
const readyTimeout = 20 * time.Second

// Start starts a fleet, publishes its configuration and waits until every node
// is ready.
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

// Serve serves a handler at an address, and returns the address in use.
func Serve(address string, h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", errors.Wrap(err, "listen")
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readyTimeout,
	}
	// Serve returns when the server is closed.
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}

// failureDomain returns the failure failureDomain of the i-th of something.
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

// addToList puts an endpoint instance on the platform's addToList.
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

// AddNode starts the i-th node and puts it on the platform's list.
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
	n, err := node.New(s, f.settings.Logger.WithValues("node", s.ID))
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

// Publish publishes a configuration and returns its generation.
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

// WaitReady waits until every node is ready and knows the others.
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

// pollInterval is how often readiness is looked at.
const pollInterval = 10 * time.Millisecond

// DefaultConfiguration returns the configuration of engines and plain endpoints with the
// default measures.
func DefaultConfiguration(engines, services []*Endpoint) string {
	f := &Fleet{
		Engines:  engines,
		Services: services,
	}
	f.settings.setDefaults()
	return f.Configuration()
}

// Configuration returns the fleet's configuration.
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

// Addresses returns where callers reach each node.
func (f *Fleet) Addresses() []string {
	out := make([]string, 0, len(f.Nodes))
	for _, n := range f.Nodes {
		out = append(out, n.Listen)
	}
	return out
}

// HeldBytes returns the memory that is held at all engines.
func (f *Fleet) HeldBytes() int64 {
	total := int64(0)
	for _, h := range f.Engines {
		total += h.Engine.HeldBytes()
	}
	return total
}

// WaitMemoryReleased waits until no engine holds memory, and returns what is held when
// the time is over.
func (f *Fleet) WaitMemoryReleased(within time.Duration) int64 {
	until := time.Now().Add(within)
	for f.HeldBytes() > 0 && time.Now().Before(until) {
		time.Sleep(pollInterval)
	}
	return f.HeldBytes()
}

// Kill ends an endpoint as if its instance died.
func (h *Endpoint) Kill() {
	// Connections that fail to close are gone all the same.
	_ = h.server.Close()
	if h.Engine != nil {
		h.Engine.SetFaults(standin.Faults{
			Dead: true,
		})
	}
}

// Close ends everything at once.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.Close()
	}
	for _, h := range append(f.Engines, f.Services...) {
		// Connections that fail to close are gone all the same.
		_ = h.server.Close()
		if h.Engine != nil {
			h.Engine.Stop()
		}
	}
	if f.platform != nil {
		_ = f.platform.Close()
	}
}
