// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/rendezvous"
)

type node struct {
	id     string
	weight int
}

func of(n node) (string, int) { return n.id, n.weight }

// nodes returns n nodes of equal weight, named n0, n1 and so on.
func nodes(n int) []node {
	var out []node
	for i := range n {
		out = append(out, node{
			id:     fmt.Sprint("n", i),
			weight: 100,
		})
	}
	return out
}

func TestSort(t *testing.T) {
	t.Run("result is independent of the input order", func(t *testing.T) {
		is := is.New(t)
		a, b := nodes(9), nodes(9)
		b[0], b[8] = b[8], b[0]
		rendezvous.Sort("k", a, of)
		rendezvous.Sort("k", b, of)
		is.Equal(a, b)
	})
	t.Run("removal of a node moves only its own keys", func(t *testing.T) {
		is := is.New(t)
		for k := range 200 {
			key := fmt.Sprint(k)
			a := nodes(9)
			b := nodes(8)
			rendezvous.Sort(key, a, of)
			rendezvous.Sort(key, b, of)
			is.True(a[0] == b[0] || a[0].id == "n8")
		}
	})
	t.Run("weak nodes come first for few keys", func(t *testing.T) {
		is := is.New(t)
		weak := 0
		for k := range 2000 {
			a := nodes(9)
			a[0].weight = 20
			rendezvous.Sort(fmt.Sprint(k), a, of)
			if a[0].id == "n0" {
				weak++
			}
		}
		// With squared weights the node is first for about 1 key in 201.
		is.True(weak < 40)
	})
}

// BenchmarkSort sorts the instances of large fleets for one key.
func BenchmarkSort(b *testing.B) {
	for _, n := range []int{295, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := nodes(n)
			for b.Loop() {
				rendezvous.Sort("k", slices.Clone(all), of)
			}
		})
	}
}
