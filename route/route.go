// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linkmast/linkmast/batch"
)

// Kind states how often a request may run and what its answer looks like.
type Kind int

// The kinds of route.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by a series of events. They run at most
	// once unless they are resumable.
	Streaming
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	}
	return "unsafe"
}

// Share is the part of a route's requests that a service gets.
type Share struct {
	// Service names the service.
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route says how requests with a host and a path prefix are served.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the host that the route belongs to, in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Kind states how often a request may run.
	Kind Kind
	// Timeout is the longest time that a request is held; zero means no bound.
	Timeout time.Duration
	// Target is the time within which an answer, or the first event of a
	// stream, is in time.
	Target time.Duration
	// GapTarget is the longest pause between events of a stream in time.
	GapTarget time.Duration
	// Rank orders requests; rank 0 goes first. A customer's rank replaces it.
	Rank int
	// Shares are the services; at least one.
	Shares []Share
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams can be continued at another endpoint.
	Resumable bool
}

// Idempotent states whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request. The choice depends on the
// request's id alone, so that it comes out the same wherever it is made.
func (r *Route) Service(id string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[0].Service
}

// Service is a set of endpoints that answer alike.
type Service struct {
	// Name identifies the service.
	Name string
	// MaxConns bounds the connections to one endpoint from all callers.
	MaxConns int
	// Engine is the cost model of the service's engines; nil for a plain
	// service.
	Engine *batch.Model
	// ColdPerSecond is the rate of requests that an endpoint bears while it is cold;
	// zero when it is not bounded.
	ColdPerSecond float64
	// ColdStart is how long an endpoint stays cold that has started.
	ColdStart time.Duration
	// TypicalSize is the mean size of its requests; zero when it is not known.
	TypicalSize Size
}

// Size is the length of a request in tokens.
type Size struct {
	Prompt int
	Answer int
}

// Customer is a holder of keys.
type Customer struct {
	// ID names the customer.
	ID string
	// Keys are the customer's keys.
	Keys []string
	// Rank is the priority that the customer bought; 0 goes first.
	Rank int
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes bounds the header of a request; zero means that the
	// configuration does not say, as for the other limits.
	HeaderBytes int
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// HeaderTimeout bounds the time in which the header arrives.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller may let a connection rest.
	IdleTimeout time.Duration
}

// Table is one version of the configuration, ready for look-ups.
type Table struct {
	// Version orders tables; a higher version replaces a lower one.
	Version int64
	// Routes are all routes.
	Routes []Route
	// Services are all services by name.
	Services map[string]*Service
	// Limits bound requests.
	Limits Limits
	// KeysRequired states whether routes that are not public need a key.
	KeysRequired bool

	// byHost are the routes of each host, those with the longest prefix first.
	byHost map[string][]*Route
	// byKey are the customers by key.
	byKey map[string]*Customer
}

// New returns the table of a version. It takes over its arguments. Keyed states
// whether routes that are not public need a key.
func New(version int64, routes []Route, services []Service, customers []Customer, keyed bool, l Limits) *Table {
	t := &Table{
		Version:      version,
		Routes:       routes,
		Services:     make(map[string]*Service, len(services)),
		Limits:       l,
		KeysRequired: keyed,
		byHost:       make(map[string][]*Route),
		byKey:        make(map[string]*Customer),
	}
	for i := range services {
		t.Services[services[i].Name] = &services[i]
	}
	for i := range customers {
		for _, k := range customers[i].Keys {
			t.byKey[k] = &customers[i]
		}
	}
	t.orderRoutes()
	return t
}

// orderRoutes puts the routes of each host in the order in which they are tried.
func (t *Table) orderRoutes() {
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
}

// Match returns the route of a host and path, or nil. A port behind the host
// does not count.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Customer returns the holder of a key, or false when nobody holds it.
func (t *Table) Customer(key string) (*Customer, bool) {
	c, ok := t.byKey[key]
	return c, ok
}
