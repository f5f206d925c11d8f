// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package claim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/linkmast/linkmast/claim/claimpb"
	"github.com/linkmast/linkmast/logsvc"
)

// Partitions is the number of partitions. All instances must use the same number.
const Partitions = 8

// StreamName returns the name of a partition's stream.
func StreamName(partition int) string {
	return fmt.Sprintf("claims-%02d", partition)
}

// Settings configures a Writer. A zero value selects the default.
type Settings struct {
	// AppendsPerSecond limits the appends to one partition; the default is 7.5, which is 60 per
	// second over all partitions.
	AppendsPerSecond float64
	// CallTimeout bounds one call to the log; the default is 1s.
	CallTimeout time.Duration
	// Retention is how long keys are kept after they have expired; the default is 10s.
	Retention time.Duration
}

const (
	defaultAppends   = 7.5
	defaultTimeout   = time.Second
	defaultRetention = 10 * time.Second
)

// appendBurst is how many appends to a partition may follow each other without delay.
const appendBurst = 2

// maxBatch bounds the entries of one append.
const maxBatch = 512

// ErrLog means that a claim was not decided, or not freed. Its entry may have been written.
var ErrLog = errors.New("the log does not answer")

// Writer writes claims in batches. Close must be called to stop it.
type Writer struct {
	// Done is closed when the writer has stopped.
	Done chan struct{}

	settings Settings
	log      logsvc.Log
	ctx      context.Context
	cancel   context.CancelFunc
	parts    [Partitions]*partition
	wait     sync.WaitGroup
}

// partition is the state of one partition.
type partition struct {
	stream   string
	limit    *rate.Limiter
	requests chan entryRequest
	// registry is used only by the partition's goroutine.
	registry *Registry
}

// entryRequest is an entry to be written, with the channel for its outcome.
type entryRequest struct {
	claim  Claim
	freed  bool
	result chan outcome
}

// outcome is the claim that holds the key according to the log, or an error.
type outcome struct {
	winner Claim
	err    error
}

