// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/steady"
)

// Timing of following another instance. The timeouts exceed round trips between instances and
// pauses of the garbage collector by far.
const (
	// pingTimeout is how long a follower waits for the next message before it tries another
	// upstream.
	pingTimeout = 600 * time.Millisecond
	// openTimeout is the timeout of the first message.
	openTimeout = 600 * time.Millisecond
)

// maxUpdate is the maximum size of a message between instances in bytes. It must hold the
// largest configuration.
const maxUpdate = 32 << 20

// pingsPerTwoPolls is the number of pings in the time of two polls: enough that one late answer
// does not make the last confirmation older than freshFor.
const pingsPerTwoPolls = 5

// pingEvery returns the interval of the pings that ask for the age of the configuration.
func (c *Catalog) pingEvery() time.Duration {
	return 2 * c.settings.Poll / pingsPerTwoPolls
}

// followLoop follows one instance after the other, while this instance needs an upstream.
func (c *Catalog) followLoop(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		r := c.topology.Load()
		if !c.shouldFollow() || len(r.upstreams) == 0 {
			attempt = -1
			sleep(ctx, roleCheckInterval)
			continue
		}
		p, patient := r.upstreamFor(attempt)
		began := steady.Now()
		// While no configuration is known, the attempt is always patient, because the upstream
		// may be starting as well.
		err := c.followOne(ctx, p, patient || c.Snapshot() == nil)
		if ctx.Err() != nil {
			return
		}
		// Without an upstream, this instance reads the store after the delay of its position.
		c.upstreamConfirmed.reset()
		c.handleFollowEnd(p, err, steady.Since(began))
		if steady.Since(began) > openTimeout {
			// The upstream worked for a while, so the next attempt starts from the first
			// choice. An upstream that was silent from the start counts as well.
			attempt = -1
		}
		if attempt >= 0 && attempt < startupTries && c.Snapshot() == nil {
			patient = false
		}
		sleep(ctx, retryPause(patient, steady.Since(began)))
	}
}

// retryPause returns the pause after an attempt to follow an instance. took is the duration of
// the attempt. After a patient request that the upstream held, the pause is only
// roleCheckInterval.
func retryPause(patient bool, took time.Duration) time.Duration {
	switch {
	case !patient:
		return quickRetryPause
	case took >= maxFollowerHold:
		return roleCheckInterval
	}
	return maxRetryPause
}

// handleFollowEnd logs why p is no longer followed and how long it was followed. If p rejected
// the request, it records that p answered. If p stopped answering, it closes the connection.
func (c *Catalog) handleFollowEnd(p Peer, err error, after time.Duration) {
	switch status.Code(err) {
	case codes.FailedPrecondition, codes.ResourceExhausted:
		// The instance answered, so it can report when the store is back.
		c.peerAnswered.mark(steady.Now())
		c.log.V(1).Info("follow request rejected", "peer", p.ID, "cause", err.Error(), "ms", after.Milliseconds())
		return
	default:
	}
	if errors.Is(err, errSilent) {
		// The connection may be broken, while a new one works.
		c.dialer.Disconnect(p.Address)
	}
	c.log.Info("no longer follows", "peer", p.ID, "cause", err.Error(), "ms", after.Milliseconds())
}

// The pauses between attempts to follow an instance.
const (
	// quickRetryPause is the pause after attempts that are not patient. It lets an instance try
	// all likely upstreams within about a second.
	quickRetryPause = 50 * time.Millisecond
	// maxRetryPause is the pause after patient attempts that were not held.
	maxRetryPause = 500 * time.Millisecond
)

// startupTries is the number of attempts that are followed by quickRetryPause, patient or not,
// while no configuration is known. Upstreams may start later than this instance.
const startupTries = 20

// errReadsStore ends following when this instance can read the store as a reader.
var errReadsStore = errors.New("reads the store itself")

// errStale ends following an instance whose data is stale.
var errStale = errors.New("upstream has stale data")

// errLoop ends following an instance whose data comes from this instance.
var errLoop = errors.New("upstream has its data from this instance")

// errCompare ends following an instance to compare all records with it again.
var errCompare = errors.New("store was restored, comparing all records")

// errSilent ends following an instance that stopped answering.
var errSilent = errors.New("does not answer")

