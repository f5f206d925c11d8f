// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package standin

import (
	"context"
	"io"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/problem"
)

// keepAliveInterval is the interval at which a stream without new tokens returns a keep-alive
// chunk.
const keepAliveInterval = 500 * time.Millisecond

// errConnectionLost simulates a connection that broke.
var errConnectionLost = errors.New("connection broke")

// awaitAvailable waits while the engine is frozen. It fails if the engine is dead, or if ctx
// ends during the wait.
func (e *Engine) awaitAvailable(ctx context.Context) error {
	for {
		e.mu.Lock()
		dead, unfrozen := e.faults.Dead, e.unfrozen
		frozen := e.faults.Frozen
		e.mu.Unlock()
		if dead {
			return runError(problem.NotRun, engine.Unreachable, errors.New("connection refused"))
		}
		if !frozen {
			return nil
		}
		select {
		case <-unfrozen:
		case <-ctx.Done():
			return runError(problem.MayHaveRun, engine.Unreachable, ctx.Err())
		}
	}
}

// runError returns an engine.RunError with the given fields.
func runError(ran problem.Ran, code string, err error) *engine.RunError {
	return &engine.RunError{
		Ran:  ran,
		Code: code,
		Err:  err,
	}
}

// Run implements engine.Client.
func (e *Engine) Run(ctx context.Context, a engine.Attempt) (engine.Stream, error) {
	if err := e.awaitAvailable(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if consume(&e.faults.RefuseBefore) {
		return nil, runError(problem.NotRun, engine.RefusedFault, errors.New("refused before the start"))
	}
	r, refused := e.admit(a)
	if refused != nil {
		return nil, runError(problem.NotRun, refused.Code, errors.New(refused.Detail))
	}
	if e.faults.crashesOn(a.Prompt) {
		e.crashes++
		e.faults.Dead = true
		e.dropAll()
		return nil, runError(problem.MayHaveRun, engine.Unreachable, errConnectionLost)
	}
	if consume(&e.faults.RefuseAfter) {
		return nil, runError(problem.MayHaveRun, engine.RefusedFault, errors.New("refused after the start"))
	}
	if consume(&e.faults.LoseAnswer) {
		return nil, runError(problem.MayHaveRun, engine.Unreachable, errConnectionLost)
	}
	return e.reader(ctx, r, 1), nil
}

// Resume implements engine.Client.
func (e *Engine) Resume(ctx context.Context, id string, seq int) (engine.Stream, error) {
	if err := e.awaitAvailable(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[id]
	if r == nil {
		return nil, runError(problem.MayHaveRun, engine.RefusedFault, errors.New("no such attempt"))
	}
	return e.reader(ctx, r, seq), nil
}

// Cancel implements engine.Client.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	if err := e.awaitAvailable(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if consume(&e.faults.LoseCancel) {
		return nil
	}
	if r := e.runs[id]; r != nil {
		r.removed = true
		e.releaseRun(r)
		close(r.changed)
		r.changed = make(chan struct{})
	}
	if v, ok := e.reserved[id]; ok {
		e.held -= v.bytes
		delete(e.reserved, id)
	}
	return nil
}

