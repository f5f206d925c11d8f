// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package rollout

import (
	"bytes"
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/zdelta"
	"github.com/linkmast/linkmast/logsvc"
	"github.com/linkmast/linkmast/rollout/rolloutpb"
)

// Settings holds the intervals and timeouts of a Rollout. Zero fields mean the defaults.
type Settings struct {
	// PullInterval is the mean time between two pulls from peers. The default is 1s.
	PullInterval time.Duration
	// StaleAfter is the time without a successful read or pull after which an instance that isn't a
	// reader reads the log itself. The default is 5s.
	StaleAfter time.Duration
	// ReadWait is how long a read of the log waits for a new record. The default is 1s.
	ReadWait time.Duration
	// RepeatAfter is the age at which the file is written to the log again. The default is 4h. It
	// must be well below the log's retention time.
	RepeatAfter time.Duration
	// CallTimeout bounds a pull from a peer and the append of a repeat. The default is 2s.
	CallTimeout time.Duration
}

const (
	defaultPull   = time.Second
	defaultStale  = 5 * time.Second
	defaultWait   = time.Second
	defaultRepeat = 4 * time.Hour
	defaultCall   = 2 * time.Second
)

// maxBases is the number of recent files that are kept as bases of deltas.
const maxBases = 4

// readSlack is added to ReadWait for the timeout of a read of the log.
const readSlack = 2 * time.Second

func (s *Settings) setDefaults() {
	for _, d := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&s.PullInterval, defaultPull},
		{&s.StaleAfter, defaultStale},
		{&s.ReadWait, defaultWait},
		{&s.RepeatAfter, defaultRepeat},
		{&s.CallTimeout, defaultCall},
	} {
		if *d.v == 0 {
			*d.v = d.def
		}
	}
}

// Peers gives access to the other instances, and assigns this instance its roles among them.
type Peers interface {
	// Addresses returns the addresses of the other instances.
	Addresses() []string
	// Pull asks the instance at an address for the configuration in force.
	Pull(ctx context.Context, address string, in *rolloutpb.PullRequest) (*rolloutpb.PullReply, error)
	// Reader reports whether this instance is one of the instances that read the log.
	Reader() bool
	// Repeater reports whether this instance writes repeats to the log.
	Repeater() bool
}

// baseText is a file against which deltas can be computed, and its hash.
type baseText struct {
	sum  [sha256.Size]byte
	text []byte
}

// Rollout follows the configuration in force and serves it to peers. It is safe for concurrent use.
type Rollout struct {
	// Done is closed when the rollout has stopped.
	Done chan struct{}

	settings Settings
	log      logsvc.Log
	peers    Peers
	logger   logr.Logger
	cancel   context.CancelFunc
	view     atomic.Pointer[config.View]

	// mu guards the fields below.
	mu        sync.Mutex
	evaluator Evaluator
	// sum is the hash of the file in force.
	sum [sha256.Size]byte
	// bases are the most recent files in force, oldest first.
	bases []baseText
	// deltas caches the compressed deltas from kept files to the file in force, by the hash of the
	// kept file. The whole compressed file is cached under the zero hash.
	deltas map[[sha256.Size]byte][]byte
	// lastContact is the time of the last successful read or pull. A pull is not successful if the
	// peer has no configuration in force or its configuration is rejected.
	lastContact time.Time
	changed     chan struct{}
}

// New starts a rollout, which runs until Close.
func New(s Settings, log logsvc.Log, peers Peers, logger logr.Logger) *Rollout {
	s.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	r := &Rollout{
		Done:     make(chan struct{}),
		settings: s,
		log:      log,
		peers:    peers,
		logger:   logger,
		cancel:   cancel,
		deltas:   make(map[[sha256.Size]byte][]byte),
		changed:  make(chan struct{}),
	}
	var parts sync.WaitGroup
	parts.Go(func() { r.readLoop(ctx) })
	parts.Go(func() { r.pullLoop(ctx) })
	go func() {
		parts.Wait()
		close(r.Done)
	}()
	return r
}

// Close stops the rollout and waits for it.
func (r *Rollout) Close() {
	r.cancel()
	<-r.Done
}

// View returns the configuration in force, or nil if there is none.
func (r *Rollout) View() *config.View {
	return r.view.Load()
}

// Generation returns the generation in force, or zero if there is none.
func (r *Rollout) Generation() int64 {
	if v := r.View(); v != nil {
		return v.Generation
	}
	return 0
}

// Text returns the newest accepted configuration file and its generation, or nil and zero if there
// is none.
func (r *Rollout) Text() ([]byte, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evaluator.InForce.Text, r.evaluator.InForce.Generation
}

// Changed returns a channel that is closed when the next generation comes into force.
func (r *Rollout) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// readLoop reads the log while the instance is a reader or its configuration may be stale, until
// ctx ends.
func (r *Rollout) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.peers.Reader() && !r.stale() {
			sleep(ctx, r.settings.PullInterval)
			continue
		}
		if err := r.read(ctx); err != nil {
			sleep(ctx, r.settings.PullInterval)
			continue
		}
		r.repeat(ctx)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stale reports whether the last successful read or pull is more than StaleAfter ago.
func (r *Rollout) stale() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return steady.Since(r.lastContact) > r.settings.StaleAfter
}

