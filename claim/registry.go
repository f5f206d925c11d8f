// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package claim

import (
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/linkmast/linkmast/claim/claimpb"
	"github.com/linkmast/linkmast/logsvc"
)

// Key is the hash of a customer's id and an idempotency key that the customer chose.
type Key [sha256.Size]byte

// KeyOf returns the hash of a customer's id and an idempotency key.
func KeyOf(customer, key string) Key {
	h := sha256.New()
	// Write never returns an error for a hash.
	_, _ = h.Write([]byte(customer))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return Key(h.Sum(nil))
}

// Partition returns the partition of a key, given the number of partitions.
func (k Key) Partition(n int) int {
	return (int(k[0])<<8 | int(k[1])) % n
}

// Claim is the claim of a request on a key.
type Claim struct {
	// Key is the claimed key.
	Key Key
	// Request is the id of the request that claims the key.
	Request string
	// Instance is the id of the request's entry instance, which dispatches it if the claim holds
	// the key.
	Instance string
	// ValidUntil is when the key expires.
	ValidUntil time.Time
}

// Registry tracks which claim holds each key of one partition, from the records of its stream. The
// zero value is not usable; use NewRegistry.
type Registry struct {
	next int64
	// keys maps each key that is held to the claim that holds it.
	keys map[Key]Claim
	// freed maps the requests whose claims were freed to when their keys expire.
	freed map[string]time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		next:  1,
		keys:  make(map[Key]Claim),
		freed: make(map[string]time.Time),
	}
}

// Next returns the offset of the next record to apply.
func (r *Registry) Next() int64 {
	return r.next
}

// Len returns the number of keys that are held.
func (r *Registry) Len() int {
	return len(r.keys)
}

// Winner returns the claim that holds a key, and false if none does.
func (r *Registry) Winner(k Key) (Claim, bool) {
	c, ok := r.keys[k]
	return c, ok
}

// Freed reports whether the claim of a request has been freed.
func (r *Registry) Freed(request string) bool {
	_, ok := r.freed[request]
	return ok
}

// Apply applies the records of a batch in the order of their offsets, and skips those that were
// applied before. It continues at the earliest record that the log still keeps, because dropped
// records belong to expired keys.
func (r *Registry) Apply(batch logsvc.Batch) {
	r.next = max(r.next, batch.Earliest)
	for _, record := range batch.Records {
		if record.Offset != r.next {
			continue
		}
		r.next++
		var decoded claimpb.Record
		if err := proto.Unmarshal(record.Data, &decoded); err != nil {
			// The record is invalid, and every reader skips it.
			continue
		}
		for _, e := range decoded.Entries {
			r.applyEntry(e)
		}
	}
}

// applyEntry applies one claim, or the freeing of one.
func (r *Registry) applyEntry(e *claimpb.Entry) {
	if len(e.Key) != sha256.Size {
		return
	}
	c := decode(e)
	if e.Freed {
		r.freed[c.Request] = c.ValidUntil
		if r.keys[c.Key].Request == c.Request {
			delete(r.keys, c.Key)
		}
		return
	}
	if _, held := r.keys[c.Key]; held || r.Freed(c.Request) {
		return
	}
	r.keys[c.Key] = c
}

// Expire removes the claims and freed requests whose keys expired before a time.
func (r *Registry) Expire(before time.Time) {
	for k, c := range r.keys {
		if c.ValidUntil.Before(before) {
			delete(r.keys, k)
		}
	}
	for request, validUntil := range r.freed {
		if validUntil.Before(before) {
			delete(r.freed, request)
		}
	}
}

func encode(c Claim, freed bool) *claimpb.Entry {
	return &claimpb.Entry{
		Key:          c.Key[:],
		Request:      c.Request,
		Instance:     c.Instance,
		ValidUntilMs: c.ValidUntil.UnixMilli(),
		Freed:        freed,
	}
}

func decode(e *claimpb.Entry) Claim {
	return Claim{
		Key:        Key(e.Key),
		Request:    e.Request,
		Instance:   e.Instance,
		ValidUntil: time.UnixMilli(e.ValidUntilMs),
	}
}
