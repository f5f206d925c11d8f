// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/pool"
)

// plainLoad sends requests to plain endpoints from several instances.
type plainLoad struct {
	mu sync.Mutex
	// placements holds the times of the placements by endpoint, and by counts them by the instance
	// that decided.
	placements map[string][]time.Time
	by         map[string]int
	requests   sync.WaitGroup
}

// run sends a request every 5 ms for the given time, from the instances in turn. Each request that
// is placed runs for 20 ms.
func (l *plainLoad) run(t *testing.T, name string, nodes []*node, duration time.Duration) {
	t.Helper()
	l.mu.Lock()
	l.placements, l.by = make(map[string][]time.Time), make(map[string]int)
	l.mu.Unlock()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for i := range int(duration / (5 * time.Millisecond)) {
		<-tick.C
		l.requests.Go(func() { l.one(t, nodes[i%len(nodes)], fmt.Sprint(name, i)) })
	}
}

// one sends one request.
func (l *plainLoad) one(t *testing.T, n *node, id string) {
	g, err := n.client.Place(t.Context(), pool.PlacementRequest{
		ID:       id,
		Service:  "plain",
		Target:   100 * time.Millisecond,
		Deadline: time.Second,
	})
	if err != nil {
		return
	}
	l.mu.Lock()
	l.placements[g.Instance] = append(l.placements[g.Instance], time.Now())
	l.by[g.DecidedBy]++
	l.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	n.client.End(id, "plain", pool.Served, "")
}

// assertRate checks that an endpoint with a rate limit got between 0.5 and 1.5 times the
// requests that the limit allows.
func (l *plainLoad) assertRate(t *testing.T, endpoint string, rate float64, duration time.Duration) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	got, mean := float64(len(l.placements[endpoint])), rate*duration.Seconds()
	t.Logf("%s: %.0f placements in %v at %g a second, by %v", endpoint, got, duration, rate, l.by)
	is.New(t).True(got <= 1.5*mean)
	is.New(t).True(got >= 0.5*mean)
}

// TestRateLimitedPlainPoolHasOwner checks that a plain pool has an owner while its endpoints
// announce rate limits, and that the limits are kept, also when the owner stops. Once the limits
// have ended, each instance must decide by itself again.
func TestRateLimitedPlainPoolHasOwner(t *testing.T) {
	const rate = 10
	f := newFleet(t, 5)
	f.owner()
	load := &plainLoad{}
	load.run(t, "before", f.nodes, 200*time.Millisecond)
	load.requests.Wait()
	is.New(t).Equal(len(load.by), 5)

	f.nodes[0].recordAnswer("p0", limit(rate))
	f.nodes[0].recordAnswer("p1", limit(rate))
	assertLimit(t, f.nodes, "p1", rate)
	time.Sleep(rateSettles)
	load.run(t, "during", f.nodes, 2*time.Second)
	load.requests.Wait()
	for _, endpoint := range []string{"p0", "p1"} {
		load.assertRate(t, endpoint, rate, 2*time.Second)
	}
	is.New(t).Equal(len(load.by), 1)

	t.Run("owner stops", func(t *testing.T) {
		var owner *node
		for _, n := range f.nodes {
			if load.by[n.self.ID] > 0 {
				owner = n
			}
		}
		left := f.without(owner)
		stop := time.AfterFunc(time.Second, func() { close(owner.closing) })
		defer stop.Stop()
		load.run(t, "stop", left, 3*time.Second)
		load.requests.Wait()
		load.assertRate(t, "p0", rate, 3*time.Second)
		is.New(t).Equal(len(load.by), 2)
	})

	t.Run("limits end", func(t *testing.T) {
		f.nodes[1].recordAnswer("p0", notice.Statements{})
		f.nodes[1].recordAnswer("p1", notice.Statements{})
		assertLimit(t, f.nodes, "p1", -1)
		settle()
		load.run(t, "after", f.nodes, 200*time.Millisecond)
		load.requests.Wait()
		is.New(t).Equal(len(load.by), 5)
	})
}

// rateSettles is how long placements from before a rate limit count towards the limit.
const rateSettles = 4 * time.Second

// sessionForgotten is longer than an owner keeps the attempts of an ended session.
const sessionForgotten = 2500 * time.Millisecond

// TestReleasedPoolDropsAttempts checks that the owner drops the attempts of other instances
// when its pool no longer has an owner.
func TestReleasedPoolDropsAttempts(t *testing.T) {
	f := newFleet(t, 5)
	f.owner()
	f.nodes[0].recordAnswer("p0", limit(10))
	assertLimit(t, f.nodes, "p0", 10)
	settle()
	for i, n := range f.nodes {
		_, err := n.client.Place(t.Context(), pool.PlacementRequest{
			ID:       fmt.Sprint("long", i),
			Service:  "plain",
			Target:   time.Second,
			Deadline: time.Minute,
		})
		is.New(t).NoErr(err)
	}
	settle()
	f.nodes[0].recordAnswer("p0", notice.Statements{})
	assertLimit(t, f.nodes, "p0", -1)
	// If a session ends before an instance's messages are sent, its attempts are dropped with
	// the session.
	time.Sleep(sessionForgotten)
	for i, n := range f.nodes {
		is.New(t).Equal(n.scheduler.Stats()["plain"].Placed, 1)
		n.client.End(fmt.Sprint("long", i), "plain", pool.Served, "")
		is.New(t).Equal(n.scheduler.Stats()["plain"].Placed, 0)
	}
}