// read reads the next records of the log and evaluates them. At the end of the log, it brings the
// newest accepted configuration into force.
func (r *Rollout) read(ctx context.Context) error {
	r.mu.Lock()
	next := max(r.evaluator.Next, 1)
	r.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, r.settings.ReadWait+readSlack)
	defer cancel()
	b, err := r.log.Read(call, Stream, next, r.settings.ReadWait)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact = steady.Now()
	for _, v := range r.evaluator.Apply(b) {
		r.logger.Info("configuration record", "offset", v.Offset, "publication", v.ID, "operator", v.Operator,
			"outcome", string(v.Outcome), "reason", v.Reason)
	}
	if r.evaluator.Next >= b.Next {
		r.activate()
	}
	return nil
}

// activate brings the evaluator's configuration into force if it is newer. After a read it is only
// called at the end of the log, so that an instance that starts doesn't activate outdated
// generations. The caller must hold the lock.
func (r *Rollout) activate() {
	s := &r.evaluator.InForce
	if s.Generation <= r.Generation() {
		return
	}
	r.view.Store(config.NewView(s.File, s.Generation))
	r.sum = sha256.Sum256(s.Text)
	r.bases = append(r.bases, baseText{
		sum:  r.sum,
		text: s.Text,
	})
	if len(r.bases) > maxBases {
		r.bases = r.bases[1:]
	}
	clear(r.deltas)
	r.logger.Info("configuration in force", "generation", s.Generation, "bytes", len(s.Text))
	close(r.changed)
	r.changed = make(chan struct{})
}

// repeat writes the newest accepted file to the log again if its last known record there is at least
// RepeatAfter old, the evaluator is certain, and this instance is the repeater.
func (r *Rollout) repeat(ctx context.Context) {
	r.mu.Lock()
	s := r.evaluator.InForce
	sure := r.evaluator.Certain()
	r.mu.Unlock()
	if s.Generation == 0 || !sure || time.Since(s.Written) < r.settings.RepeatAfter || !r.peers.Repeater() {
		return
	}
	data, err := encode(s.Text, nil, &rolloutpb.Record{
		Id:       "repeat",
		Operator: "linkmast",
		Repeats:  s.Generation,
	})
	if err != nil {
		r.logger.Error(err, "failed to encode repeat of configuration")
		return
	}
	call, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	if _, err := r.log.Append(call, Stream, [][]byte{data}); err != nil {
		r.logger.Info("failed to append repeat of configuration", "cause", err.Error())
		sleep(ctx, r.settings.PullInterval)
	}
}

// pullLoop pulls from a random peer in each interval until ctx ends.
func (r *Rollout) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		addresses := r.peers.Addresses()
		if len(addresses) > 0 {
			r.pull(ctx, addresses[rand.IntN(len(addresses))])
		}
		// Random intervals prevent instances that started together from pulling at the same time.
		sleep(ctx, r.settings.PullInterval/2+rand.N(r.settings.PullInterval))
	}
}

// pull asks a peer for its configuration and adopts it if it is newer.
func (r *Rollout) pull(ctx context.Context, address string) {
	r.mu.Lock()
	in := &rolloutpb.PullRequest{
		Generation: r.evaluator.InForce.Generation,
		Sha256:     bytes.Clone(r.sum[:]),
	}
	base := r.evaluator.InForce.Text
	r.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	reply, err := r.peers.Pull(call, address, in)
	if err != nil {
		return
	}
	if reply.Generation == 0 {
		return
	}
	if len(reply.Body) == 0 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lastContact = steady.Now()
		return
	}
	if !reply.Delta {
		base = nil
	}
	text, err := zdelta.Unpack(reply.Body, base)
	if err == nil {
		var s State
		if s, err = parse(text, reply.Sha256, reply.WrittenMs); err == nil {
			s.Generation = reply.Generation
			r.adopt(s, reply)
			return
		}
	}
	r.logger.Info("configuration from peer rejected", "peer", address, "generation", reply.Generation, "cause", err.Error())
}

// adopt applies the reply to a pull: it adopts the peer's position in the log if that is further on,
// and brings the peer's configuration into force if that is newer.
func (r *Rollout) adopt(s State, reply *rolloutpb.PullReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact = steady.Now()
	r.evaluator.Adopt(s, reply.NextOffset, reply.Sure)
	r.activate()
}

// HandlePull returns the reply to a peer's pull. The reply has a body only if the configuration in
// force is newer than the caller's and no newer one is waiting to be activated. The body is a delta
// if the caller's file is still kept.
func (r *Rollout) HandlePull(in *rolloutpb.PullRequest) (*rolloutpb.PullReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.evaluator.InForce
	out := &rolloutpb.PullReply{
		Generation: r.Generation(),
		Sha256:     bytes.Clone(r.sum[:]),
		NextOffset: r.evaluator.Next,
		WrittenMs:  s.Written.UnixMilli(),
		Sure:       r.evaluator.Certain(),
	}
	if in.Generation >= out.Generation || s.Generation != out.Generation {
		return out, nil
	}
	base := r.findBase(in.Sha256)
	var key [sha256.Size]byte
	if base != nil {
		key = [sha256.Size]byte(in.Sha256)
		out.Delta = true
	}
	body, ok := r.deltas[key]
	if !ok {
		var err error
		if body, err = zdelta.Pack(s.Text, base); err != nil {
			return nil, err
		}
		r.deltas[key] = body
	}
	out.Body = body
	return out, nil
}

// findBase returns the file in bases whose hash is sum, or nil if there is none. The caller must
// hold the lock.
func (r *Rollout) findBase(sum []byte) []byte {
	if len(sum) != sha256.Size {
		return nil
	}
	for _, k := range r.bases {
		if k.sum == [sha256.Size]byte(sum) {
			return k.text
		}
	}
	return nil
}
