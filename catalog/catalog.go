// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/route"
)

// Settings are the measures of a Catalog. A zero value means the default.
type Settings struct {
	// Self is this instance.
	Self Peer
	// Readers is how many instances read the store at least; the default is 2.
	Readers int
	// Seeds are addresses of instances that others ask, when they start, whom to
	// follow, the same ones at all instances; some may be gone. Without any, each
	// instance that starts reads the store to know who is there.
	Seeds []string
	// FirstStart states that all instances start now, so that it takes a moment
	// until they are all announced.
	FirstStart bool
	// Poll is how long a poll for configurations waits; the default is 1s. The
	// age of the configuration stays below about twice this.
	Poll time.Duration
	// EndpointPoll is how long a poll for endpoints waits; the default is 1s. The
	// store does not always wake a poll when there is something new, and an
	// endpoint that leaves must be known within two seconds.
	EndpointPoll time.Duration
	// InstancePoll is how long a poll for instances waits; the default is 20s.
	InstancePoll time.Duration
	// Hold is how long endpoints that vanished in an outage of the store are
	// kept after its return; the default is 2s.
	Hold time.Duration
}

// The defaults of Settings.
const (
	// defaultReaders is two, so that one may fail.
	defaultReaders = 2
	// defaultPoll keeps the age of a configuration at about two seconds.
	defaultPoll = time.Second
	// defaultEndpointPoll leaves a second of the two in which a leaving endpoint
	// must be known for the way to all instances.
	defaultEndpointPoll = time.Second
	// defaultLongPoll costs the store three calls a minute.
	defaultLongPoll = 20 * time.Second
	// defaultHold is the time that the platform's pages give entries to return:
	// about two seconds.
	defaultHold = 2 * time.Second
)

// Dialer opens connections to instances.
type Dialer interface {
	// Conn returns the connection to an address.
	Conn(address string) (*grpc.ClientConn, error)
	// Disconnect closes the connection to an address, so that the next use opens a new
	// one.
	Disconnect(address string)
}

// Catalog follows the store.
type Catalog struct {
	settings Settings
	store    Store
	dialer   Dialer
	log      logr.Logger

	// confirmed is when the last read that confirmed the configuration was
	// sent; nil before the first.
	confirmed atomic.Pointer[time.Time]
	// snapshot is what was last published.
	snapshot atomic.Pointer[Snapshot]
	// storeAnswered is when the store last answered this instance, and heard when an
	// instance that it follows last confirmed the configuration.
	storeAnswered     timestamp
	upstreamConfirmed timestamp
	// peerAnswered is when another instance last answered, whatever it knew.
	peerAnswered timestamp
	// upstreamLost is when this instance found that no other one tells it enough;
	// unmarked while one does.
	upstreamLost timestamp
	// failing has a bit for each feed whose last read failed.
	failing atomic.Int64
	// upstreamFreshness is what the instance that this one follows said last of where it knows
	// from; nil before the first.
	upstreamFreshness atomic.Pointer[freshness]
	// confirmation fires when what is known was confirmed.
	confirmation *signal
	// topology are how the instances that are known divide the work.
	topology atomic.Pointer[topology]
	// followers are the instances that follow this one.
	followers followers
	// introduced fires when another instance has introduced itself to this one, that
	// knew nobody.
	introduced *signal
	// joined is set, and joining closed, once it is known who is there.
	joined   atomic.Bool
	joinedCh chan struct{}
	// ownEntryDue is from when on this instance sees to its own entry; nil before it is
	// known who is there.
	ownEntryDue atomic.Pointer[time.Time]
	// pending are instances whose entries the store may lack.
	pending pendingEntries
	// upstreamAddress is the address of the instance that this one follows; nil without one.
	upstreamAddress atomic.Pointer[string]

	mu sync.Mutex
	// table, endpoints and peers are what the records say, and tableKey is the key of
	// the record that the table is of.
	table     *route.Table
	tableKey  string
	endpoints cowMap[Endpoint]
	peers     cowMap[Peer]
	// topologyStale states that the ranks do not yet have the latest changes of the instances.
	topologyStale bool
	// suppressRecordLogs states that the records being taken over have no line each.
	suppressRecordLogs bool
	// reportedTotal is how many instances there are, by the one that said whom to follow.
	reportedTotal int
	// records are the newest records by feed and key, as far as they took
	// effect, and next the offsets after the last ones.
	records map[Feed]map[string]Record
	next    map[Feed]int64
	// checksums tell what there is of each feed, and long are the packed values of long
	// records.
	checksums    map[Feed]*checksums
	packedValues map[recordKey]*packedValue
	// journal has the latest changes for followers.
	journal journal
	// holdRemovalsUntil is until when removals of endpoints are not taken for real.
	holdRemovalsUntil time.Time
	// heldRemovals are removals that wait for their time, by endpoint.
	heldRemovals map[string]heldRemoval
	// departed are the endpoints that leave or are gone, with when this became
	// known.
	departed map[string]time.Time
	// drained are the failure domains that get nothing new, with when this became
	// known.
	drained map[string]time.Time
	// banned are the requests that are kept from endpoints.
	banned map[quarantine.Identity]quarantine.Verdict
	// incarnations tells late entries of older incarnations apart.
	incarnations incarnations
	// changed is closed at the next change.
	changed chan struct{}
}

