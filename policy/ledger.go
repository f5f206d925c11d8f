// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package policy

import (
	"time"
)

// The measures of Ledger.
const (
	// prefillWindow is how much prefill may be outstanding at an engine for
	// requests of at least the same priority, so that the order stays with the
	// owner.
	prefillWindow = 150 * time.Millisecond
	// longShare is the part of an engine's memory that long prompts may hold.
	longShare = 0.8
	// maxLong is how many long prompts may be in prefill at one engine.
	maxLong = 1
	// minLongRemainder is the part of a long prompt that counts as left until its
	// holder tells of the first token. Shorter prompts that go ahead hold long
	// ones up for longer than the estimate knows.
	minLongRemainder = 0.05
	// initialTokenInterval is the time between tokens that is assumed at first.
	initialTokenInterval = 20 * time.Millisecond
	// smoothing is the weight of a new observation.
	smoothing = 0.1
)

// Entry is one lease in a Ledger.
type Entry struct {
	// ID names the lease.
	ID string
	// Customer is who pays.
	Customer string
	// Priority is the priority that the engine was given.
	Priority int
	// Class is the class of the prompt.
	Class Class
	// Bytes is the memory reserved.
	Bytes int64
	// Left is the prefill that is estimated to be left, in tokens.
	Left float64
	// Granted is when the lease was given.
	Granted time.Time

	// floor is what Left does not fall below before the first token is seen.
	floor float64
}

// Ledger is the memory and the outstanding prefill of one endpoint. The zero
// value is an endpoint without memory; use NewLedger.
type Ledger struct {
	// Memory is the endpoint's KV memory in bytes; zero for a plain service.
	Memory int64
	// Rate is the prefill rate R in tokens a second.
	Rate float64
	// MaxRunning bounds the leases.
	MaxRunning int
	// HeldByOthers is memory held at the endpoint by others' leases.
	HeldByOthers int64

	held    int64
	long    int64
	entries map[string]*Entry
	// customers counts the leases of each customer.
	customers     map[string]int
	order         [Priorities][]*Entry
	advancedAt    time.Time
	tokenInterval time.Duration
	// turnover is how fast memory comes free, in bytes a second.
	turnover float64
}

// NewLedger returns an empty ledger.
func NewLedger(memory int64, rate float64, maxRunning int) *Ledger {
	return &Ledger{
		Memory:        memory,
		Rate:          rate,
		MaxRunning:    maxRunning,
		entries:       make(map[string]*Entry),
		customers:     make(map[string]int),
		tokenInterval: initialTokenInterval,
	}
}

// Held returns the memory reserved by leases, in bytes.
func (l *Ledger) Held() int64 {
	return l.held
}

// Free returns the memory that neither leases nor others hold, in bytes.
func (l *Ledger) Free() int64 {
	return l.Memory - l.held - l.HeldByOthers
}

// Running returns the number of leases.
func (l *Ledger) Running() int {
	return len(l.entries)
}

// Entry returns a lease by id.
func (l *Ledger) Entry(id string) (*Entry, bool) {
	e, ok := l.entries[id]
	return e, ok
}

// Each calls f for every lease.
func (l *Ledger) Each(f func(*Entry)) {
	for _, e := range l.entries {
		f(e)
	}
}

// Add reserves what a request needs.
func (l *Ledger) Add(w *Work, id string, priority int, now time.Time) {
	l.advance(now)
	e := &Entry{
		ID:       id,
		Customer: w.Customer,
		Priority: priority,
		Class:    w.Class(),
		Bytes:    w.Bytes,
		Left:     float64(w.Prompt),
		Granted:  now,
	}
	if e.Class >= Long {
		e.floor = minLongRemainder * e.Left
	}
	l.entries[id] = e
	l.customers[e.Customer]++
	l.order[priority] = append(l.order[priority], e)
	l.held += e.Bytes
	if e.Class >= Long {
		l.long += e.Bytes
	}
}

// Remove returns what a lease held. It is false when there is no such lease.
func (l *Ledger) Remove(id string, now time.Time) bool {
	e, ok := l.entries[id]
	if !ok {
		return false
	}
	e.Left = 0
	l.advance(now)
	delete(l.entries, id)
	l.dropCustomer(e.Customer)
	l.held -= e.Bytes
	if e.Class >= Long {
		l.long -= e.Bytes
	}
	if age := now.Sub(e.Granted).Seconds(); age > 0 {
		l.turnover += smoothing * (float64(e.Bytes)*float64(len(l.entries)+1)/age - l.turnover)
	}
	return true
}

