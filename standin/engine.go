// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package standin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linkmast/linkmast/engine"
)

// EngineSettings are the measures of a stand-in engine. A zero value means the
// default.
type EngineSettings struct {
	// Instance names the endpoint instance.
	Instance string
	// Model and Version are what is loaded at the start.
	Model string
	// Version is the version of the weights.
	Version string
	// MemoryBytes is the KV memory; the default is 400 000 tokens.
	MemoryBytes int64
	// KVBytesPerToken is the memory of one token; the default is 1024.
	KVBytesPerToken int64
	// PrefillTokensPerSecond is the prefill rate; the default is 40 000.
	PrefillTokensPerSecond float64
	// ChunkTokens bounds the prefill of one step; the default is 1024.
	ChunkTokens int
	// DecodeStep is the time of a step that only decodes; the default is 20ms.
	DecodeStep time.Duration
	// ChecksOrders states whether stale fences are refused.
	ChecksOrders bool
}

const (
	defaultMemoryTokens = 400_000
	defaultKVBytes      = 1024
	defaultPrefillRate  = 40_000
	defaultChunkTokens  = 1024
	defaultDecodeStep   = 20 * time.Millisecond
)

func (s *EngineSettings) setDefaults() {
	s.KVBytesPerToken = cmp.Or(s.KVBytesPerToken, defaultKVBytes)
	s.MemoryBytes = cmp.Or(s.MemoryBytes, defaultMemoryTokens*s.KVBytesPerToken)
	s.PrefillTokensPerSecond = cmp.Or(s.PrefillTokensPerSecond, defaultPrefillRate)
	s.ChunkTokens = cmp.Or(s.ChunkTokens, defaultChunkTokens)
	s.DecodeStep = cmp.Or(s.DecodeStep, defaultDecodeStep)
}

// Engine is a stand-in model engine. It implements engine.Client, so a test
// can use it without a network.
type Engine struct {
	// Done is closed when the engine has stopped.
	Done chan struct{}

	stop chan struct{}
	wake chan struct{}
	now  func() time.Time

	mu       sync.Mutex
	settings EngineSettings
	faults   Faults
	unfrozen chan struct{}
	runs     map[string]*run
	reserved map[string]reservation
	cache    *cache
	arrivals int
	held     int64
	fence    int64
	adapters []string
	started  map[uint64]int
	crashes  int
}

// run is one attempt that an engine works on.
type run struct {
	attempt     engine.Attempt
	arrival     int
	startedAt   time.Time
	bytes       int64
	hash        uint64
	tokens      int
	blocks      []uint64
	cached      int
	prefillLeft int
	chunks      []engine.Chunk
	ended       bool
	removed     bool
	changed     chan struct{}
}

// reservation is memory held for a group.
type reservation struct {
	engine.Reservation
	began time.Time
	bytes int64
}

// NewEngine starts a stand-in engine. Stop ends it.
func NewEngine(s EngineSettings) *Engine {
	s.setDefaults()
	e := &Engine{
		Done:     make(chan struct{}),
		stop:     make(chan struct{}),
		wake:     make(chan struct{}, 1),
		now:      time.Now,
		settings: s,
		unfrozen: make(chan struct{}),
		runs:     make(map[string]*run),
		reserved: make(map[string]reservation),
		cache:    newCache(),
		started:  make(map[uint64]int),
	}
	close(e.unfrozen)
	go e.loop()
	return e
}

// Stop ends the engine and waits for it.
func (e *Engine) Stop() {
	close(e.stop)
	<-e.Done
}

// SetFaults changes what goes wrong from now on.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	was := e.faults.Frozen
	e.faults = f
	if f.Dead {
		e.dropAll()
	}
	if f.Frozen && !was {
		e.unfrozen = make(chan struct{})
	}
	if !f.Frozen && was {
		close(e.unfrozen)
	}
	e.wakeLoop()
}

// Faults returns what goes wrong now.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// HeldBytes returns the memory that attempts and reservations hold.
func (e *Engine) HeldBytes() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

// Started returns how often a prompt was started. Tests hold it against what
// callers were told.
func (e *Engine) Started(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started[xxhash.Sum64String(prompt)]
}

// Crashes returns how often an attempt has ended the engine.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// CachedBlocks returns how many blocks the prefix cache holds.
func (e *Engine) CachedBlocks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.order.Len()
}

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// dropAll forgets everything, as a process that dies.
func (e *Engine) dropAll() {
	for _, r := range e.runs {
		r.removed = true
		close(r.changed)
		r.changed = make(chan struct{})
	}
	e.runs = make(map[string]*run)
	e.reserved = make(map[string]reservation)
	e.cache = newCache()
	e.held = 0
}

// loop runs steps while there is work.
func (e *Engine) loop() {
	defer close(e.Done)
	for {
		step, work := e.plan()
		if step == 0 {
			select {
			case <-e.stop:
				return
			case <-e.wake:
			}
			continue
		}
		select {
		case <-e.stop:
			return
		case <-time.After(step):
		}
		e.apply(work)
	}
}

// prefillShare is the prefill that one attempt gets in a step.
type prefillShare struct {
	run    *run
	tokens int
}

