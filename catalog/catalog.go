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

// Settings configures a Catalog. Zero values of Readers and of the durations select the
// defaults.
type Settings struct {
	// Self is the entry of this instance.
	Self Peer
	// Readers is the minimum number of instances that read the store; the default is 2.
	Readers int
	// Seeds are the addresses of the instances that a starting instance asks for instances to
	// follow. All instances use the same list, in the same order; some of the seeds may be
	// down. Without seeds, each starting instance reads the list of instances from the store.
	Seeds []string
	// FirstStart is set if all instances are starting at the same time, so that their entries
	// appear in the store only gradually.
	FirstStart bool
	// Poll is the wait time of a poll for configurations; the default is 1s. While the store is
	// readable, the age of the configuration stays below about twice this.
	Poll time.Duration
	// EndpointPoll is the wait time of a poll for endpoints; the default is 1s. It bounds the
	// delay of a change when the store fails to wake the poll: all instances must know of a
	// leaving endpoint within two seconds.
	EndpointPoll time.Duration
	// InstancePoll is the wait time of a poll for instances; the default is 20s.
	InstancePoll time.Duration
	// Hold is how long endpoints whose entries were removed during an outage of the store are
	// kept after the last failed read; the default is 2s.
	Hold time.Duration
}

// Defaults of Settings.
const (
	// defaultReaders tolerates the failure of one reader.
	defaultReaders = 2
	// defaultPoll keeps the age of the configuration below about two seconds.
	defaultPoll = time.Second
	// defaultEndpointPoll leaves one of the two seconds in which a leaving endpoint must become
	// known for forwarding the change to all instances.
	defaultEndpointPoll = time.Second
	// defaultInstancePoll makes a reader poll three times a minute while no instance changes.
	defaultInstancePoll = 20 * time.Second
	// defaultHold is the time in which the platform expects entries to be renewed after an
	// outage.
	defaultHold = 2 * time.Second
)

// Dialer provides connections to other instances.
type Dialer interface {
	// Conn returns the connection to an address, which later calls may return again.
	Conn(address string) (*grpc.ClientConn, error)
	// Disconnect closes the connection to an address, so that the next use opens a new
	// one.
	Disconnect(address string)
}

// Catalog holds the records of the store and keeps them up to date, by reading the store or by
// following another instance.
type Catalog struct {
	settings Settings
	store    Store
	dialer   Dialer
	log      logr.Logger

	// confirmed is when the last request that confirmed the configuration was sent to the
	// store; nil before the first.
	confirmed atomic.Pointer[time.Time]
	// snapshot is the last published state; nil before the first configuration.
	snapshot atomic.Pointer[Snapshot]
	// storeAnswered is when the store last confirmed the configuration to this instance.
	// upstreamConfirmed is when the store last confirmed it to the root of the followed instance,
	// that is, to the instance that read the data from the store.
	storeAnswered     timestamp
	upstreamConfirmed timestamp
	// peerAnswered is when another instance last answered, even if its data was stale.
	peerAnswered timestamp
	// upstreamLost is when this instance found that no upstream provides fresh data; unset
	// while one does and on readers.
	upstreamLost timestamp
	// failing has one bit per feed, which is set if the last read of that feed failed.
	failing atomic.Int64
	// backlog has, for each feed, the number of records that the last poll left in the store; zero
	// while this instance doesn't read the feed.
	backlog [len(feeds)]atomic.Int64
	// upstreamFreshness holds the root of the followed instance and the number of hops from
	// there to this instance; nil before the first answer. Its field answered is not used.
	upstreamFreshness atomic.Pointer[freshness]
	// compared is set once this instance has received the records that it lacked of another one.
	compared atomic.Bool
	// confirmation fires whenever the store or the upstream confirms the configuration.
	confirmation *signal
	// topology divides the known instances into readers, relays and followers.
	topology atomic.Pointer[topology]
	// followers counts the instances that follow this one.
	followers followers
	// introduced fires when adoptPeers accepts a list of instances.
	introduced *signal
	// joined is set, and joinedCh closed, once this instance has a list of other instances.
	joined   atomic.Bool
	joinedCh chan struct{}
	// ownEntryDue is the earliest time at which this instance checks its own entry in the
	// store; nil before it has joined.
	ownEntryDue atomic.Pointer[time.Time]
	// pending holds instances whose entries may be missing in the store.
	pending pendingEntries
	// upstreamAddress is the address of the followed instance; nil if there is none.
	upstreamAddress atomic.Pointer[string]

	mu sync.Mutex
	// table, endpoints and peers are the decoded content of the records, and tableKey is the
	// key of the last configuration record.
	table     *route.Table
	tableKey  string
	endpoints cowMap[Endpoint]
	peers     cowMap[Peer]
	// topologyStale is set if peers has changed since the topology was computed.
	topologyStale bool
	// suppressRecordLogs is set while a large batch is applied, whose added and changed
	// endpoints and instances are not logged individually.
	suppressRecordLogs bool
	// reportedTotal is the number of instances as reported by the instance that provided the
	// first list of instances.
	reportedTotal int
	// records are the newest applied records by feed and key, and next are the offsets after
	// the last ones.
	records map[Feed]map[string]Record
	next    map[Feed]int64
	// checksums summarize the records of each feed, and packedValues are the compressed values
	// of long records.
	checksums    map[Feed]*checksums
	packedValues map[recordKey]*packedValue
	// journal contains the latest changes, which are sent to followers.
	journal journal
	// holdRemovalsUntil is the time before which removals of endpoints read from the store are
	// held back.
	holdRemovalsUntil time.Time
	// heldRemovals are the removals that have not been applied yet, by endpoint.
	heldRemovals map[string]heldRemoval
	// departed maps each leaving or removed endpoint to the time at which this instance learned
	// of its departure.
	departed map[string]time.Time
	// drained maps each drained failure domain to the time at which this instance learned of the
	// drain.
	drained map[string]time.Time
	// banned are the banned requests.
	banned map[quarantine.Identity]quarantine.Verdict
	// epochs holds the epochs of the feeds.
	epochs [len(feeds)]epochState
	// incarnations identifies late entries of older incarnations.
	incarnations incarnations
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// recordKey identifies a record by its feed and key.
type recordKey struct {
	feed Feed
	key  string
}

// heldRemoval is the deletion of an endpoint's entry that takes effect at the due time unless
// the entry returns before.
type heldRemoval struct {
	record Record
	due    time.Time
}

// New returns a catalog without data. Run fills it and keeps it up to date.
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
		s.InstancePoll = defaultInstancePoll
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

// updateTopology recomputes the topology from the known instances. The caller holds the lock,
// or is the only user of the catalog.
func (c *Catalog) updateTopology() {
	total := c.peers.len()
	if _, all := c.next[Peers]; !all {
		total = max(total, c.reportedTotal)
	}
	c.topology.Store(newTopology(c.settings.Self, c.peers.values, c.settings.Readers, total))
}

// feeds lists all feeds. The configuration is first.
var feeds = [...]Feed{Configurations, Endpoints, Peers}

// Snapshot returns the current state, or nil before the first configuration is known.
func (c *Catalog) Snapshot() *Snapshot {
	return c.snapshot.Load()
}

// Age returns an upper bound of the age of the configuration in force: it includes every
// version that the store had accepted that long ago. It returns false before the first
// confirmation.
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

// confirm records that a read sent at the given time returned the newest configuration.
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
