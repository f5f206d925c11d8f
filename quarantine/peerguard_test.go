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

// cluster is a set of instances with peer guards.
type cluster struct {
	mu        sync.Mutex
	instances []*testInstance
	// stopped are the instances that no longer answer but are still listed.
	stopped map[string]bool
	// calls counts the calls between instances.
	calls int
}

// testInstance is an instance of a cluster and implements Peers. The first two instances of the
// cluster count the crashes of all identities.
type testInstance struct {
	cluster  *cluster
	name     string
	registry *Registry
	guard    *PeerGuard
}

var errStopped = errors.New("instance has stopped")

// CountingInstances implements Peers.
func (m *testInstance) CountingInstances(Identity) []string { return []string{"i0", "i1"} }

// Self implements Peers.
func (m *testInstance) Self() string { return m.name }

// Others implements Peers.
func (m *testInstance) Others() []string {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	var out []string
	for _, other := range m.cluster.instances {
		if other != m {
			out = append(out, other.name)
		}
	}
	return out
}

// registryOf returns the registry of an instance, or an error if it has stopped.
func (c *cluster) registryOf(name string) (*Registry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	for _, instance := range c.instances {
		if instance.name == name && !c.stopped[name] {
			return instance.registry, nil
		}
	}
	return nil, errStopped
}

// callCount returns the number of calls so far.
func (c *cluster) callCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// stop stops an instance, which remains listed.
func (c *cluster) stop(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped[name] = true
}

// hasStopped reports whether an instance has stopped.
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

// join adds an instance and starts its guard.
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

// crashAt reports one crash of request 1 at each of the instances, one after another.
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

// assertBannedAt checks whether request 1 is banned at all instances that have not stopped.
func (c *cluster) assertBannedAt(t *testing.T, want bool) {
	t.Helper()
	for _, instance := range c.instances {
		if banned := instance.guard.BanOf(request(1)) != nil; banned != want && !c.hasStopped(instance.name) {
			t.Errorf("banned at %s: %t", instance.name, banned)
		}
	}
}

// TestPeerGuard guards against a request that is not banned, or not cleared, because its crashes
// and answers occur at different instances.
func TestPeerGuard(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(t *testing.T, c *cluster)
	}{
		{"all instances learn of a ban", func(t *testing.T, c *cluster) {
			c.crashAt(2, 3, 4)
			c.assertBannedAt(t, true)
		}},
		{"two crashes ban nothing", func(t *testing.T, c *cluster) {
			c.crashAt(2, 3)
			c.assertBannedAt(t, false)
		}},
		{"one counting instance has stopped", func(t *testing.T, c *cluster) {
			c.stop("i0")
			c.crashAt(2, 3, 4)
			c.assertBannedAt(t, true)
		}},
		{"an answer at one instance clears the request at all instances", func(t *testing.T, c *cluster) {
			c.crashAt(2, 3, 4)
			c.instances[5].guard.ReportAnswered(request(1), time.Now())
			time.Sleep(time.Second)
			c.assertBannedAt(t, false)
		}},
		{"an answer between crashes clears", func(t *testing.T, c *cluster) {
			c.crashAt(2, 3)
			c.instances[5].guard.ReportAnswered(request(1), time.Now()) // it knows that the request is suspected
			time.Sleep(time.Second)
			c.crashAt(4)
			c.assertBannedAt(t, false)
		}},
		{"an instance that joins later learns of the ban", func(t *testing.T, c *cluster) {
			c.crashAt(2, 3, 4)
			c.join(t)
			time.Sleep(2 * newInstanceInterval)
			c.assertBannedAt(t, true)
		}},
		{"few messages are sent", func(t *testing.T, c *cluster) {
			c.crashAt(2, 3, 4)
			time.Sleep(time.Minute)
			// Three crashes go to two instances, and a suspicion and a ban from two instances to
			// five each.
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

// TestPeerGuardNeverBlocks guards against callers that wait when more crashes are reported than can
// be sent.
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
