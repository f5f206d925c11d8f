// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/rendezvous"
	"github.com/linkmast/linkmast/internal/zdelta"
)

// The times of following other instances.
const (
	// lookEvery is how often an instance looks whether it should read the
	// store, or follow another one.
	lookEvery = 100 * time.Millisecond
	// pingSilence is how long a follower waits for an answer before it goes to
	// another instance.
	pingSilence = 600 * time.Millisecond
	// openWithin bounds the time until the first answer.
	openWithin = 600 * time.Millisecond
	// answerSlack is how much longer than its wait a poll may take before the
	// store counts as out of reach for followers.
	answerSlack = 300 * time.Millisecond
)

// maxUpdate bounds a message between instances: a whole configuration.
const maxUpdate = 32 << 20

// readersKey is what the order of readers is made from.
const readersKey = "catalog"

// fresh is how long ago a reader's last answer of the store, or a follower's
// last confirmation, may be: two polls and a little.
func (c *Catalog) fresh() time.Duration {
	return 2*c.settings.Poll + c.settings.Poll/2
}

// answered returns how long ago the store answered this instance or one that it
// follows; false when it never did.
func (c *Catalog) answered() (time.Duration, bool) {
	read, ok := c.read.since()
	// With a feed that can't be read it is not known what others must know.
	ok = ok && c.failing.Load() == 0
	heard, also := c.heard.since()
	switch {
	case ok && also:
		return min(read, heard), true
	case ok:
		return read, true
	}
	return heard, also
}

// pingsPerPoll2 is how often a follower asks for the age in two polls: often
// enough that the age stays below that of fresh when an answer is late.
const pingsPerPoll2 = 5

// pingEvery is how often a follower asks for the age.
func (c *Catalog) pingEvery() time.Duration {
	return 2 * c.settings.Poll / pingsPerPoll2
}

// order returns the other instances in the order in which they are followed, and
// whether this one is among the first readers.
func (c *Catalog) order() ([]Peer, bool) {
	c.mu.Lock()
	all := make([]Peer, 0, len(c.peers)+1)
	for _, p := range c.peers {
		if p.ID != c.settings.Self.ID {
			all = append(all, p)
		}
	}
	c.mu.Unlock()
	all = append(all, c.settings.Self)
	rendezvous.Sort(readersKey, all, func(p Peer) (string, int) { return p.ID, p.Capacity })
	at := slices.IndexFunc(all, func(p Peer) bool { return p.ID == c.settings.Self.ID })
	return slices.Delete(all, at, at+1), at < c.settings.Readers
}

// shouldRead states whether this instance reads the store: as one of the first,
// for those that follow it, or because nobody else told it enough.
func (c *Catalog) shouldRead() bool {
	if c.followers.Load() > 0 || !c.heard.within(c.fresh()) {
		return true
	}
	_, first := c.order()
	return first
}

// shouldFollow states whether this instance follows another one.
func (c *Catalog) shouldFollow() bool {
	if !c.read.within(c.fresh()) || c.failing.Load() != 0 {
		return true
	}
	_, first := c.order()
	return !first && c.followers.Load() == 0
}

// followLoop follows one instance after the other while that is needed. The
// first is one of the readers, chosen by this instance's name so that they share
// the work.
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
		p := others[try%len(others)]
		if try < c.settings.Readers {
			readers := others[:min(c.settings.Readers, len(others))]
			p = readers[(rendezvous.Index(c.settings.Self.ID, len(readers))+try)%len(readers)]
		}
		began := time.Now()
		err := c.followOne(ctx, p)
		if ctx.Err() != nil {
			return
		}
		// Without anybody to follow the store is read at once.
		c.heard.reset()
		c.log.Info("no longer follows", "peer", p.ID, "cause", err.Error(), "ms", time.Since(began).Milliseconds())
		if time.Since(began) > openWithin {
			// It worked for a while: the order is tried from its start.
			try = -1
		}
		sleep(ctx, lookEvery)
	}
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
	seq     int64
	sent    map[int64]time.Time
	updates chan *catalogpb.Update
	failed  chan error
}

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

func (f *following) ping() error {
	f.seq++
	f.sent[f.seq] = time.Now()
	return f.stream.Send(&catalogpb.Ping{
		Seq: f.seq,
		Has: f.catalog.configurationOffset(),
	})
}

// take takes over an update. An age counts from when its ping was sent.
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
		sent := f.sent[k.Age.GetSeq()]
		for seq := range f.sent {
			if seq <= k.Age.GetSeq() {
				delete(f.sent, seq)
			}
		}
		age := time.Duration(k.Age.GetAgeUs()) * time.Microsecond
		answered := time.Duration(k.Age.GetAnsweredUs()) * time.Microsecond
		if !k.Age.GetKnown() || answered > c.settings.Poll+answerSlack {
			// Followers must know changes soon, so they leave long before the
			// age becomes a matter of safety.
			return errStale
		}
		c.confirm(sent.Add(-age))
		c.heard.mark(sent.Add(-answered))
	}
	return nil
}

// decode unpacks records.
func (c *Catalog) decode(f Feed, in []*catalogpb.Record) ([]Record, error) {
	out := make([]Record, 0, len(in))
	for _, m := range in {
		r := Record{
			Key:    m.GetKey(),
			Value:  m.GetValue(),
			Offset: m.GetOffset(),
		}
		if m.GetPacked() {
			base, err := c.base(f, m)
			if err != nil {
				return nil, err
			}
			if r.Value, err = zdelta.Unpack(m.GetValue(), base); err != nil {
				return nil, err
			}
		}
		out = append(out, r)
	}
	return out, nil
}

// errBase ends following when a change refers to a record that is not known; all
// records come with the next stream.
var errBase = errors.New("a change builds on an unknown record")

// base returns the value that a packed record builds on.
func (c *Catalog) base(f Feed, m *catalogpb.Record) ([]byte, error) {
	if m.GetBase() < 0 {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.records[f][m.GetKey()]
	if !ok || r.Offset != m.GetBase() {
		return nil, errBase
	}
	return r.Value, nil
}

// configurationOffset returns the offset of the configuration that is known, or
// noOffset.
func (c *Catalog) configurationOffset() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.records[Configurations] {
		return r.Offset
	}
	return noOffset
}