// NewWriter starts a writer, which Close stops.
func NewWriter(s Settings, log logsvc.Log) *Writer {
	if s.AppendsPerSecond == 0 {
		s.AppendsPerSecond = defaultAppends
	}
	if s.CallTimeout == 0 {
		s.CallTimeout = defaultTimeout
	}
	if s.Retention == 0 {
		s.Retention = defaultRetention
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{
		Done:     make(chan struct{}),
		settings: s,
		log:      log,
		ctx:      ctx,
		cancel:   cancel,
	}
	for i := range w.parts {
		w.parts[i] = &partition{
			stream:   StreamName(i),
			limit:    rate.NewLimiter(rate.Limit(s.AppendsPerSecond), appendBurst),
			requests: make(chan entryRequest),
			registry: NewRegistry(),
		}
		w.wait.Go(func() { w.loop(w.parts[i]) })
	}
	go func() {
		w.wait.Wait()
		close(w.Done)
	}()
	return w
}

// Close stops the writer and waits for it. Pending claims fail.
func (w *Writer) Close() {
	w.cancel()
	<-w.Done
}

// Claim writes a claim and returns the claim that holds its key, which may be c itself. Its errors
// wrap ErrLog, for example if the log doesn't answer in time.
func (w *Writer) Claim(ctx context.Context, c Claim) (Claim, error) {
	return w.submit(ctx, c, false)
}

// Free frees a claim whose request has not been dispatched and never will be.
func (w *Writer) Free(ctx context.Context, c Claim) error {
	_, err := w.submit(ctx, c, true)
	return err
}

func (w *Writer) submit(ctx context.Context, c Claim, freed bool) (Claim, error) {
	a := entryRequest{
		claim:  c,
		freed:  freed,
		result: make(chan outcome, 1),
	}
	select {
	case w.parts[c.Key.Partition(Partitions)].requests <- a:
	case <-ctx.Done():
		return Claim{}, errors.Wrap(ErrLog, ctx.Err().Error())
	case <-w.ctx.Done():
		return Claim{}, errors.Wrap(ErrLog, "writer is closed")
	}
	select {
	case r := <-a.result:
		return r.winner, r.err
	case <-ctx.Done():
		return Claim{}, errors.Wrap(ErrLog, ctx.Err().Error())
	}
}

// loop writes the batches of one partition until the writer is closed.
func (w *Writer) loop(p *partition) {
	for {
		var batch []entryRequest
		select {
		case a := <-p.requests:
			batch = append(batch, a)
		case <-w.ctx.Done():
			return
		}
		batch = w.gather(p, batch)
		w.settle(p, batch)
		p.registry.Expire(time.Now().Add(-w.settings.Retention))
	}
}

// gather adds requests to a batch until the rate limit permits the next append, or the batch is
// full.
func (w *Writer) gather(p *partition, batch []entryRequest) []entryRequest {
	due := time.NewTimer(p.limit.Reserve().Delay())
	defer due.Stop()
	for len(batch) < maxBatch {
		select {
		case a := <-p.requests:
			batch = append(batch, a)
		case <-due.C:
			return w.drain(p, batch)
		case <-w.ctx.Done():
			return batch
		}
	}
	return batch
}

// drain adds the requests that are waiting now.
func (w *Writer) drain(p *partition, batch []entryRequest) []entryRequest {
	for len(batch) < maxBatch {
		select {
		case a := <-p.requests:
			batch = append(batch, a)
		default:
			return batch
		}
	}
	return batch
}

// settle appends a batch, reads the stream to its end, and sends the outcomes. Claims on keys that
// are known to be held need no append.
func (w *Writer) settle(p *partition, batch []entryRequest) {
	batch = w.answerHeld(p, batch)
	if len(batch) == 0 {
		return
	}
	err := w.append(p, batch)
	if err == nil {
		err = w.catchUp(p)
	}
	for _, a := range batch {
		a.result <- outcomeOf(p.registry, a, err)
	}
}

// answerHeld sends the outcomes of claims on keys that are already held, and returns the remaining
// requests.
func (w *Writer) answerHeld(p *partition, batch []entryRequest) []entryRequest {
	rest := batch[:0]
	for _, a := range batch {
		winner, held := p.registry.Winner(a.claim.Key)
		if a.freed || !held {
			rest = append(rest, a)
			continue
		}
		a.result <- outcome{
			winner: winner,
		}
	}
	return rest
}

// outcomeOf returns the outcome of one request. Err is the error of the append or the read. In
// spite of it, freeing a claim succeeds if the registry shows it as freed; a claim fails with
// ErrLog.
func outcomeOf(registry *Registry, request entryRequest, err error) outcome {
	if request.freed {
		if registry.Freed(request.claim.Request) {
			return outcome{}
		}
		return outcome{
			err: errors.Wrap(ErrLog, "not freed"),
		}
	}
	winner, held := registry.Winner(request.claim.Key)
	switch {
	case held && err == nil:
		return outcome{
			winner: winner,
		}
	case registry.Freed(request.claim.Request):
		return outcome{
			err: errors.Wrap(ErrLog, "the claim was freed"),
		}
	case err == nil:
		return outcome{
			err: errors.Wrap(ErrLog, "the claim is not in the log"),
		}
	}
	return outcome{
		err: errors.Wrap(ErrLog, err.Error()),
	}
}

// append appends a batch as one record. If it is unknown whether the append took effect, it returns
// no error, because reading the stream will show it.
func (w *Writer) append(p *partition, batch []entryRequest) error {
	rec := &claimpb.Record{}
	for _, a := range batch {
		rec.Entries = append(rec.Entries, encode(a.claim, a.freed))
	}
	data, err := proto.Marshal(rec)
	if err != nil {
		return errors.Wrap(err, "encode claims")
	}
	ctx, cancel := context.WithTimeout(w.ctx, w.settings.CallTimeout)
	defer cancel()
	if _, err := w.log.Append(ctx, p.stream, [][]byte{data}); err != nil && !logsvc.IsUnknown(err) {
		return err
	}
	return nil
}

// catchUp reads the stream to its end.
func (w *Writer) catchUp(p *partition) error {
	ctx, cancel := context.WithTimeout(w.ctx, w.settings.CallTimeout)
	defer cancel()
	for {
		b, err := w.log.Read(ctx, p.stream, p.registry.Next(), 0)
		if err != nil {
			return err
		}
		p.registry.Apply(b)
		if p.registry.Next() >= b.Next {
			return nil
		}
	}
}
