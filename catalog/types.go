// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/route"
)

// Endpoint is the entry of one incarnation of an endpoint. An incarnation lasts from a start of
// the endpoint to its end.
type Endpoint struct {
	// Instance is the endpoint's name, which a later incarnation may reuse.
	Instance string
	// Service is the service that the endpoint provides.
	Service string
	// Address is the host and port that the endpoint listens on.
	Address string
	// FailureDomain is the failure domain in which the endpoint runs.
	FailureDomain string
	// Slots is the maximum number of requests that the endpoint processes concurrently.
	Slots int
	// Leaving is set when the endpoint is shutting down and must receive no new requests.
	Leaving bool
	// StartedAt is the start time of this incarnation, by the platform's clock; zero if the
	// entry has none. An incarnation that started later has none of the state of the earlier
	// ones.
	StartedAt time.Time
	// ColdFor is how much longer the endpoint accepts only a limited rate of requests,
	// according to its entry; zero if it is not cold.
	ColdFor time.Duration
	// ColdUntil is ColdFor after this instance received the entry, so it is never too early;
	// zero if the endpoint is not cold.
	ColdUntil time.Time
}

// equalExceptCold reports whether two entries are equal, ignoring the remaining cold time if
// both are cold.
func (e Endpoint) equalExceptCold(other Endpoint) bool {
	if e.ColdFor > 0 && other.ColdFor > 0 {
		e.ColdFor, e.ColdUntil = other.ColdFor, other.ColdUntil
	}
	return e == other
}

// Succeeds reports whether e started later than old, an entry of the same name. It returns
// false if the start time of old is unknown.
func (e Endpoint) Succeeds(old Endpoint) bool {
	return !old.StartedAt.IsZero() && e.StartedAt.After(old.StartedAt)
}

// Peer is an instance of the system.
type Peer struct {
	// ID is unique among the instances.
	ID string
	// Address is the host and port to which other instances connect.
	Address string
	// FailureDomain is the failure domain in which the instance runs.
	FailureDomain string
	// Capacity is the instance's weight in rendezvous hashing, in thousandths of a processor
	// core.
	Capacity int
}

// Feed is one of the ordered record logs of the store. The offsets of different feeds are
// unrelated.
type Feed int

// The feeds of the store.
const (
	// Configurations contains the configuration and the drained failure domains.
	Configurations Feed = iota
	// Endpoints contains one entry for each endpoint.
	Endpoints
	// Peers contains one entry for each instance and one for each ban of requests that crash
	// endpoints.
	Peers
)

// String returns the feed's name as it appears in logs.
func (f Feed) String() string {
	switch f {
	case Configurations:
		return "configurations"
	case Endpoints:
		return "endpoints"
	}
	return "peers"
}

// Change is a decoded record: *TableChange, *EndpointChange, *EndpointRemoved, *PeerChange,
// *PeerRemoved, *DomainDrained, *DomainUndrained, *RequestBanned, *RequestReleased or
// *Malformed.
type Change interface {
	change()
}

// TableChange announces a version of the configuration, which may be older than the one in
// force.
type TableChange struct {
	// Table is the decoded configuration.
	Table *route.Table
}

// EndpointChange adds or replaces the entry of an endpoint.
type EndpointChange struct {
	// Endpoint is the new entry.
	Endpoint Endpoint
}

// EndpointRemoved reports that an endpoint's entry has been deleted or has expired.
type EndpointRemoved struct {
	// Instance is the endpoint's name.
	Instance string
}

// PeerChange adds or replaces the entry of an instance.
type PeerChange struct {
	// Peer is the new entry.
	Peer Peer
}

// PeerRemoved reports that an instance's entry has been deleted or has expired.
type PeerRemoved struct {
	// ID identifies the instance.
	ID string
}

// DomainDrained requests that no new requests go to the endpoints of a failure domain. It is a
// record of the Configurations feed.
type DomainDrained struct {
	// Domain is the name of the failure domain.
	Domain string
}

// DomainUndrained reverts a DomainDrained.
type DomainUndrained struct {
	// Domain is the name of the failure domain.
	Domain string
}

// RequestBanned bans requests that crash endpoints. It is a record of the Peers feed.
type RequestBanned struct {
	// Verdict holds the identity of the requests and the details of the ban.
	Verdict quarantine.Verdict
}

// RequestReleased lifts the ban of a RequestBanned.
type RequestReleased struct {
	// Identity identifies the requests.
	Identity quarantine.Identity
}

// Malformed is a record that can't be decoded or that has no usable content. In the Endpoints
// feed it removes the endpoint with its key; in the other feeds it has no effect.
type Malformed struct {
	// Key is the key of the record; if it is empty, the record has no effect.
	Key string
	// Err describes why the record was rejected.
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

// ErrCompacted is returned by Store.Follow when the store no longer keeps the requested
// records. The feed must then be read in full.
var ErrCompacted = errors.New("records are no longer kept")

// ErrRestored is returned by Store.Follow when the store has come back from a copy. The feed must
// then be read in full.
var ErrRestored = errors.New("store was restored from a copy")

// ErrMoved is returned by Store.Rewrite when records were written meanwhile.
var ErrMoved = errors.New("feed has further records")

// Record is the newest record of a key. An empty Value deletes the key.
type Record struct {
	// Key identifies the entry within its feed.
	Key string
	// Value is the content as the platform encoded it.
	Value []byte
	// Offset is the position of the record in its feed, as Position returns it.
	Offset int64
}

// Page is a part of a full read: the newest records of consecutive keys, sorted by key.
type Page struct {
	// Records are the newest records of the keys of this page.
	Records []Record
	// Next is the position of the end of the feed at the time when this page was read.
	Next int64
	// More is set if further pages exist.
	More bool
}

// Changes are the records that one read of a feed returned.
type Changes struct {
	// Records are the records from the position of the read on.
	Records []Record
	// Next is the position after the last of them.
	Next int64
	// End is the position of the end of the feed when the store answered. It exceeds Next if the
	// answer contains only the first of the new records.
	End int64
}

// Backlog returns the number of records between Next and the end of the feed.
func (c Changes) Backlog() int64 {
	return max(c.End-c.Next, 0)
}

// Store gives access to the platform's store.
type Store interface {
	// Page returns the newest records of the keys after the given one, or from the first key if
	// it is empty. Successive pages are not a consistent snapshot. To receive the changes made
	// in the meantime, follow the feed from Next of the first page.
	Page(ctx context.Context, f Feed, after string) (Page, error)
	// Follow returns the records from an offset on, of which the store may return only the first
	// ones. It waits up to the given time for the first record; if there is none, Next and End of
	// the result are that offset. It returns ErrCompacted if the records at the offset are no
	// longer kept, and ErrRestored if the store is in a later epoch.
	Follow(ctx context.Context, f Feed, from int64, wait time.Duration) (Changes, error)
	// Decode decodes a record. It returns nil for a record that the catalog ignores.
	Decode(f Feed, r Record) Change
	// Announce writes the entries of instances in one call, either all or none.
	Announce(ctx context.Context, started []Peer) error
	// Rewrite writes records, of which those without a value delete their keys, in one call,
	// either all or none. It returns ErrMoved, and writes nothing, unless the feed ends at the
	// given position.
	Rewrite(ctx context.Context, f Feed, records []Record, end int64) error
	// Withdraw deletes the entry of an instance.
	Withdraw(ctx context.Context, id string) error
}
