// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package rendezvous orders nodes for a key by weighted rendezvous hashing: with
// h the hash of key and node as a fraction of one and w the node's weight, the
// nodes with the highest
//
//	-w² / ln(h)
//
// come first. Each node is first for a part of all keys in proportion to its
// squared weight, which keeps weak nodes from duties, and when a node goes only
// its own keys move.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The fractions that a float64 tells apart.
const (
	// mantissa is their number.
	mantissa = 1 << mantissaBits
	// mantissaBits is the precision of a float64 (IEEE 754).
	mantissaBits = 53
	// hashBits is the length of a hash.
	hashBits = 64
)

// Score returns the score of a node for a key, as in the package comment. A weight
// below 1 counts as 1.
func Score(key, id string, weight int) float64 {
	h := xxhash.Sum64String(key + "\x00" + id)
	fraction := (float64(h>>(hashBits-mantissaBits)) + 0.5) / mantissa
	w := float64(max(weight, 1))
	return -w * w / math.Log(fraction)
}

// Sort orders nodes for a key, the first one first. Of returns a node's name and
// weight.
func Sort[T any](key string, nodes []T, of func(T) (id string, weight int)) {
	slices.SortFunc(nodes, func(a, b T) int {
		ida, wa := of(a)
		idb, wb := of(b)
		return cmp.Or(cmp.Compare(Score(key, idb, wb), Score(key, ida, wa)), cmp.Compare(ida, idb))
	})
}

// Index returns a number from 0 to below n that depends on a name and n alone. N must
// be positive.
func Index(name string, n int) int {
	return int(xxhash.Sum64String(name) % uint64(n))
}
