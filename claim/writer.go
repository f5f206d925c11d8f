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

// Partitions is the number of partitions. It is the same for all instances.
const Partitions = 8

// StreamName returns the name of a partition's stream.
func StreamName(partition int) string {
	return fmt.Sprintf("claims-%02d", partition)
}

// Settings are the measures of a Writer. A zero value means the default.
type Settings struct {
	// AppendsPerSecond bounds the appends of one partition; the default is
	// 7.5, which is 60 a second for all.
	AppendsPerSecond float64
	// CallTimeout bounds one call to the log; the default is 1s.
	CallTimeout time.Duration
	// Retention is how long keys are remembered beyond their validity; the default
	// is 10s.
	Retention time.Duration
}

const (
	defaultAppends = 7.5
	defaultTimeout = time.Second
	defaultKeep    = 10 * time.Second
)

// appendBurst is how many appends may follow each other at once.
const appendBurst = 2

// maxBatch bounds the entries of one append.
const maxBatch = 512

// ErrLog is a claim that the log did not decide. Whether it was written is not
// known.
var ErrLog = errors.New("the log does not answer")

// Writer writes claims in batches. Close ends it.
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

// partition is the writer's part for one stream.
type partition struct {
	stream   string
	limit    *rate.Limiter
	requests chan entryRequest
	// registry is used by the partition's own goroutine alone.
	registry *Registry
}

// entryRequest is an entry on its way into the log.
type entryRequest struct {
	claim  Claim
	freed  bool
	result chan outcome
}

// outcome is what the log decided.
type outcome struct {
	winner Claim
	err    error
}

// NewWriter starts a writer.
func NewWriter(s Settings, log logsvc.Log) *Writer {
	if s.AppendsPerSecond == 0 {
		s.AppendsPerSecond = defaultAppends
	}
	if s.CallTimeout == 0 {
		s.CallTimeout = defaultTimeout
	}
	if s.Retention == 0 {
		s.Retention = defaultKeep
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

// Close stops the writer and waits for it. Claims that wait fail.
func (w *Writer) Close() {
	w.cancel()
	<-w.Done
}

// Claim returns the claim that holds the key, which may be c itself. It fails
// with ErrLog when the log did not decide in time.
func (w *Writer) Claim(ctx context.Context, c Claim) (Claim, error) {
	return w.submit(ctx, c, false)
}

// Free gives up a claim that was not dispatched and never will be.
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

// loop writes one partition's batches.
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

// gather collects more entries until the partition may append again.
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

// drain adds what waits right now.
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

// settle appends a batch, reads what the log decided, and answers. Claims on
// keys that are known to be held are answered without an append.
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

// answerHeld answers the claims on keys that the book holds already.
func (w *Writer) answerHeld(p *partition, batch []entryRequest) []entryRequest {
	rest := batch[:0]
	for _, a := range batch {
		holder, held := p.registry.Holder(a.claim.Key)
		if a.freed || !held {
			rest = append(rest, a)
			continue
		}
		a.result <- outcome{
			winner: holder,
		}
	}
	return rest
}

// outcomeOf returns the answer to one entry. With an error the book is consulted
// all the same: the claim may have been written and read.
func outcomeOf(b *Registry, a entryRequest, err error) outcome {
	if a.freed {
		if b.Freed(a.claim.Request) {
			return outcome{}
		}
		return outcome{
			err: errors.Wrap(ErrLog, "not freed"),
		}
	}
	holder, held := b.Holder(a.claim.Key)
	switch {
	case held && err == nil:
		return outcome{
			winner: holder,
		}
	case b.Freed(a.claim.Request):
		return outcome{
			err: errors.Wrap(ErrLog, "the claim was given up"),
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

// append adds a batch as one record. An unknown effect is no error: reading
// settles it.
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
