// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package policy

import (
	"time"
)

// Parameters of Ledger.
const (
	// prefillWindow bounds the outstanding prefill of the same and higher priorities on an engine.
	// Above it, Short and Medium prompts don't start: they wait in the owner's queue, where the
	// owner can still reorder them.
	prefillWindow = 150 * time.Millisecond
	// longShare is the fraction of an engine's memory that several long prompts may hold
	// together. A single one may hold more.
	longShare = 0.8
	// maxLong is the number of long prompts that one engine may prefill at once.
	maxLong = 1
	// minLongRemainder is the least fraction of a long prompt that counts as left until its first
	// token is reported. Shorter prompts that overtake it delay it by more than the estimate
	// accounts for.
	minLongRemainder = 0.05
	// initialTokenInterval is the time between tokens that is assumed before any observation.
	initialTokenInterval = 20 * time.Millisecond
	// smoothing is the weight of a new observation in moving averages.
	smoothing = 0.1
)

// Entry is a lease in a Ledger.
type Entry struct {
	// ID identifies the lease.
	ID string
	// Customer identifies the customer; empty for an adopted lease.
	Customer string
	// Priority is the priority of the request on the engine.
	Priority int
	// Class is the length class of the prompt.
	Class Class
	// Bytes is the reserved memory.
	Bytes int64
	// Left is the estimated number of prompt tokens still to prefill.
	Left float64
	// Granted is when the lease was granted or adopted.
	Granted time.Time

	// floor is the lower bound of Left until the first token is reported.
	floor float64
}

// Ledger accounts for the memory and the outstanding prefill of one endpoint. Use NewLedger to
// create one.
type Ledger struct {
	// Memory is the endpoint's KV memory in bytes; zero for a plain service.
	Memory int64
	// Rate is the prefill rate, R in the package comment, in tokens per second.
	Rate float64
	// MaxRunning is the maximum number of leases at once.
	MaxRunning int
	// HeldByOthers is the memory of running attempts that have no lease in this ledger, in
	// bytes.
	HeldByOthers int64

	// held is the memory reserved by all leases, and long the part of it reserved for prompts of
	// class Long or longer, in bytes.
	held    int64
	long    int64
	entries map[string]*Entry
	// customers counts the leases of each customer.
	customers map[string]int
	// order holds, by priority, the leases whose prompt was unfinished at advancedAt, in the
	// order of their grants.
	order      [Priorities][]*Entry
	advancedAt time.Time
	// tokenInterval is the moving average of the time between tokens.
	tokenInterval time.Duration
	// turnover is the rate at which memory becomes free, in bytes per second.
	turnover float64
}

// NewLedger returns a ledger without leases. Memory is in bytes, rate in tokens per second.
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

// Free returns the memory that is neither reserved by leases nor held by others, in bytes.
func (l *Ledger) Free() int64 {
	return l.Memory - l.held - l.HeldByOthers
}

// Running returns the number of leases.
func (l *Ledger) Running() int {
	return len(l.entries)
}

// Entry returns the lease with the given ID.
func (l *Ledger) Entry(id string) (*Entry, bool) {
	e, ok := l.entries[id]
	return e, ok
}

// Each calls f for every lease, in no particular order.
func (l *Ledger) Each(f func(*Entry)) {
	for _, e := range l.entries {
		f(e)
	}
}

// Add records a lease and reserves its memory.
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

// Remove deletes a lease and releases its memory. It returns false when there is no such lease.
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

// dropCustomer decrements the number of a customer's leases.
func (l *Ledger) dropCustomer(customer string) {
	l.customers[customer]--
	if l.customers[customer] <= 0 {
		delete(l.customers, customer)
	}
}

// Share returns a customer's fraction of the leases, from 0 to 1.
func (l *Ledger) Share(customer string) float64 {
	if len(l.entries) == 0 {
		return 0
	}
	return float64(l.customers[customer]) / float64(len(l.entries))
}

// Observe updates the moving average of the time between tokens with an observed one.
func (l *Ledger) Observe(interval time.Duration) {
	l.tokenInterval += time.Duration(smoothing * float64(interval-l.tokenInterval))
}

// FirstToken records that the prompt of a lease is complete.
func (l *Ledger) FirstToken(id string, now time.Time) {
	if e, ok := l.entries[id]; ok {
		e.Left = 0
	}
	l.advance(now)
}

// advance updates the estimated prefill of the leases to now, in order of priority.
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

// Outstanding returns the unfinished prefill of each priority, in seconds.
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

// Prefill returns the time to prefill n tokens on an otherwise idle engine.
func (l *Ledger) Prefill(n int) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / l.Rate * float64(time.Second))
}

// MinTime returns the time that a request takes on an otherwise idle engine: its prefill and
// the decode steps of an answer of maximum length.
func (l *Ledger) MinTime(w *Work) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return l.Prefill(w.Prompt) + time.Duration(w.Output)*l.tokenInterval
}

// Fits reports whether a request can start now and, if not, the reason.
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

// prefilling returns the number of leases of class c or longer whose prompt is unfinished.
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

// MemoryWait estimates the time until the given number of bytes is free: zero when that much is
// free now or the service is plain, and one second when the turnover is unknown.
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

// Turnover returns the rate at which memory becomes free, in bytes per second.
func (l *Ledger) Turnover() float64 {
	return l.turnover
}

// Adopt records a lease for an attempt that is already running and holds memory. Its prompt
// counts as complete.
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
