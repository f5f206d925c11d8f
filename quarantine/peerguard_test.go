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

// cluster is some instances that share what they know.
type cluster struct {
	mu        sync.Mutex
	instances []*testInstance
	// stopped are instances that others still count on.
	stopped map[string]bool
	// calls counts what instances told each other.
	calls int
}

// testInstance is one of them. It implements Peers; the first two count.
type testInstance struct {
	cluster  *cluster
	name     string
	registry *Registry
	guard    *PeerGuard
}

var errStopped = errors.New("gone")

// CountingInstances implements Peers.
func (m *testInstance) CountingInstances(Identity) []string { return []string{"i0", "i1"} }

// Self implements Peers.
func (m *testInstance) Self() string { return m.name }

// Others implements Peers.
func (m *testInstance) Others() []string {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	var out []string
	for _, x := range m.cluster.instances {
		if x != m {
			out = append(out, x.name)
		}
	}
	return out
}

// registryOf returns the book registryOf an instance.
func (c *cluster) registryOf(name string) (*Registry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	for _, x := range c.instances {
		if x.name == name && !c.stopped[name] {
			return x.registry, nil
		}
	}
	return nil, errStopped
}

// callCount returns how many calls were callCount.
func (c *cluster) callCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// stop ends an instance that others go on to count on.
func (c *cluster) stop(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped[name] = true
}

// hasStopped states whether an instance has hasStopped.
func (c *cluster) hasStopped(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped[name]
}

// SendCrash implements Peers.
func (m *testInstance) SendCrash(_ context.Context, instance string, c Crash) error {
	b, err := m.cluster.registryOf(instance)
	if err == nil {
		b.ReportCrash(c)
	}
	return err
}

// SendVerdict implements Peers.
func (m *testInstance) SendVerdict(_ context.Context, instance string, v Verdict) error {
	b, err := m.cluster.registryOf(instance)
	if err == nil {
		b.ApplyVerdict(v)
	}
	return err
}

// join adds an instance.
func (c *cluster) join(t *testing.T) {
	m := &testInstance{
		cluster:  c,
		registry: newTestRegistry(),
	}
	c.mu.Lock()
	m.name = "i" + strconv.Itoa(len(c.instances))
	c.instances = append(c.instances, m)
	c.mu.Unlock()
	m.guard = NewPeerGuard(m.registry, m, logr.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	go m.guard.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-m.guard.Done
	})
}

// crashAt has an attempt of the request 1 crash its endpoint at each of some instances, one
// after the other.
func (c *cluster) crashAt(instances ...int) {
	for n, i := range instances {
		began := time.Now()
		time.Sleep(100 * time.Millisecond)
		c.instances[i].guard.ReportCrash(Crash{
			Attempt:   strconv.Itoa(n),
			Endpoint:  "e" + strconv.Itoa(n),
			Identity:  1,
			StartedAt: began,
			EndedAt:   time.Now(),
		})
		time.Sleep(overlapSlack)
	}
	time.Sleep(time.Second)
}

// assertBannedAt checks at all instances that are there whether the request 1 is banned.
func (c *cluster) assertBannedAt(t *testing.T, want bool) {
	t.Helper()
	for _, x := range c.instances {
		if _, banned := x.guard.BanRemaining(1); banned != want && !c.hasStopped(x.name) {
			t.Errorf("banned at %s: %t", x.name, banned)
		}
	}
}

// TestPeerGuard has a request crash endpoints at instances none of which sees it thrice, with
// something else happening.
func TestPeerGuard(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(t *testing.T, c *cluster)
	}{
		{"all are told of a ban", func(t *testing.T, c *cluster) {
			c.crashAt(2, 3, 4)
			c.assertBannedAt(t, true)
		}},
		{"two crashes ban nothing", func(t *testing.T, c *cluster) {
			c.crashAt(2, 3)
			c.assertBannedAt(t, false)
		}},
		{"one who counts is gone", func(t *testing.T, c *cluster) {
			c.stop("i0")
			c.crashAt(2, 3, 4)
			c.assertBannedAt(t, true)
		}},
		{"an answer anywhere clears for all", func(t *testing.T, c *cluster) {
			c.crashAt(2, 3, 4)
			c.instances[5].guard.ReportAnswered(1)
			time.Sleep(time.Second)
			c.assertBannedAt(t, false)
		}},
		{"an answer between crashes clears", func(t *testing.T, c *cluster) {
			c.crashAt(2, 3)
			c.instances[5].guard.ReportAnswered(1) // it was told that the request is suspected
			time.Sleep(time.Second)
			c.crashAt(4)
			c.assertBannedAt(t, false)
		}},
		{"who comes later is told", func(t *testing.T, c *cluster) {
			c.crashAt(2, 3, 4)
			c.join(t)
			time.Sleep(2 * newInstanceInterval)
			c.assertBannedAt(t, true)
		}},
		{"little is said", func(t *testing.T, c *cluster) {
			c.crashAt(2, 3, 4)
			time.Sleep(time.Minute)
			// Three crashes to two, the suspicion and the ban by two to five each.
			is.New(t).True(c.callCount() <= 3*2+2*2*5)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				c := &cluster{
					stopped: make(map[string]bool),
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

// TestPeerGuardNeverBlocks reports more crashes than can be told while nobody answers: no caller waits.
func TestPeerGuardNeverBlocks(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := &cluster{
			stopped: map[string]bool{
				"i0": true,
				"i1": true,
			},
		}
		for range 3 {
			c.join(t)
		}
		synctest.Wait()
		began := time.Now()
		for i := range 10 * sendQueueSize {
			c.instances[2].guard.ReportCrash(Crash{
				Attempt:  strconv.Itoa(i),
				Identity: Identity(i),
			})
		}
		is.New(t).Equal(time.Since(began), time.Duration(0))
	})
}
