// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/route"
)

// operatorStore reads a configuration from the record of the key "config", and emptied
// failure domains from the others. Only Decode may be called.
type operatorStore struct {
	Store
}

func (operatorStore) Decode(f Feed, r Record) Change {
	domain, emptied := strings.CutPrefix(r.Key, "empty/")
	switch {
	case f != Configurations:
		return nil
	case emptied && len(r.Value) == 0:
		return &DomainUndrained{
			Domain: domain,
		}
	case emptied:
		return &DomainDrained{
			Domain: domain,
		}
	}
	return &TableChange{
		Table: route.New(r.Offset+1, nil, nil, nil, false, route.Limits{}),
	}
}

// written returns a record of the feed of configurations.
func written(key, value string, offset int64) Record {
	return Record{
		Key:    key,
		Value:  []byte(value),
		Offset: offset,
	}
}

// newOperatorCatalog returns a catalog that knows a configuration and an emptied failure domain.
func newOperatorCatalog() *Catalog {
	c := New(Settings{}, operatorStore{}, nil, logr.Discard())
	c.apply(Configurations, []Record{written("config", "a", 0), written("empty/d1", "{}", 1)}, 2, allParts, fromStore)
	return c
}

// assertForwarded checks what a follower knows, and that it was sent so many records.
func assertForwarded(is *is.I, from, to *Catalog, records int) {
	is.Helper()
	is.Equal(transfer(from, to), records)
	is.Equal(to.drainedDomains(), from.drainedDomains())
	is.Equal(to.table.Version, from.table.Version)
	is.Equal(*to.checksums[Configurations], *from.checksums[Configurations])
	is.Equal(transfer(from, to), 0)
}

// TestDrainedForwarded hands what is known of failure domains on to a follower that was away
// meanwhile.
func TestDrainedForwarded(t *testing.T) {
	for _, row := range []struct {
		name    string
		change  func(from *Catalog)
		records int
	}{
		{"nothing new", func(*Catalog) {}, 0},
		{"another one emptied", func(c *Catalog) {
			c.apply(Configurations, []Record{written("empty/d2", "{}", 2)}, 3, 0, fromStore)
		}, 1},
		{"restored", func(c *Catalog) {
			c.apply(Configurations, []Record{written("empty/d1", "", 2)}, 3, 0, fromStore)
		}, 1},
		{"restored, which the store forgot", func(c *Catalog) {
			c.apply(Configurations, []Record{written("config", "a", 0)}, 3, allParts, fromStore)
		}, 1},
		{"another configuration", func(c *Catalog) {
			c.apply(Configurations, []Record{written("config", "b", 2)}, 3, 0, fromStore)
		}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			from, to := newOperatorCatalog(), New(Settings{}, operatorStore{}, nil, logr.Discard())
			assertForwarded(is, from, to, 2)
			row.change(from)
			assertForwarded(is, from, to, row.records)
		})
	}
}