// recordKey names a long record.
type recordKey struct {
	feed Feed
	key  string
}

// heldRemoval is the end of an endpoint's entry that has not taken effect.
type heldRemoval struct {
	record Record
	due    time.Time
}

// New returns a catalog. Run fills it.
func New(s Settings, store Store, d Dialer, log logr.Logger) *Catalog {
	if s.Readers == 0 {
		s.Readers = defaultReaders
	}
	if s.Poll == 0 {
		s.Poll = defaultPoll
	}
	if s.EndpointPoll == 0 {
		s.EndpointPoll = defaultEndpointPoll
	}
	if s.InstancePoll == 0 {
		s.InstancePoll = defaultLongPoll
	}
	if s.Hold == 0 {
		s.Hold = defaultHold
	}
	c := &Catalog{
		settings:     s,
		store:        store,
		dialer:       d,
		log:          log,
		records:      make(map[Feed]map[string]Record),
		next:         make(map[Feed]int64),
		heldRemovals: make(map[string]heldRemoval),
		departed:     make(map[string]time.Time),
		drained:      make(map[string]time.Time),
		banned:       make(map[quarantine.Identity]quarantine.Verdict),
		incarnations: make(incarnations),
		changed:      make(chan struct{}),
		checksums:    make(map[Feed]*checksums),
		packedValues: make(map[recordKey]*packedValue),
		confirmation: newSignal(),
		introduced:   newSignal(),
		joinedCh:     make(chan struct{}),
		pending:      newPendingEntries(),
	}
	for _, f := range feeds {
		c.records[f] = make(map[string]Record)
		c.checksums[f] = &checksums{}
	}
	c.updateTopology()
	return c
}

// updateTopology divides the work among the instances that are known. The caller holds the lock,
// or is the only one that has the catalog.
func (c *Catalog) updateTopology() {
	total := c.peers.len()
	if _, all := c.next[Peers]; !all {
		total = max(total, c.reportedTotal)
	}
	c.topology.Store(newTopology(c.settings.Self, c.peers.values, c.settings.Readers, total))
}

// feeds are all feeds.
var feeds = [...]Feed{Configurations, Endpoints, Peers}

// Snapshot returns what is known, or nil while there is no configuration.
func (c *Catalog) Snapshot() *Snapshot {
	return c.snapshot.Load()
}

// Age returns how old the configuration in force may be: no configuration that
// was accepted earlier than this is missing. It returns false before the first
// read.
func (c *Catalog) Age() (time.Duration, bool) {
	at := c.confirmed.Load()
	if at == nil {
		return 0, false
	}
	return steady.Since(*at), true
}

// Changed returns a channel that is closed at the next change.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// confirm notes that a read sent at a moment showed the newest configuration.
func (c *Catalog) confirm(sent time.Time) {
	for {
		old := c.confirmed.Load()
		if old != nil && !sent.After(*old) {
			return
		}
		if c.confirmed.CompareAndSwap(old, &sent) {
			return
		}
	}
}
