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

// plainLoad has instances ask for places on plain endpoints.
type plainLoad struct {
	mu sync.Mutex
	// given is when places were given, by endpoint, and by counts who decided.
	given map[string][]time.Time
	by    map[string]int
	asks  sync.WaitGroup
}

// run sends requests by instances in turn for a time. Each takes 20 ms.
func (l *plainLoad) run(t *testing.T, name string, nodes []*node, lasts time.Duration) {
	t.Helper()
	l.mu.Lock()
	l.given, l.by = make(map[string][]time.Time), make(map[string]int)
	l.mu.Unlock()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for i := range int(lasts / (5 * time.Millisecond)) {
		<-tick.C
		l.asks.Go(func() { l.one(t, nodes[i%len(nodes)], fmt.Sprint(name, i)) })
	}
}

// one asks for one place.
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
	l.given[g.Instance] = append(l.given[g.Instance], time.Now())
	l.by[g.DecidedBy]++
	l.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	n.client.End(id, "plain", pool.Served, "")
}

// assertRate checks how many places an endpoint with a rate limit got in a time: as many as
// the limit allows, and no more than a half more.
func (l *plainLoad) assertRate(t *testing.T, endpoint string, rate float64, lasts time.Duration) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	got, mean := float64(len(l.given[endpoint])), rate*lasts.Seconds()
	t.Logf("%s: %.0f places in %v at %g a second, by %v", endpoint, got, lasts, rate, l.by)
	is.New(t).True(got <= 1.5*mean)
	is.New(t).True(got >= 0.5*mean)
}

// TestPlainPoolGetsOwner looks that the instances keep to the limit of a plain endpoint together,
// also as its owner stops, and that each places for itself again once the limit has ended.
func TestPlainPoolGetsOwner(t *testing.T) {
	const rate = 10
	f := newFleet(t, 5)
	f.owner("")
	load := &plainLoad{}
	load.run(t, "before", f.nodes, 200*time.Millisecond)
	load.asks.Wait()
	is.New(t).Equal(len(load.by), 5)

	f.nodes[0].hears("p0", limit(rate))
	f.nodes[0].hears("p1", limit(rate))
	assertLimit(t, f.nodes, "p1", rate)
	time.Sleep(rateSettles)
	load.run(t, "during", f.nodes, 2*time.Second)
	load.asks.Wait()
	for _, endpoint := range []string{"p0", "p1"} {
		load.assertRate(t, endpoint, rate, 2*time.Second)
	}
	is.New(t).Equal(len(load.by), 1)

	t.Run("as its owner stops", func(t *testing.T) {
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
		load.asks.Wait()
		load.assertRate(t, "p0", rate, 3*time.Second)
		is.New(t).Equal(len(load.by), 2)
	})

	t.Run("once the limit has ended", func(t *testing.T) {
		f.nodes[1].hears("p0", notice.Statements{})
		f.nodes[1].hears("p1", notice.Statements{})
		assertLimit(t, f.nodes, "p1", -1)
		settle()
		load.run(t, "after", f.nodes, 200*time.Millisecond)
		load.asks.Wait()
		is.New(t).Equal(len(load.by), 5)
	})
}

// rateSettles is how long what was given before a limit counts.
const rateSettles = 4 * time.Second

// sessionForgotten is how long an owner keeps what an ended session had running.
const sessionForgotten = 2500 * time.Millisecond

// TestReleasedPoolForgets looks that an owner forgets what runs when its pool has none any more.
func TestReleasedPoolForgets(t *testing.T) {
	f := newFleet(t, 5)
	f.owner("")
	f.nodes[0].hears("p0", limit(10))
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
	f.nodes[0].hears("p0", notice.Statements{})
	assertLimit(t, f.nodes, "p0", -1)
	// The session of an instance may end before its messages are out; what ran is then
	// forgotten with the session.
	time.Sleep(sessionForgotten)
	for i, n := range f.nodes {
		is.New(t).Equal(n.scheduler.Stats()["plain"].Placed, 1)
		n.client.End(fmt.Sprint("long", i), "plain", pool.Served, "")
		is.New(t).Equal(n.scheduler.Stats()["plain"].Placed, 0)
	}
}
