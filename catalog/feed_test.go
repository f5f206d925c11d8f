// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// TestUnknownFeed guards against an instance that ends because another one, of another version, sends records
// of a feed that it doesn't know.
func TestUnknownFeed(t *testing.T) {
	for _, feed := range []Feed{Feed(len(feeds)), -1, 1 << 30} {
		is := is.New(t)
		c := New(Settings{}, plainStore{}, nil, logr.Discard())
		f := &followStream{
			catalog: c,
		}
		m, err := encodeChanges([]entry{{
			feed:   feed,
			record: record(0, 1),
		}})
		is.NoErr(err)
		is.NoErr(f.applyUpdate(m))
		is.Equal(len(c.records[feed]), 0)
	}
}
