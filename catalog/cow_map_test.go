// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// TestCOWMap compares random operations with those on a plain map, and checks that shared maps
// never change.
func TestCOWMap(t *testing.T) {
	is := is.New(t)
	draw := rand.New(rand.NewPCG(1, 2))
	var m cowMap[int]
	plain := make(map[string]int)
	var shared, copies []map[string]int
	for range 2000 {
		key := fmt.Sprint(draw.IntN(20))
		switch draw.IntN(4) {
		case 0:
			m.remove(key)
			delete(plain, key)
		case 1:
			shared = append(shared, m.share())
			copies = append(copies, maps.Clone(plain))
		default:
			v := draw.IntN(3)
			m.set(key, v)
			plain[key] = v
		}
		v, known := m.get(key)
		want, exists := plain[key]
		is.Equal(known, exists)
		is.Equal(v, want)
		is.Equal(m.len(), len(plain))
	}
	for i := range shared {
		is.True(maps.Equal(shared[i], copies[i]))
	}
}

// BenchmarkPublish measures the publication of a snapshot with 1,000 endpoints and 1,000
// instances.
func BenchmarkPublish(b *testing.B) {
	c := New(Settings{}, operatorStore{}, nil, logr.Discard())
	for i := range 1000 {
		id := fmt.Sprint("e", i)
		c.endpoints.set(id, Endpoint{Instance: id})
		c.peers.set(id, Peer{ID: id})
	}
	c.apply(Configurations, []Record{written("config", "a", 0)}, 1, allParts, fromStore)
	for b.Loop() {
		c.mu.Lock()
		c.publish()
		c.mu.Unlock()
	}
}