// plan returns the time of the next step and its prefill. The time is zero
// when there is nothing to do.
func (e *Engine) plan() (time.Duration, []prefillShare) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Frozen || e.faults.Dead {
		return 0, nil
	}
	decodes := false
	var waiting []*run
	for _, r := range e.runs {
		switch {
		case r.ended:
		case r.prefillLeft > 0:
			waiting = append(waiting, r)
		default:
			decodes = true
		}
	}
	if !decodes && len(waiting) == 0 {
		return 0, nil
	}
	work, prefill := e.prefill(waiting)
	step := prefill
	if decodes || step == 0 {
		step = max(step, e.settings.DecodeStep)
	}
	if e.faults.Slow > 0 {
		step = time.Duration(float64(step) * e.faults.Slow)
	}
	return step, work
}

// prefill shares out the chunk of a step and returns the time that it takes.
func (e *Engine) prefill(waiting []*run) ([]prefillShare, time.Duration) {
	slices.SortFunc(waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.attempt.Priority, b.attempt.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	rate := e.settings.PrefillTokensPerSecond
	if len(e.reserved) > 0 {
		rate /= 2
	}
	budget := e.settings.ChunkTokens
	seconds := 0.0
	var work []prefillShare
	for _, r := range waiting {
		if budget == 0 {
			break
		}
		n := min(r.prefillLeft, budget)
		budget -= n
		group := float64(1 + len(r.attempt.Members))
		seconds += float64(n) / (rate * group)
		work = append(work, prefillShare{
			run:    r,
			tokens: n,
		})
	}
	return work, time.Duration(seconds * float64(time.Second))
}

// apply ends a step: prompts advance, and each finished prompt's attempt gets
// a token.
func (e *Engine) apply(work []prefillShare) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Frozen || e.faults.Dead {
		return
	}
	decoding := make([]*run, 0, len(e.runs))
	for _, r := range e.runs {
		if r.prefillLeft == 0 && !r.ended {
			decoding = append(decoding, r)
		}
	}
	for _, s := range work {
		s.run.prefillLeft -= s.tokens
		if s.run.prefillLeft <= 0 && !s.run.removed {
			s.run.prefillLeft = 0
			e.cache.add(s.run.blocks, e.cacheCapacity())
			decoding = append(decoding, s.run)
		}
	}
	for _, r := range decoding {
		e.appendToken(r)
	}
}

// appendToken adds the next appendToken, and after the last one the end.
func (e *Engine) appendToken(r *run) {
	place := len(r.chunks)
	r.chunks = append(r.chunks, engine.Chunk{
		Attempt: r.attempt.ID,
		Seq:     place + 1,
		Text:    answerToken(r.hash, place),
	})
	if len(r.chunks) >= r.attempt.MaxTokens {
		r.chunks = append(r.chunks, engine.Chunk{
			Attempt:      r.attempt.ID,
			Seq:          len(r.chunks) + 1,
			End:          "length",
			PromptTokens: r.tokens,
			CachedTokens: r.cached,
		})
		e.releaseRun(r)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// releaseRun returns the memory of an attempt that has ended. Its chunks stay for
// whoever still reads them.
func (e *Engine) releaseRun(r *run) {
	r.ended = true
	e.held -= r.bytes
	delete(e.runs, r.attempt.ID)
}

// cacheCapacity returns how many blocks the free memory holds.
func (e *Engine) cacheCapacity() int {
	free := e.settings.MemoryBytes - e.held
	return int(free / (engine.BlockTokens * e.settings.KVBytesPerToken))
}

// admit admits an attempt, or says why not. The caller holds the lock.
func (e *Engine) admit(a engine.Attempt) (*run, *engine.Refusal) {
	tokens := engine.Tokens(len(a.Prompt))
	group := 1 + len(a.Members)
	bytes := int64((tokens+group-1)/group+a.MaxTokens) * e.settings.KVBytesPerToken
	switch {
	case a.Instance != "" && a.Instance != e.settings.Instance:
		return nil, refusal(engine.RefusedInstance, "this is instance "+e.settings.Instance)
	case a.Model != e.settings.Model:
		return nil, refusal(engine.RefusedModel, "loaded is "+e.settings.Model)
	case e.held+bytes > e.settings.MemoryBytes:
		return nil, refusal(engine.RefusedMemory, "memory is taken")
	case e.runs[a.ID] != nil:
		return nil, refusal(engine.RefusedDoubled, "the attempt runs already")
	}
	r := &run{
		attempt:   a,
		arrival:   e.arrivals,
		startedAt: e.now(),
		bytes:     bytes,
		hash:      xxhash.Sum64String(a.Prompt),
		tokens:    tokens,
		blocks:    engine.Blocks(a.Model+"/"+a.Adapter, a.Prompt, e.cacheCapacity()),
		changed:   make(chan struct{}),
	}
	hit := e.cache.hit(r.blocks) * engine.BlockTokens
	r.cached = min(hit, max(tokens-1, 0))
	r.prefillLeft = max(tokens-r.cached, 1)
	e.arrivals++
	e.held += bytes
	e.cache.shrink(e.cacheCapacity())
	e.runs[a.ID] = r
	e.started[r.hash]++
	// A long prompt is not kept for as long as its answer takes.
	r.attempt.Prompt = ""
	e.wakeLoop()
	return r, nil
}

func refusal(code, detail string) *engine.Refusal {
	return &engine.Refusal{
		Code:    code,
		Started: false,
		Detail:  detail,
	}
}

// Rename makes the engine another instance at the same address.
func (e *Engine) Rename(instance string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.Instance = instance
}
