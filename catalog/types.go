// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/route"
)

// Endpoint is one life of an endpoint.
type Endpoint struct {
	// Instance names the endpoint; a restart may have the same name.
	Instance string
	// Service names what the endpoint answers for.
	Service string
	// Address is the host and port.
	Address string
	// FailureDomain is where the endpoint runs.
	FailureDomain string
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving endpoints get no new request.
	Leaving bool
	// StartedAt is when this life of the endpoint started, by the platform's clock; zero
	// when it does not say. A later one under the same name holds and knows nothing
	// of before.
	StartedAt time.Time
	// ColdFor is how much longer the endpoint bears only a limited rate of requests, as
	// its entry says.
	ColdFor time.Duration
	// ColdUntil is when that ends, counted from when the entry was first known here,
	// so that it is never too early; zero for an endpoint that is not cold.
	ColdUntil time.Time
}

// equalExceptCold states whether two entries of an endpoint say the same, but for how much longer
// it is cold.
func (e Endpoint) equalExceptCold(other Endpoint) bool {
	if e.ColdFor > 0 && other.ColdFor > 0 {
		e.ColdFor, e.ColdUntil = other.ColdFor, other.ColdUntil
	}
	return e == other
}

// Succeeds states whether the endpoint is a later life of another one under the same
// name.
func (e Endpoint) Succeeds(old Endpoint) bool {
	return !old.StartedAt.IsZero() && e.StartedAt.After(old.StartedAt)
}

// Peer is another instance of the system.
type Peer struct {
	// ID names the instance.
	ID string
	// Address is where instances connect to it.
	Address string
	// FailureDomain is where it runs.
	FailureDomain string
	// Capacity weighs what it can carry, in thousandths of a processor core.
	Capacity int
}

// Feed is a part of the store.
type Feed int

// The feeds.
const (
	// Configurations has the whole configuration, and the failure domains that are
	// emptied.
	Configurations Feed = iota
	// Endpoints has an entry for each endpoint.
	Endpoints
	// Peers has an entry for each instance, and one for each request that they keep from
	// endpoints.
	Peers
)

// String returns the feed's name.
func (f Feed) String() string {
	switch f {
	case Configurations:
		return "configurations"
	case Endpoints:
		return "endpoints"
	}
	return "peers"
}

// Change is a record of a feed: *TableChange, *EndpointChange, *EndpointRemoved,
// *PeerChange, *PeerRemoved, *DomainDrained, *DomainUndrained, *RequestBanned,
// *RequestReleased or *Malformed.
type Change interface {
	change()
}

// TableChange is a new version of the configuration.
type TableChange struct {
	// Table is the version.
	Table *route.Table
}

// EndpointChange is a new or changed endpoint.
type EndpointChange struct {
	// Endpoint is the entry.
	Endpoint Endpoint
}

// EndpointRemoved is the end of an endpoint's entry.
type EndpointRemoved struct {
	// Instance names the endpoint.
	Instance string
}

// PeerChange is a new or changed instance.
type PeerChange struct {
	// Peer is the entry.
	Peer Peer
}

// PeerRemoved is the end of an instance's entry.
type PeerRemoved struct {
	// ID names the instance.
	ID string
}

// DomainDrained asks that nothing new be sent to the endpoints of a failure domain. It is
// a record of the feed of configurations.
type DomainDrained struct {
	// Domain names the failure domain.
	Domain string
}

// DomainUndrained ends what DomainDrained asked for.
type DomainUndrained struct {
	// Domain names the failure domain.
	Domain string
}

// RequestBanned keeps requests that crash endpoints from them. It is a record of the feed of
// instances.
type RequestBanned struct {
	// Verdict is the ban.
	Verdict quarantine.Verdict
}

// RequestReleased ends what RequestBanned asked for.
type RequestReleased struct {
	// Identity is that of the requests.
	Identity quarantine.Identity
}

// Malformed is a record that can't be read, or that names nothing to use. That of an
// endpoint ends what was known under its key; others change nothing.
type Malformed struct {
	// Key is the record's key.
	Key string
	// Err says what is wrong.
	Err error
}

func (*TableChange) change()     {}
func (*EndpointChange) change()  {}
func (*EndpointRemoved) change() {}
func (*PeerChange) change()      {}
func (*PeerRemoved) change()     {}
func (*DomainDrained) change()   {}
func (*DomainUndrained) change() {}
func (*RequestBanned) change()   {}
func (*RequestReleased) change() {}
func (*Malformed) change()       {}

// ErrCompacted means that the records asked for are no longer kept; the feed
// must be read whole again.
var ErrCompacted = errors.New("records are no longer kept")

// Record is the newest record of a key. Without a value it ends the key.
type Record struct {
	// Key names what the record is about.
	Key string
	// Value is as the platform wrote it.
	Value []byte
	// Offset orders the records of a feed.
	Offset int64
}

// Page is a part of the newest records of a feed, in the order of their keys.
type Page struct {
	// Records are the newest records of some keys.
	Records []Record
	// Next is the offset to follow from once all pages are read, as it was when this
	// page was.
	Next int64
	// More states that another page follows.
	More bool
}

// Store is the platform's store.
type Store interface {
	// Page returns the newest records of a feed that come after a key; the first ones
	// for an empty key. The pages of a feed are read one after the other, as several
	// calls, and are no snapshot: what changes meanwhile is followed from the Next of
	// the first one.
	Page(ctx context.Context, f Feed, after string) (Page, error)
	// Follow returns the records from an offset on. It waits for the first one
	// for the given time; without one it returns none and the same offset. The
	// error is ErrCompacted when the records are gone.
	Follow(ctx context.Context, f Feed, from int64, wait time.Duration) (records []Record, next int64, err error)
	// Decode returns what a record says; nil when it is of no concern.
	Decode(f Feed, r Record) Change
	// Announce writes the entries of instances in one call, all or none.
	Announce(ctx context.Context, started []Peer) error
	// Withdraw removes an instance's entry.
	Withdraw(ctx context.Context, id string) error
}
