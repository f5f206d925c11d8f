// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/route"
)

// operatorStore decodes the record with the key "config" as a configuration, and records with
// the prefix "empty/" as drained failure domains. It implements only Decode.
type operatorStore struct {
	Store
}

func (operatorStore) Decode(f Feed, r Record) Change {
	domain, drained := strings.CutPrefix(r.Key, "empty/")
	switch {
	case f != Configurations:
		return nil
	case drained && len(r.Value) == 0:
		return &DomainUndrained{
			Domain: domain,
		}
	case drained:
		return &DomainDrained{
			Domain: domain,
		}
	}
	return &TableChange{
		Table: route.New(r.Offset+1, nil, nil, nil, false, route.Limits{}),
	}
}

// written returns a record of the Configurations feed.
func written(key, value string, offset int64) Record {
	return Record{
		Key:    key,
		Value:  []byte(value),
		Offset: offset,
	}
}

// newOperatorCatalog returns a catalog with a configuration and one drained failure domain.
func newOperatorCatalog() *Catalog {
	c := New(Settings{}, operatorStore{}, nil, logr.Discard())
	c.apply(Configurations, []Record{written("config", "a", 0), written("empty/d1", "{}", 1)}, 2, allParts, fromStore)
	return c
}

// assertForwarded sends to a follower what it lacks. It checks the number of records sent and
// that the follower then has the same data.
func assertForwarded(is *is.I, from, to *Catalog, records int) {
	is.Helper()
	is.Equal(transfer(from, to), records)
	is.Equal(to.drainedDomains(), from.drainedDomains())
	is.Equal(to.table.Version, from.table.Version)
	is.Equal(*to.checksums[Configurations], *from.checksums[Configurations])
	is.Equal(transfer(from, to), 0)
}

// TestDrainedForwarded checks that a follower that reconnects receives changes of drained
// failure domains, including those whose records the store has compacted.
func TestDrainedForwarded(t *testing.T) {
	for _, row := range []struct {
		name    string
		change  func(from *Catalog)
		records int
	}{
		{"no change", func(*Catalog) {}, 0},
		{"another one drained", func(c *Catalog) {
			c.apply(Configurations, []Record{written("empty/d2", "{}", 2)}, 3, 0, fromStore)
		}, 1},
		{"undrained", func(c *Catalog) {
			c.apply(Configurations, []Record{written("empty/d1", "", 2)}, 3, 0, fromStore)
		}, 1},
		{"undrained and compacted", func(c *Catalog) {
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
