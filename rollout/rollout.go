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

// Settings are the measures of a Rollout. A zero value means the default.
type Settings struct {
	// PullInterval is how often a peer is asked; the default is 1s.
	PullInterval time.Duration
	// StaleAfter is how long an instance hears of nothing before it reads the
	// log itself; the default is 5s.
	StaleAfter time.Duration
	// ReadWait is how long a read of the log waits; the default is 1s.
	ReadWait time.Duration
	// RepeatAfter is the age at which the file is written to the log again;
	// the default is 4h. It stays well below the log's retention.
	RepeatAfter time.Duration
	// CallTimeout bounds a call to a peer; the default is 2s.
	CallTimeout time.Duration
}

const (
	defaultPull   = time.Second
	defaultStale  = 5 * time.Second
	defaultWait   = time.Second
	defaultRepeat = 4 * time.Hour
	defaultCall   = 2 * time.Second
)

// maxBases is how many files are kept to make deltas against.
const maxBases = 4

// readSlack is how much longer than its wait a read of the log may take.
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

// Peers are the other instances to pull from.
type Peers interface {
	// Addresses returns the addresses of the other instances.
	Addresses() []string
	// Pull asks the instance at an address for the configuration in force.
	Pull(ctx context.Context, address string, in *rolloutpb.PullRequest) (*rolloutpb.PullReply, error)
	// Reader states whether this instance is one of those that read the log.
	Reader() bool
	// Repeater states whether this instance is the one that writes the file to
	// the log again.
	Repeater() bool
}

// baseText is a file that deltas can be made against.
type baseText struct {
	sum  [sha256.Size]byte
	text []byte
}

// Rollout follows the configuration in force.
type Rollout struct {
	// Done is closed when the rollout has stopped.
	Done chan struct{}

	settings Settings
	log      logsvc.Log
	peers    Peers
	logger   logr.Logger
	cancel   context.CancelFunc
	view     atomic.Pointer[config.View]

	mu          sync.Mutex
	evaluator   Evaluator
	sum         [sha256.Size]byte
	bases       []baseText
	deltas      map[[sha256.Size]byte][]byte
	lastContact time.Time
	changed     chan struct{}
}

// New starts a rollout. Close ends it.
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

// View returns the configuration in force; nil while there is none.
func (r *Rollout) View() *config.View {
	return r.view.Load()
}

// Generation returns the generation in force; zero while there is none.
func (r *Rollout) Generation() int64 {
	if v := r.View(); v != nil {
		return v.Generation
	}
	return 0
}

// Text returns the file in force and its generation.
func (r *Rollout) Text() ([]byte, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evaluator.InForce.Text, r.evaluator.InForce.Generation
}

// Changed returns a channel that is closed at the next change.
func (r *Rollout) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// readLoop reads the log while the instance is a reader, or has heard of
// nothing for long.
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

func (r *Rollout) stale() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return steady.Since(r.lastContact) > r.settings.StaleAfter
}

// read takes over the next records of the log.
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

// activate puts the judged state into force. A start reads to the end of
// the log first, so that it passes through no old file. The caller holds the
// lock.
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

// repeat writes the file to the log again when it has grown old there.
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
		r.logger.Error(err, "repeat of configuration")
		return
	}
	call, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	if _, err := r.log.Append(call, Stream, [][]byte{data}); err != nil {
		r.logger.Info("configuration not repeated", "cause", err.Error())
		sleep(ctx, r.settings.PullInterval)
	}
}

// pullLoop asks a random peer in each interval, and at the start each peer
// until one answers.
func (r *Rollout) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		addresses := r.peers.Addresses()
		if len(addresses) > 0 {
			r.pull(ctx, addresses[rand.IntN(len(addresses))])
		}
		// Half to one and a half of the interval, so that instances that
		// started together drift apart.
		sleep(ctx, r.settings.PullInterval/2+rand.N(r.settings.PullInterval))
	}
}

// pull takes over what a peer has, if it is newer.
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
	r.logger.Info("configuration of peer not taken", "peer", address, "generation", reply.Generation, "cause", err.Error())
}

func (r *Rollout) adopt(s State, reply *rolloutpb.PullReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact = steady.Now()
	r.evaluator.Adopt(s, reply.NextOffset, reply.Sure)
	r.activate()
}

// HandlePull answers a pull.
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

// findBase returns the kept file of a hash. The caller holds the lock.
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
