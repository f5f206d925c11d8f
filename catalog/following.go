// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/steady"
)

// The times of following other instances. Round trips between them take a few
// milliseconds, and a pause of the garbage collector some tens.
const (
	// pingTimeout is how long a follower waits for an answer before it goes to
	// another instance.
	pingTimeout = 600 * time.Millisecond
	// openTimeout bounds the time until the first answer.
	openTimeout = 600 * time.Millisecond
)

// maxUpdate bounds a message between instances, in bytes: a whole configuration.
const maxUpdate = 32 << 20

// pingsPerTwoPolls is how often a follower asks for the age in two polls: often
// enough that the age stays below that of fresh when an answer is late.
const pingsPerTwoPolls = 5

// pingEvery is how often a follower asks for the age.
func (c *Catalog) pingEvery() time.Duration {
	return 2 * c.settings.Poll / pingsPerTwoPolls
}

// followLoop follows one instance after the other while that is needed.
func (c *Catalog) followLoop(ctx context.Context) {
	for try := 0; ctx.Err() == nil; try++ {
		r := c.topology.Load()
		if !c.shouldFollow() || len(r.upstreams) == 0 {
			try = -1
			sleep(ctx, roleCheckInterval)
			continue
		}
		p, patient := r.upstreamFor(try)
		began := steady.Now()
		// Those that start together are all about to know something.
		err := c.followOne(ctx, p, patient || c.Snapshot() == nil)
		if ctx.Err() != nil {
			return
		}
		// With nobody to follow, this instance reads the store after the delay of
		// its place in the order.
		c.upstreamConfirmed.reset()
		c.handleFollowEnd(p, err, steady.Since(began))
		if steady.Since(began) > openTimeout {
			// It worked for a while: the order is tried from its start.
			try = -1
		}
		if try >= 0 && try < startupTries && c.Snapshot() == nil {
			patient = false
		}
		sleep(ctx, retryPause(patient, steady.Since(began)))
	}
}

// retryPause returns the pause after a try to follow somebody. A patient one that was
// held has waited already.
func retryPause(patient bool, took time.Duration) time.Duration {
	switch {
	case !patient:
		return quickRetryPause
	case took >= maxFollowerHold:
		return roleCheckInterval
	}
	return maxRetryPause
}

// handleFollowEnd notes why an instance is no longer followed.
func (c *Catalog) handleFollowEnd(p Peer, err error, after time.Duration) {
	switch status.Code(err) {
	case codes.FailedPrecondition, codes.ResourceExhausted:
		// It answered, and would tell when the store is back.
		c.peerAnswered.mark(steady.Now())
		c.log.V(1).Info("can't follow", "peer", p.ID, "cause", err.Error(), "ms", after.Milliseconds())
		return
	default:
	}
	if errors.Is(err, errSilent) {
		// The connection may have gone silent for good, while a new one works.
		c.dialer.Disconnect(p.Address)
	}
	c.log.Info("no longer follows", "peer", p.ID, "cause", err.Error(), "ms", after.Milliseconds())
}

// The pauses between tries to follow somebody.
const (
	// quickRetryPause is that between the first ones: in a second an instance of 300 has
	// asked all that are likely to be in touch with the store.
	quickRetryPause = 50 * time.Millisecond
	// maxRetryPause is that between later ones while nobody answers.
	maxRetryPause = 500 * time.Millisecond
)

// startupTries is how many tries follow one soon after the other while nothing is known yet:
// of instances that start within a second those to follow may come last.
const startupTries = 20

// errReadsStore ends following when this instance reads the store.
var errReadsStore = errors.New("reads the store itself")

// errStale ends following an instance that knows too little.
var errStale = errors.New("knows too little")

// errLoop ends following an instance that knows only what this one has told.
var errLoop = errors.New("knows by this instance")

// errSilent ends following an instance that does not answer.
var errSilent = errors.New("does not answer")

// followOne follows an instance until that fails or is no longer needed. A patient one
// is held for a moment by an instance that knows too little.
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
		catalog: c,
		stream:  stream,
		sent:    make(map[int64]time.Time),
		updates: make(chan *catalogpb.Update),
		failed:  make(chan error, 1),
	}
	go f.receive(ctx)
	return f.run(ctx, p, patient)
}

// followStream is a follower's side of a stream.
type followStream struct {
	catalog *Catalog
	stream  grpc.BidiStreamingClient[catalogpb.Ping, catalogpb.Update]
	// seq is the number of the last ping, and sent are when those without an
	// answer were sent, by number.
	seq     int64
	sent    map[int64]time.Time
	updates chan *catalogpb.Update
	failed  chan error
}

// receive hands on what the instance says until the stream ends.
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

// run takes over what the instance says, and asks for the age, until either
// fails or it need not be followed any more.
func (f *followStream) run(ctx context.Context, p Peer, patient bool) error {
	tick := time.NewTicker(f.catalog.pingEvery())
	defer tick.Stop()
	silent := time.NewTimer(openTimeout)
	defer silent.Stop()
	defer f.catalog.upstreamAddress.Store(nil)
	if err := f.sendFirstPing(patient); err != nil {
		return err
	}
	said := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-f.failed:
			return err
		case <-silent.C:
			return errSilent
		case <-tick.C:
			if !f.catalog.shouldFollow() {
				return errReadsStore
			}
			if err := f.ping(); err != nil {
				return err
			}
		case u := <-f.updates:
			silent.Reset(pingTimeout)
			if err := f.applyUpdate(u); err != nil {
				return err
			}
			if !said {
				said = true
				f.catalog.upstreamAddress.Store(&p.Address)
				f.catalog.log.Info("follows", "peer", p.ID)
			}
		}
	}
}

// sendFirstPing says what this instance has, and asks for the age.
func (f *followStream) sendFirstPing(patient bool) error {
	p := f.catalog.firstPing()
	p.Patient = patient
	f.seq++
	p.Seq = f.seq
	f.sent[f.seq] = steady.Now()
	return f.stream.Send(p)
}

// ping asks for the age.
func (f *followStream) ping() error {
	f.seq++
	f.sent[f.seq] = steady.Now()
	return f.stream.Send(&catalogpb.Ping{
		Seq: f.seq,
		Has: noOffset,
	})
}

// applyUpdate takes over an update.
func (f *followStream) applyUpdate(u *catalogpb.Update) error {
	c := f.catalog
	switch k := u.GetKind().(type) {
	case *catalogpb.Update_Records:
		feed := Feed(k.Records.GetFeed())
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

// applyAge takes over an age. It counts from when its ping was sent.
func (f *followStream) applyAge(a *catalogpb.Age) error {
	c := f.catalog
	c.peerAnswered.mark(steady.Now())
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
