// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package claim

import (
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/linkmast/linkmast/claim/claimpb"
	"github.com/linkmast/linkmast/logsvc"
)

// Key is the hash of a customer and its key.
type Key [sha256.Size]byte

// KeyOf returns the hash of a customer and its key.
func KeyOf(customer, key string) Key {
	h := sha256.New()
	// A hash's Write never fails.
	_, _ = h.Write([]byte(customer))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return Key(h.Sum(nil))
}

// Partition returns the partition of a key among n.
func (k Key) Partition(n int) int {
	return (int(k[0])<<8 | int(k[1])) % n
}

// Claim is a claim on a key.
type Claim struct {
	// Key is what is claimed.
	Key Key
	// Request names the request that claims.
	Request string
	// Instance names the instance that will dispatch it.
	Instance string
	// ValidUntil is when the key's validity ends.
	ValidUntil time.Time
}

// Registry is who holds which key of one partition, as its stream tells. The zero
// value is not usable; use NewBook.
type Registry struct {
	next  int64
	keys  map[Key]Claim
	freed map[string]time.Time
}

// NewRegistry returns an empty book.
func NewRegistry() *Registry {
	return &Registry{
		next:  1,
		keys:  make(map[Key]Claim),
		freed: make(map[string]time.Time),
	}
}

// Next returns the offset to read next.
func (b *Registry) Next() int64 {
	return b.next
}

// Len returns the number of keys held.
func (b *Registry) Len() int {
	return len(b.keys)
}

// Holder returns the claim that holds a key.
func (b *Registry) Holder(k Key) (Claim, bool) {
	c, ok := b.keys[k]
	return c, ok
}

// Freed states whether the claim of a request was given up.
func (b *Registry) Freed(request string) bool {
	_, ok := b.freed[request]
	return ok
}

// Apply takes over the records of a batch that are due, in order. Records that
// are no longer kept were of keys whose validity has ended.
func (b *Registry) Apply(batch logsvc.Batch) {
	b.next = max(b.next, batch.Earliest)
	for _, r := range batch.Records {
		if r.Offset != b.next {
			continue
		}
		b.next++
		var rec claimpb.Record
		if err := proto.Unmarshal(r.Data, &rec); err != nil {
			// Nobody's claim; every reader passes over it alike.
			continue
		}
		for _, e := range rec.Entries {
			b.applyEntry(e)
		}
	}
}

// applyEntry takes over one claim, or the end of one.
func (b *Registry) applyEntry(e *claimpb.Entry) {
	if len(e.Key) != sha256.Size {
		return
	}
	c := decode(e)
	if e.Freed {
		b.freed[c.Request] = c.ValidUntil
		if b.keys[c.Key].Request == c.Request {
			delete(b.keys, c.Key)
		}
		return
	}
	if _, held := b.keys[c.Key]; held || b.Freed(c.Request) {
		return
	}
	b.keys[c.Key] = c
}

// Expire forgets what ended before a moment.
func (b *Registry) Expire(before time.Time) {
	for k, c := range b.keys {
		if c.ValidUntil.Before(before) {
			delete(b.keys, k)
		}
	}
	for r, t := range b.freed {
		if t.Before(before) {
			delete(b.freed, r)
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
