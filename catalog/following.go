// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/rendezvous"
)

// The times of following other instances. Round trips between them take a few
// milliseconds, and a pause of the garbage collector some tens.
const (
	// pingSilence is how long a follower waits for an answer before it goes to
	// another instance.
	pingSilence = 600 * time.Millisecond
	// openWithin bounds the time until the first answer.
	openWithin = 600 * time.Millisecond
	// answerSlack is how much longer than its wait a poll may take before the
	// store counts as out of reach for followers.
	answerSlack = 300 * time.Millisecond
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
		if !c.shouldFollow() {
			try = -1
			sleep(ctx, lookEvery)
			continue
		}
		others, _ := c.order()
		if len(others) == 0 {
			sleep(ctx, lookEvery)
			continue
		}
		p := c.pick(others, try)
		began := time.Now()
		err := c.followOne(ctx, p)
		if ctx.Err() != nil {
			return
		}
		// With nobody to follow, this instance reads the store after the delay of
		// its place in the order.
		c.heard.reset()
		c.log.Info("no longer follows", "peer", p.ID, "cause", err.Error(), "ms", time.Since(began).Milliseconds())
		if time.Since(began) > openWithin {
			// It worked for a while: the order is tried from its start.
			try = -1
		}
		sleep(ctx, min(lookEvery*time.Duration(1+max(try, 0)/2), longestLook))
	}
}

// longestLook is the longest pause between tries to follow somebody, for when the
// store does not answer anybody. Whoever can reach the store reads it meanwhile.
const longestLook = 500 * time.Millisecond

// pick returns the instance that is followed at a try, of the others in their
// order. The first tries go to the readers, beginning with one chosen by this
// instance's name so that they share the work; then the order goes on.
func (c *Catalog) pick(others []Peer, try int) Peer {
	if try >= c.settings.Readers {
		return others[try%len(others)]
	}
	readers := others[:min(c.settings.Readers, len(others))]
	return readers[(rendezvous.Index(c.settings.Self.ID, len(readers))+try)%len(readers)]
}

// errEnough ends following when this instance reads the store.
var errEnough = errors.New("reads the store itself")

// errStale ends following an instance that knows too little.
var errStale = errors.New("knows too little")

// errSilent ends following an instance that does not answer.
var errSilent = errors.New("does not answer")

// followOne follows an instance until that fails or is no longer needed.
func (c *Catalog) followOne(ctx context.Context, p Peer) error {
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
	f := &following{
		catalog: c,
		stream:  stream,
		sent:    make(map[int64]time.Time),
		updates: make(chan *catalogpb.Update),
		failed:  make(chan error, 1),
	}
	go f.receive(ctx)
	return f.run(ctx, p)
}

// following is a follower's side of a stream.
type following struct {
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
func (f *following) receive(ctx context.Context) {
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
func (f *following) run(ctx context.Context, p Peer) error {
	tick := time.NewTicker(f.catalog.pingEvery())
	defer tick.Stop()
	silent := time.NewTimer(openWithin)
	defer silent.Stop()
	if err := f.ping(); err != nil {
		return err
	}
	f.catalog.log.Info("follows", "peer", p.ID)
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
				return errEnough
			}
			if err := f.ping(); err != nil {
				return err
			}
		case u := <-f.updates:
			silent.Reset(pingSilence)
			if err := f.take(u); err != nil {
				return err
			}
		}
	}
}

// ping asks for the age.
func (f *following) ping() error {
	f.seq++
	f.sent[f.seq] = time.Now()
	return f.stream.Send(&catalogpb.Ping{
		Seq: f.seq,
		Has: f.catalog.configurationOffset(),
	})
}

// take takes over an update.
func (f *following) take(u *catalogpb.Update) error {
	c := f.catalog
	switch k := u.GetKind().(type) {
	case *catalogpb.Update_Records:
		feed := Feed(k.Records.GetFeed())
		records, err := c.decode(feed, k.Records.GetRecords())
		if err != nil {
			return err
		}
		// The configuration is not sent again to those who have it.
		whole := k.Records.GetWhole() && feed != Configurations
		c.apply(feed, records, k.Records.GetNext(), whole, fromPeer)
	case *catalogpb.Update_Age:
		return f.takeAge(k.Age)
	}
	return nil
}

// takeAge takes over an age. It counts from when its ping was sent.
func (f *following) takeAge(a *catalogpb.Age) error {
	c := f.catalog
	c.contact.mark(time.Now())
	sent := f.sent[a.GetSeq()]
	for seq := range f.sent {
		if seq <= a.GetSeq() {
			delete(f.sent, seq)
		}
	}
	age := time.Duration(a.GetAgeUs()) * time.Microsecond
	answered := time.Duration(a.GetAnsweredUs()) * time.Microsecond
	if !a.GetKnown() || answered > c.settings.Poll+answerSlack {
		// Followers must know changes soon, so they leave long before the age
		// becomes a matter of safety.
		return errStale
	}
	c.confirm(sent.Add(-age))
	c.heard.mark(sent.Add(-answered))
	return nil
}