// dropCustomer counts one lease less of a customer.
func (l *Ledger) dropCustomer(customer string) {
	l.customers[customer]--
	if l.customers[customer] <= 0 {
		delete(l.customers, customer)
	}
}

// Share returns the part of the leases that a customer has, between 0 and 1.
func (l *Ledger) Share(customer string) float64 {
	if len(l.entries) == 0 {
		return 0
	}
	return float64(l.customers[customer]) / float64(len(l.entries))
}

// Observe corrects the time between tokens by what an answer showed.
func (l *Ledger) Observe(step time.Duration) {
	l.tokenInterval += time.Duration(smoothing * float64(step-l.tokenInterval))
}

// FirstToken notes that a lease's prompt is done.
func (l *Ledger) FirstToken(id string, now time.Time) {
	if e, ok := l.entries[id]; ok {
		e.Left = 0
	}
	l.advance(now)
}

// advance lets the estimated prefill advance to now, in order of priority.
func (l *Ledger) advance(now time.Time) {
	tokens := now.Sub(l.advancedAt).Seconds() * l.Rate
	l.advancedAt = now
	for p, queue := range l.order {
		kept := queue[:0]
		for _, e := range queue {
			done := min(max(e.Left-e.floor, 0), tokens)
			e.Left -= done
			tokens -= done
			if e.Left > 0 {
				kept = append(kept, e)
			}
		}
		clear(queue[len(kept):])
		l.order[p] = kept
	}
}

// Outstanding returns the prefill that is left at the engine for each
// priority, in seconds.
func (l *Ledger) Outstanding(now time.Time) [Priorities]float64 {
	l.advance(now)
	var out [Priorities]float64
	if l.Rate <= 0 {
		return out
	}
	for p, queue := range l.order {
		for _, e := range queue {
			out[p] += e.Left / l.Rate
		}
	}
	return out
}

// Prefill returns how long a prompt of n tokens takes alone.
func (l *Ledger) Prefill(n int) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / l.Rate * float64(time.Second))
}

// MinTime returns the shortest time in which work can be done: its prefill and
// the steps of its answer.
func (l *Ledger) MinTime(w *Work) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return l.Prefill(w.Prompt) + time.Duration(w.Output)*l.tokenInterval
}

// Fits states whether work can start now, and if not, why.
func (l *Ledger) Fits(w *Work, now time.Time) (bool, Reason) {
	if len(l.entries) >= l.MaxRunning {
		return false, ReasonSlots
	}
	if l.Memory == 0 {
		return true, ReasonNone
	}
	if w.Bytes > l.Free() {
		return false, ReasonMemory
	}
	class := w.Class()
	if class >= Long && l.long > 0 && l.long+w.Bytes > int64(longShare*float64(l.Memory)) {
		return false, ReasonLongMemory
	}
	out := l.Outstanding(now)
	ahead := 0.0
	priority := Priority(w.RankAt(now), class)
	for p := range priority + 1 {
		ahead += out[p]
	}
	if class >= Long {
		if l.prefilling(Long) >= maxLong {
			return false, ReasonLongPrefill
		}
		return true, ReasonNone
	}
	if ahead > prefillWindow.Seconds() {
		return false, ReasonPrefill
	}
	return true, ReasonNone
}

// prefilling returns how many leases of at least a class are in prefill.
func (l *Ledger) prefilling(c Class) int {
	n := 0
	for _, queue := range l.order {
		for _, e := range queue {
			if e.Class >= c && e.Left > 0 {
				n++
			}
		}
	}
	return n
}

// MemoryWait estimates how long until bytes come free, when more than is free
// is needed.
func (l *Ledger) MemoryWait(bytes int64) time.Duration {
	missing := bytes - l.Free()
	if l.Memory == 0 || missing <= 0 {
		return 0
	}
	if l.turnover <= 0 {
		return time.Second
	}
	return time.Duration(float64(missing) / l.turnover * float64(time.Second))
}

// Turnover returns how fast memory comes free, in bytes a second.
func (l *Ledger) Turnover() float64 {
	return l.turnover
}

// Adopt takes over memory that an attempt holds already, and whose prompt is
// taken as done.
func (l *Ledger) Adopt(id string, bytes int64, now time.Time) {
	if _, ok := l.entries[id]; ok {
		return
	}
	l.entries[id] = &Entry{
		ID:      id,
		Bytes:   bytes,
		Granted: now,
	}
	l.customers[""]++
	l.held += bytes
}
