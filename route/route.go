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

// Kind states whether a request may run more than once and whether its answer is a stream.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by a stream of events. They run at most once unless the
	// route is resumable.
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

// Share is a service with its share of a route's requests.
type Share struct {
	// Service is the name of the service.
	Service string
	// Weight is relative to the sum of the weights of the route's shares.
	Weight int
}

// Route defines how requests with a host and a path prefix are served.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the host name in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Kind determines, together with Resumable, whether a request may run more than once.
	Kind Kind
	// Timeout is the maximum time for a request; zero means no limit.
	Timeout time.Duration
	// Target is the time within which an answer, or the first event of a stream, is on time.
	Target time.Duration
	// GapTarget is the longest pause between events of a stream that is on time; zero means no
	// target.
	GapTarget time.Duration
	// Rank is the priority of the route's requests; rank 0 goes first. The worth of a request
	// depends on this rank and on the rank of the customer. Other decisions use only the rank of the
	// customer, or this one if the request has no customer.
	Rank int
	// Shares lists the services of the route; there is at least one.
	Shares []Share
	// MaxAttempts is the maximum number of attempts of one request that may reach an endpoint.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams can continue on another endpoint.
	Resumable bool
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request. The choice depends only on the request's ID, so
// that all instances make the same one.
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

// Service is a set of interchangeable endpoints.
type Service struct {
	// Name identifies the service.
	Name string
	// MaxConns is the configured maximum number of connections to one endpoint, from all
	// callers. It is not enforced.
	MaxConns int
	// Engine is the cost model of the service's engines; nil for a plain service.
	Engine *batch.Model
	// ColdPerSecond is the number of requests per second that a cold endpoint can take; zero
	// means no limit.
	ColdPerSecond float64
	// ColdStart is how long an endpoint stays cold after its start.
	ColdStart time.Duration
	// TypicalSize is the mean size of the service's requests; zero when unknown.
	TypicalSize Size
}

// Size is the length of a prompt and of its answer, in tokens.
type Size struct {
	Prompt int
	Answer int
}

// Customer is the owner of a set of keys.
type Customer struct {
	// ID identifies the customer.
	ID string
	// Keys lists the customer's keys.
	Keys []string
	// Rank is the priority that the customer bought; 0 goes first.
	Rank int
}

// Limits holds the configured bounds on what callers may send; zero means that the configuration
// does not set the bound. Only BodyBytes is enforced, with a default if it is zero.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64
	// HeaderTimeout bounds the time until the header is complete.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller may keep a connection idle.
	IdleTimeout time.Duration
}

// Table is one version of the configuration, indexed for look-ups.
type Table struct {
	// Version orders tables; a higher version replaces a lower one.
	Version int64
	// Routes lists all routes.
	Routes []Route
	// Services holds all services by name.
	Services map[string]*Service
	// Limits holds the configured bounds on requests.
	Limits Limits
	// KeysRequired states whether routes that are not public require a key.
	KeysRequired bool

	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]*Route
	// byKey holds the customers by key.
	byKey map[string]*Customer
}

// New returns the table of a configuration version. It takes ownership of its arguments.
// If keysRequired is set, routes that are not public require a key.
func New(version int64, routes []Route, services []Service, customers []Customer, keysRequired bool, l Limits) *Table {
	t := &Table{
		Version:      version,
		Routes:       routes,
		Services:     make(map[string]*Service, len(services)),
		Limits:       l,
		KeysRequired: keysRequired,
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

// orderRoutes sorts the routes of each host by descending prefix length.
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

// Match returns the route for a host and path, or nil. It ignores a port in the host.
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

// Customer returns the owner of a key, or false when the key is unknown.
func (t *Table) Customer(key string) (*Customer, bool) {
	c, ok := t.byKey[key]
	return c, ok
}
