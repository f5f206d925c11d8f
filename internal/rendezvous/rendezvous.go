// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package rendezvous sorts nodes for a key by weighted rendezvous hashing. With h the hash of
// key and node, scaled to a fraction between 0 and 1, and w the node's weight, nodes are
// sorted by descending
//
//	-w² / ln(h)
//
// Each node is first for a share of all keys in proportion to its squared weight, so weak
// nodes are first for few keys. When a node is removed, only the keys for which it was first
// get another first node.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Conversion of a 64-bit hash to a float64 fraction.
const (
	// mantissa is the number of distinct fractions.
	mantissa = 1 << mantissaBits
	// mantissaBits is the precision of a float64 (IEEE 754), in bits.
	mantissaBits = 53
	// hashBits is the length of a hash in bits.
	hashBits = 64
)

// Score returns the score of a node for a key, see the package comment. A weight below 1
// counts as 1.
func Score(key, id string, weight int) float64 {
	h := xxhash.Sum64String(key + "\x00" + id)
	fraction := (float64(h>>(hashBits-mantissaBits)) + 0.5) / mantissa
	w := float64(max(weight, 1))
	return -w * w / math.Log(fraction)
}

// Sort sorts nodes in place for a key, highest score first and ties by name. The parameter of is a
// function that returns the name and the weight of a node. Each score is computed only once, since
// the logarithm dominates the cost of a comparison.
func Sort[T any](key string, nodes []T, of func(T) (id string, weight int)) {
	all := make([]scored[T], 0, len(nodes))
	for _, n := range nodes {
		id, weight := of(n)
		all = append(all, scored[T]{
			node:  n,
			id:    id,
			score: Score(key, id, weight),
		})
	}
	slices.SortFunc(all, func(a, b scored[T]) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	for i, s := range all {
		nodes[i] = s.node
	}
}

// scored pairs a node with its name and score.
type scored[T any] struct {
	node  T
	id    string
	score float64
}

// Index maps a name to an index in [0, n) by its hash. The number n must be positive.
func Index(name string, n int) int {
	return int(xxhash.Sum64String(name) % uint64(n))
}
