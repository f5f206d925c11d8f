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

// EngineSettings configures an Engine. Zero values select the defaults.
type EngineSettings struct {
	// Instance is the name of the endpoint's incarnation.
	Instance string
	// Model is the model that is loaded at the start.
	Model string
	// Version is the version of the loaded weights.
	Version string
	// MemoryBytes is the size of the KV memory; the default is enough for 400 000 tokens.
	MemoryBytes int64
	// KVBytesPerToken is the KV memory of one token; the default is 1024.
	KVBytesPerToken int64
	// PrefillTokensPerSecond is the prefill rate; the default is 40 000.
	PrefillTokensPerSecond float64
	// ChunkTokens bounds the tokens prefilled in one step; the default is 1024.
	ChunkTokens int
	// DecodeStep is the shortest duration of a step in which an attempt decodes; the default
	// is 20ms.
	DecodeStep time.Duration
	// ChecksOrders makes the engine refuse orders with a fence below the highest one that it
	// has received.
	ChecksOrders bool
}

const (
	defaultMemoryTokens = 400_000
	defaultKVBytes      = 1024
	defaultPrefillRate  = 40_000
	defaultChunkTokens  = 1024
	defaultDecodeStep   = 20 * time.Millisecond
)

// setDefaults replaces zero values by the defaults.
func (s *EngineSettings) setDefaults() {
	s.KVBytesPerToken = cmp.Or(s.KVBytesPerToken, defaultKVBytes)
	s.MemoryBytes = cmp.Or(s.MemoryBytes, defaultMemoryTokens*s.KVBytesPerToken)
	s.PrefillTokensPerSecond = cmp.Or(s.PrefillTokensPerSecond, defaultPrefillRate)
	s.ChunkTokens = cmp.Or(s.ChunkTokens, defaultChunkTokens)
	s.DecodeStep = cmp.Or(s.DecodeStep, defaultDecodeStep)
}

// Engine simulates a model engine. It implements engine.Client, so tests can use it without a
// network.
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

// run is the state of one attempt.
type run struct {
	attempt   engine.Attempt
	arrival   int
	startedAt time.Time
	bytes     int64
	// hash is the hash of the prompt, and tokens the length of the prompt.
	hash   uint64
	tokens int
	blocks []uint64
	// cached is the number of prompt tokens that were in the prefix cache, and prefillLeft the
	// number of prompt tokens that are still to be prefilled.
	cached      int
	prefillLeft int
	chunks      []engine.Chunk
	// ended is true after the last chunk or a cancellation, and removed after a cancellation or
	// the death of the engine.
	ended   bool
	removed bool
	// changed is closed and replaced when chunks, ended or removed change.
	changed chan struct{}
}

// reservation is memory held for the joint prefill of another engine's attempt.
type reservation struct {
	engine.Reservation
	began time.Time
	bytes int64
}

// NewEngine starts an engine. The caller must call Stop to end its goroutine.
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

// Stop ends the engine and waits until it has stopped. It must be called once.
func (e *Engine) Stop() {
	close(e.stop)
	<-e.Done
}

// SetFaults replaces the faults. The fault Dead also removes all attempts, reservations and
// cached blocks.
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

// Faults returns the current faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// HeldBytes returns the memory held by attempts and reservations.
func (e *Engine) HeldBytes() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

// Started returns how many attempts with the given prompt were started. Tests use it to detect
// prompts that ran more often than reported.
func (e *Engine) Started(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started[xxhash.Sum64String(prompt)]
}

// Crashes returns how many attempts have crashed the engine.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// CachedBlocks returns the number of blocks in the prefix cache.
func (e *Engine) CachedBlocks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.order.Len()
}

// wakeLoop makes the loop check for work. It does not block.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// dropAll removes all attempts, reservations and cached blocks, as the end of the process
// does. The caller holds e.mu.
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

// loop runs steps while there is work, until Stop is called.
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

// prefillWork is the number of tokens of a run that a step prefills.
type prefillWork struct {
	run    *run
	tokens int
}

// plan returns the duration of the next step and its prefill. The duration is zero if there is
// no work.
func (e *Engine) plan() (time.Duration, []prefillWork) {
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
	if e.faults.Slowdown > 0 {
		step = time.Duration(float64(step) * e.faults.Slowdown)
	}
	return step, work
}

// prefill distributes the prefill tokens of a step over the waiting runs and returns the work of
// each and the duration of all. It sorts waiting. The caller holds e.mu.
func (e *Engine) prefill(waiting []*run) ([]prefillWork, time.Duration) {
	slices.SortFunc(waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.attempt.Priority, b.attempt.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	rate := e.settings.PrefillTokensPerSecond
	if len(e.reserved) > 0 {
		rate /= 2
	}
	budget := e.settings.ChunkTokens
	seconds := 0.0
	var work []prefillWork
	for _, r := range waiting {
		if budget == 0 {
			break
		}
		n := min(r.prefillLeft, budget)
		budget -= n
		group := float64(1 + len(r.attempt.Members))
		seconds += float64(n) / (rate * group)
		work = append(work, prefillWork{
			run:    r,
			tokens: n,
		})
	}
	return work, time.Duration(seconds * float64(time.Second))
}

// apply completes a step: it advances the prefill by the given work and appends a token to each
// run whose prefill is complete. It does nothing if the engine is frozen or dead.
func (e *Engine) apply(work []prefillWork) {
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

// appendToken appends the next token to a run, followed by the final chunk if it is the last
// one. The caller holds e.mu.
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

// releaseRun ends a run and releases its memory. Its chunks stay available to current readers.
// The caller holds e.mu.
func (e *Engine) releaseRun(r *run) {
	r.ended = true
	e.held -= r.bytes
	delete(e.runs, r.attempt.ID)
}

// cacheCapacity returns how many blocks fit into the free memory. The caller holds e.mu.
func (e *Engine) cacheCapacity() int {
	free := e.settings.MemoryBytes - e.held
	return int(free / (engine.BlockTokens * e.settings.KVBytesPerToken))
}

// admit starts an attempt or returns the refusal. The caller holds e.mu.
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
		return nil, refusal(engine.RefusedDuplicate, "the attempt runs already")
	}
	r := &run{
		attempt:   a,
		arrival:   e.arrivals,
		startedAt: e.now(),
		bytes:     bytes,
		hash:      xxhash.Sum64String(a.Prompt),
		tokens:    tokens,
		blocks:    engine.BlockHashes(a.Model+"/"+a.Adapter, a.Prompt, e.cacheCapacity()),
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
	// The prompt may be long and is not needed for the answer.
	r.attempt.Prompt = ""
	e.wakeLoop()
	return r, nil
}

// refusal returns the refusal of an attempt that was not started.
func refusal(code, detail string) *engine.Refusal {
	return &engine.Refusal{
		Code:    code,
		Started: false,
		Detail:  detail,
	}
}

// Rename changes the name of the incarnation without changing any other state.
func (e *Engine) Rename(instance string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.Instance = instance
}