// followOne follows an instance until that fails or is no longer needed. If patient is set, an
// instance with stale data may hold the request briefly.
func (c *Catalog) followOne(ctx context.Context, p Peer, patient bool) error {
	conn, err := c.dialer.Conn(p.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := catalogpb.NewCatalogClient(conn).Follow(ctx, grpc.MaxCallRecvMsgSize(maxUpdate))
	if err != nil {
		return err
	}
	f := &followStream{
		catalog:      c,
		stream:       stream,
		sent:         make(map[int64]time.Time),
		updates:      make(chan *catalogpb.Update),
		failed:       make(chan error, 1),
		openedAt:     steady.Now(),
		compareDelay: rand.N(maxCompareDelay),
	}
	go f.receive(ctx)
	return f.run(ctx, p, patient)
}

// followStream is the follower's side of a stream.
type followStream struct {
	catalog *Catalog
	stream  grpc.BidiStreamingClient[catalogpb.Ping, catalogpb.Update]
	// seq is the number of the last ping, and sent holds the send times of the unanswered pings
	// by number.
	seq     int64
	sent    map[int64]time.Time
	updates chan *catalogpb.Update
	failed  chan error
	// openedAt is when the stream was opened. compareDelay is the delay after which it is opened
	// again once a restored store has settled, so that all records are compared.
	openedAt     time.Time
	compareDelay time.Duration
}

// maxCompareDelay bounds followStream.compareDelay, over which the instances spread.
const maxCompareDelay = 2 * time.Second

// receive passes the updates of the stream to run until the stream ends.
func (f *followStream) receive(ctx context.Context) {
	for {
		u, err := f.stream.Recv()
		if err != nil {
			f.failed <- err
			return
		}
		select {
		case f.updates <- u:
		case <-ctx.Done():
			return
		}
	}
}

// run applies the updates of instance p and sends pings, until the stream fails or this
// instance no longer needs an upstream.
func (f *followStream) run(ctx context.Context, p Peer, patient bool) error {
	tick := time.NewTicker(f.catalog.pingEvery())
	defer tick.Stop()
	timeout := time.NewTimer(openTimeout)
	defer timeout.Stop()
	defer f.catalog.upstreamAddress.Store(nil)
	if err := f.sendFirstPing(patient); err != nil {
		return err
	}
	answered := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-f.failed:
			return err
		case <-timeout.C:
			return errSilent
		case <-tick.C:
			if !f.catalog.shouldFollow() {
				return errReadsStore
			}
			if f.catalog.settledSince(f.openedAt, f.compareDelay) {
				return errCompare
			}
			if err := f.ping(); err != nil {
				return err
			}
		case u := <-f.updates:
			timeout.Reset(pingTimeout)
			if err := f.applyUpdate(u); err != nil {
				return err
			}
			if !answered {
				answered = true
				f.catalog.upstreamAddress.Store(&p.Address)
				f.catalog.log.Info("follows", "peer", p.ID)
			}
		}
	}
}

// sendFirstPing sends a summary of the records that this instance has, and asks for the age.
func (f *followStream) sendFirstPing(patient bool) error {
	p := f.catalog.firstPing()
	p.Patient = patient
	f.seq++
	p.Seq = f.seq
	f.sent[f.seq] = steady.Now()
	return f.stream.Send(p)
}

// ping asks for the age of the configuration.
func (f *followStream) ping() error {
	f.seq++
	f.sent[f.seq] = steady.Now()
	return f.stream.Send(&catalogpb.Ping{
		Seq: f.seq,
		Has: noOffset,
	})
}

// applyUpdate applies records or an age.
func (f *followStream) applyUpdate(u *catalogpb.Update) error {
	c := f.catalog
	switch k := u.GetKind().(type) {
	case *catalogpb.Update_Records:
		feed := Feed(k.Records.GetFeed())
		if !slices.Contains(feeds[:], feed) {
			// A later version has further feeds.
			return nil
		}
		records, err := c.decode(feed, k.Records.GetRecords())
		if err != nil {
			return err
		}
		c.applyBatch(batch{
			feed:    feed,
			records: records,
			next:    k.Records.GetNext(),
			whole:   parts(k.Records.GetParts()),
			more:    k.Records.GetMore(),
			from:    fromPeer,
		})
	case *catalogpb.Update_Age:
		return f.applyAge(k.Age)
	}
	return nil
}

// applyAge applies the answer to a ping. The age counts from when the ping was sent. It returns
// an error if the upstream is stale or gets its data from this instance.
func (f *followStream) applyAge(a *catalogpb.Age) error {
	c := f.catalog
	c.peerAnswered.mark(steady.Now())
	// The records that this instance lacked precede the first age.
	c.compared.Store(true)
	sent := f.sent[a.GetSeq()]
	for seq := range f.sent {
		if seq <= a.GetSeq() {
			delete(f.sent, seq)
		}
	}
	s := freshness{
		answered: time.Duration(a.GetAnsweredUs()) * time.Microsecond,
		root:     a.GetRoot(),
		hops:     int(a.GetHops()),
	}
	age := time.Duration(a.GetAgeUs()) * time.Microsecond
	if a.GetKnown() {
		c.confirm(sent.Add(-age))
	}
	switch {
	case s.root == c.settings.Self.ID:
		return errLoop
	case !a.GetKnown() || c.stale(s):
		return errStale
	}
	c.upstreamFreshness.Store(&freshness{
		root: s.root,
		hops: s.hops + 1,
	})
	c.upstreamConfirmed.mark(sent.Add(-s.answered))
	c.confirmation.fire()
	return nil
}