// Reserve implements engine.Client.
func (e *Engine) Reserve(ctx context.Context, r engine.Reservation) error {
	if err := e.awaitAvailable(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	bytes := int64(r.Tokens) * e.settings.KVBytesPerToken
	if _, ok := e.reserved[r.ID]; ok {
		return nil
	}
	if consume(&e.faults.RefuseBefore) || e.held+bytes > e.settings.MemoryBytes {
		return runError(problem.NotRun, engine.RefusedMemory, errors.New("memory is taken"))
	}
	e.held += bytes
	e.cache.shrink(e.cacheCapacity())
	e.reserved[r.ID] = reservation{
		Reservation: r,
		began:       e.now(),
		bytes:       bytes,
	}
	if consume(&e.faults.LoseAnswer) {
		return runError(problem.MayHaveRun, engine.Unreachable, errConnectionLost)
	}
	return nil
}

// Status implements engine.Client.
func (e *Engine) Status(ctx context.Context, list bool) (engine.Status, error) {
	if err := e.awaitAvailable(ctx); err != nil {
		return engine.Status{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := engine.Status{
		Instance:  e.settings.Instance,
		HeldBytes: e.held,
		Digest:    engine.Digest(maps.Keys(e.runs)) ^ engine.Digest(maps.Keys(e.reserved)),
		Model:     e.settings.Model,
		Version:   e.settings.Version,
		Adapters:  append([]string{}, e.adapters...),
	}
	for _, r := range e.runs {
		s.PrefillTokens += r.prefillLeft
	}
	if list {
		s.Running = e.running()
	}
	return s, nil
}

// running returns the attempts and reservations that hold memory. The caller holds e.mu.
func (e *Engine) running() []engine.Held {
	out := make([]engine.Held, 0, len(e.runs)+len(e.reserved))
	now := e.now()
	for id, r := range e.runs {
		out = append(out, engine.Held{
			ID:     id,
			Holder: r.attempt.Holder,
			Bytes:  r.bytes,
			Age:    now.Sub(r.startedAt),
		})
	}
	for id, r := range e.reserved {
		out = append(out, engine.Held{
			ID:     id,
			Holder: r.Holder,
			Bytes:  r.bytes,
			Age:    now.Sub(r.began),
		})
	}
	return out
}

// Order implements engine.Client.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	if err := e.awaitAvailable(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksOrders && o.Fence < e.fence {
		return runError(problem.NotRun, engine.RefusedFence, errors.Errorf("fence %d is below %d", o.Fence, e.fence))
	}
	e.fence = max(e.fence, o.Fence)
	e.settings.Model = o.Model
	e.settings.Version = o.Version
	e.adapters = append([]string{}, o.Adapters...)
	if consume(&e.faults.LoseAnswer) {
		return runError(problem.MayHaveRun, engine.Unreachable, errConnectionLost)
	}
	return nil
}

// Events implements engine.Client.
func (e *Engine) Events(ctx context.Context, after int64) ([]engine.CacheEvent, error) {
	if err := e.awaitAvailable(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	events := e.cache.after(after)
	if gap := int64(e.faults.EventGap); gap > 0 {
		kept := events[:0]
		for _, ev := range events {
			if ev.Seq%gap != 0 {
				kept = append(kept, ev)
			}
		}
		events = kept
	}
	return events, nil
}

// reader implements engine.Stream for one run. Several readers may read the same run.
type reader struct {
	engine *Engine
	ctx    context.Context
	cancel context.CancelFunc
	run    *run
	seq    int
	sent   int
	queue  []engine.Chunk
}

// reader returns a reader that starts at the chunk with sequence number seq.
func (e *Engine) reader(ctx context.Context, r *run, seq int) *reader {
	ctx, cancel := context.WithCancel(ctx)
	return &reader{
		engine: e,
		ctx:    ctx,
		cancel: cancel,
		run:    r,
		seq:    seq,
	}
}

// Next implements engine.Stream.
func (d *reader) Next() (engine.Chunk, error) {
	keepAlive := time.NewTimer(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		if len(d.queue) > 0 {
			k := d.queue[0]
			d.queue = d.queue[1:]
			return k, nil
		}
		changed, err := d.queueNext()
		if err != nil {
			return engine.Chunk{}, err
		}
		if changed == nil {
			continue
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			if err := d.engine.awaitAvailable(d.ctx); err != nil {
				return engine.Chunk{}, err
			}
			return engine.Chunk{
				Attempt: d.run.attempt.ID,
			}, nil
		case <-d.ctx.Done():
			return engine.Chunk{}, d.ctx.Err()
		}
	}
}

// queueNext applies the faults to the next chunk and queues the result. If no chunk is available
// yet, or the engine is frozen, it returns a channel that is closed when that may have changed.
func (d *reader) queueNext() (<-chan struct{}, error) {
	e := d.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Frozen {
		return e.unfrozen, nil
	}
	if e.faults.CutAfter > 0 && d.sent >= e.faults.CutAfter {
		return nil, errConnectionLost
	}
	if d.seq > len(d.run.chunks) {
		if d.run.removed {
			return nil, errConnectionLost
		}
		if d.run.ended {
			return nil, io.EOF
		}
		return d.run.changed, nil
	}
	k := d.run.chunks[d.seq-1]
	d.seq++
	d.sent++
	d.queue = append(d.queue, e.applyFaults(k)...)
	return nil, nil
}

// applyFaults returns the chunks that a reader delivers in place of k under the current
// faults. The caller holds e.mu.
func (e *Engine) applyFaults(k engine.Chunk) []engine.Chunk {
	switch {
	case k.End != "" && consume(&e.faults.DropEnd):
		return nil
	case k.End == "" && consume(&e.faults.DropChunks):
		return nil
	case consume(&e.faults.DoubleChunks):
		return []engine.Chunk{k, k}
	case consume(&e.faults.CrossChunks):
		other := k
		other.Attempt = "other-" + k.Attempt
		return []engine.Chunk{other, k}
	}
	return []engine.Chunk{k}
}

// Close implements engine.Stream.
func (d *reader) Close() error {
	d.cancel()
	return nil
}
