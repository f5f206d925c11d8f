// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
)

// publications records when the store accepted each version of the configuration. The first one is
// version 2, as the stores of the tests begin with version 1.
type publications struct {
	store *fakeStore

	mu sync.Mutex
	at []time.Time
}

// publish writes the next n versions, each after a pause.
func (p *publications) publish(n int, pause time.Duration) {
	for range n {
		time.Sleep(pause)
		p.mu.Lock()
		p.at = append(p.at, time.Now())
		p.store.put(catalog.Configurations, version(p.newest()))
		p.mu.Unlock()
	}
}

// newest returns the newest version. The caller holds the lock.
func (p *publications) newest() int64 {
	return int64(len(p.at) + 1)
}

// compact makes the store drop all records but the newest ones, of which one drains a domain.
func (p *publications) compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.forget(catalog.Configurations, version(p.newest()), &catalog.DomainDrained{
		Domain: "d",
	})
}

// confirmed reports whether the newest version is in force with a low age. It returns an error if
// the configuration in force lacks a version that its age covers.
func (p *publications) confirmed(c *catalog.Catalog) (bool, error) {
	const low = 1500 * time.Millisecond
	p.mu.Lock()
	defer p.mu.Unlock()
	age, known := c.Age()
	snapshot := c.Snapshot()
	if !known || snapshot == nil {
		return false, nil
	}
	covered := 1 + len(p.at)
	if i := slices.IndexFunc(p.at, func(at time.Time) bool { return !at.Before(time.Now().Add(-age)) }); i >= 0 {
		covered = 1 + i
	}
	if snapshot.Table.Version < int64(covered) {
		return false, errors.Errorf("version %d is in force with an age of %s, which covers version %d", snapshot.Table.Version, age, covered)
	}
	return snapshot.Table.Version == p.newest() && age < low, nil
}

// awaitConfirmed waits until all catalogs have confirmed the newest version, for at most a minute.
// Until then, it checks that no age covers a version that is not in force.
func (p *publications) awaitConfirmed(all ...*catalog.Catalog) error {
	for began := time.Now(); time.Since(began) < time.Minute; time.Sleep(time.Millisecond) {
		left := 0
		for _, c := range all {
			ok, err := p.confirmed(c)
			if err != nil {
				return err
			}
			if !ok {
				left++
			}
		}
		if left == 0 {
			return nil
		}
	}
	return errors.New("the newest version was not confirmed within a minute")
}

// TestAgeDuringBacklog guards against requests with revoked keys that run: an answer of the store
// that contains only the first of the new configurations must not make the age low.
func TestAgeDuringBacklog(t *testing.T) {
	const (
		outage   = 8 * time.Second
		versions = 9
		perRead  = 2
		delay    = 50 * time.Millisecond
	)
	for _, row := range []struct {
		name string
		// before is called just before the end of the outage.
		before func(p *publications)
		// after is called while the catalog reads.
		after func(p *publications)
	}{
		{
			name:   "no further versions",
			before: func(p *publications) { p.publish(versions, 0) },
			after:  func(*publications) {},
		},
		{
			name:   "versions arrive between reads",
			before: func(p *publications) { p.publish(versions, 0) },
			after:  func(p *publications) { p.publish(versions, delay) },
		},
		{
			name: "feed is read in full by pages",
			before: func(p *publications) {
				p.publish(versions, 0)
				p.compact()
				p.store.limitPages(1, 2*delay)
			},
			after: func(p *publications) { p.publish(versions, delay) },
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
				p := &publications{
					store: s,
				}
				s.limitReads(perRead, delay)
				s.outage(outage, func() { row.before(p) })
				var operator sync.WaitGroup
				operator.Go(func() { row.after(p) })
				defer operator.Wait()
				is.NoErr(p.awaitConfirmed(c))
				operator.Wait()
				is.NoErr(p.awaitConfirmed(c))
			})
		})
	}
	for _, n := range []int{2, 5} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			virtualGroup(t, n, 0, func(t *testing.T, _ *memoryNet, s *fakeStore, all []*instance) {
				p := &publications{
					store: s,
				}
				s.limitReads(perRead, delay)
				s.outage(outage, func() { p.publish(versions, 0) })
				catalogs := make([]*catalog.Catalog, 0, n)
				for _, x := range all {
					catalogs = append(catalogs, x.Catalog)
				}
				is.New(t).NoErr(p.awaitConfirmed(catalogs...))
			})
		})
	}
}

// TestAnswersWithoutRecords guards against calls in quick succession, and against a low age, while
// the store announces new records but returns none.
func TestAnswersWithoutRecords(t *testing.T) {
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		const (
			outage = 10 * time.Second
			// maxCalls allows ten calls a second for the configurations and the polls of the
			// other feeds.
			maxCalls = 130
		)
		p := &publications{
			store: s,
		}
		s.limitReads(0, time.Millisecond)
		s.setWithholdRecords(true)
		p.publish(1, 0)
		before := s.callCount()
		time.Sleep(outage)
		is.True(s.callCount()-before <= maxCalls)
		age, _ := c.Age()
		is.True(age >= outage)
		s.setWithholdRecords(false)
		is.NoErr(p.awaitConfirmed(c))
	})
}
