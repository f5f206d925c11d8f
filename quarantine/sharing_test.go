// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// circle is some instances that share what they know.
type circle struct {
	mu      sync.Mutex
	members []*member
	// gone are instances that others still count on.
	gone map[string]bool
	// calls counts what instances told each other.
	calls int
}

// member is one of them. It implements Peers; the first two count.
type member struct {
	circle  *circle
	name    string
	book    *Book
	sharing *Sharing
}

var errGone = errors.New("gone")

// Counters implements Peers.
func (m *member) Counters(Identity) []string { return []string{"i0", "i1"} }

// Self implements Peers.
func (m *member) Self() string { return m.name }

// Others implements Peers.
func (m *member) Others() []string {
	m.circle.mu.Lock()
	defer m.circle.mu.Unlock()
	var out []string
	for _, x := range m.circle.members {
		if x != m {
			out = append(out, x.name)
		}
	}
	return out
}

// of returns the book of an instance.
func (c *circle) of(name string) (*Book, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	for _, x := range c.members {
		if x.name == name && !c.gone[name] {
			return x.book, nil
		}
	}
	return nil, errGone
}

// made returns how many calls were made.
func (c *circle) made() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// end ends an instance that others go on to count on.
func (c *circle) end(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone[name] = true
}

// ended states whether an instance has ended.
func (c *circle) ended(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone[name]
}

// Report implements Peers.
func (m *member) Report(_ context.Context, instance string, c Crash) error {
	b, err := m.circle.of(instance)
	if err == nil {
		b.Report(c)
	}
	return err
}

// Tell implements Peers.
func (m *member) Tell(_ context.Context, instance string, v Verdict) error {
	b, err := m.circle.of(instance)
	if err == nil {
		b.Learn(v)
	}
	return err
}

// join adds an instance.
func (c *circle) join(t *testing.T) {
	m := &member{
		circle: c,
		book:   newBook(),
	}
	c.mu.Lock()
	m.name = "i" + strconv.Itoa(len(c.members))
	c.members = append(c.members, m)
	c.mu.Unlock()
	m.sharing = NewSharing(m.book, m, logr.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	go m.sharing.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-m.sharing.Done
	})
}

// crashAt has an attempt of the request 1 crash its endpoint at each of some instances, one
// after the other.
func (c *circle) crashAt(instances ...int) {
	for n, i := range instances {
		began := time.Now()
		time.Sleep(100 * time.Millisecond)
		c.members[i].sharing.Crashed(Crash{
			Attempt:  strconv.Itoa(n),
			Endpoint: "e" + strconv.Itoa(n),
			Identity: 1,
			Began:    began,
			Ended:    time.Now(),
		})
		time.Sleep(overlapSlack)
	}
	time.Sleep(time.Second)
}

// assertBannedAt checks at all instances that are there whether the request 1 is banned.
func (c *circle) assertBannedAt(t *testing.T, want bool) {
	t.Helper()
	for _, x := range c.members {
		if _, banned := x.sharing.Barred(1); banned != want && !c.ended(x.name) {
			t.Errorf("banned at %s: %t", x.name, banned)
		}
	}
}

// TestSharing has a request crash endpoints at instances none of which sees it thrice, with
// something else happening.
func TestSharing(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(t *testing.T, c *circle)
	}{
		{"all are told of a ban", func(t *testing.T, c *circle) {
			c.crashAt(2, 3, 4)
			c.assertBannedAt(t, true)
		}},
		{"two crashes ban nothing", func(t *testing.T, c *circle) {
			c.crashAt(2, 3)
			c.assertBannedAt(t, false)
		}},
		{"one who counts is gone", func(t *testing.T, c *circle) {
			c.end("i0")
			c.crashAt(2, 3, 4)
			c.assertBannedAt(t, true)
		}},
		{"an answer anywhere clears for all", func(t *testing.T, c *circle) {
			c.crashAt(2, 3, 4)
			c.members[5].sharing.Served(1)
			time.Sleep(time.Second)
			c.assertBannedAt(t, false)
		}},
		{"an answer between crashes clears", func(t *testing.T, c *circle) {
			c.crashAt(2, 3)
			c.members[5].sharing.Served(1) // it was told that the request is suspected
			time.Sleep(time.Second)
			c.crashAt(4)
			c.assertBannedAt(t, false)
		}},
		{"who comes later is told", func(t *testing.T, c *circle) {
			c.crashAt(2, 3, 4)
			c.join(t)
			time.Sleep(2 * lookForNew)
			c.assertBannedAt(t, true)
		}},
		{"little is said", func(t *testing.T, c *circle) {
			c.crashAt(2, 3, 4)
			time.Sleep(time.Minute)
			// Three crashes to two, the suspicion and the ban by two to five each.
			is.New(t).True(c.made() <= 3*2+2*2*5)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				c := &circle{
					gone: make(map[string]bool),
				}
				for range 6 {
					c.join(t)
				}
				time.Sleep(time.Second)
				row.run(t, c)
			})
		})
	}
}

// TestSharingBounded reports more crashes than can be told while nobody answers: no caller waits.
func TestSharingBounded(t *testing.T) {
	virtual(t, func(t *testing.T) {
		c := &circle{
			gone: map[string]bool{
				"i0": true,
				"i1": true,
			},
		}
		for range 3 {
			c.join(t)
		}
		synctest.Wait()
		began := time.Now()
		for i := range 10 * tellQueue {
			c.members[2].sharing.Crashed(Crash{
				Attempt:  strconv.Itoa(i),
				Identity: Identity(i),
			})
		}
		is.New(t).Equal(time.Since(began), time.Duration(0))
	})
}
