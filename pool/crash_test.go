// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/route"
)

// crashing is the identity of the request that crashes endpoints in these tests.
const crashing quarantine.Identity = 7

// crash has an attempt of the request crash its endpoint, as one instance sees it.
func (n *node) crash(i int) {
	began := time.Now()
	time.Sleep(20 * time.Millisecond)
	n.client.ReportCrash(quarantine.Crash{
		Attempt:   fmt.Sprintf("%s-%d", n.self.ID, i),
		Endpoint:  fmt.Sprint("e", i),
		Identity:  crashing,
		StartedAt: began,
		EndedAt:   time.Now(),
	})
	// The next attempt is no sooner anywhere than this report is where crashes are counted.
	time.Sleep(60 * time.Millisecond)
}

// without returns the instances but some.
func (f *fleet) without(gone ...*node) []*node {
	var out []*node
	for _, n := range f.nodes {
		here := true
		for _, g := range gone {
			here = here && n != g
		}
		if here {
			out = append(out, n)
		}
	}
	return out
}

// settle waits until a crash that was reported has counted, and what follows is known.
func settle() {
	time.Sleep(2 * quarantine.SettleDelay)
}

// assertBarred waits until all of some instances keep the request from endpoints, or none
// does.
func assertBarred(t *testing.T, nodes []*node, want bool) {
	t.Helper()
	for _, n := range nodes {
		end := time.Now().Add(time.Second)
		_, barred := n.client.BanRemaining(crashing)
		for barred != want && time.Now().Before(end) {
			time.Sleep(5 * time.Millisecond)
			_, barred = n.client.BanRemaining(crashing)
		}
		if barred != want {
			t.Fatalf("%s: barred is %v", n.self.ID, barred)
		}
	}
}

// TestCrashesCounted has a request crash endpoints at one instance after the other, with
// what may happen to the one that counts in between. All that are left bar it after the
// third.
func TestCrashesCounted(t *testing.T) {
	for _, row := range []struct {
		name string
		// between happens after the second crash, and returns the instances that are gone.
		between func(f *fleet) []*node
	}{
		{"nothing", func(*fleet) []*node { return nil }},
		{"owner stops", func(f *fleet) []*node {
			first := f.owner("")
			close(first.closing)
			f.owner(first.self.ID)
			return []*node{first}
		}},
		{"owner is killed", func(f *fleet) []*node {
			first := f.owner("")
			first.rpc.Stop()
			f.owner(first.self.ID)
			return []*node{first}
		}},
		{"owner and the next one stop", func(f *fleet) []*node {
			first := f.owner("")
			close(first.closing)
			second := f.owner(first.self.ID)
			close(second.closing)
			// Both ends of their sessions, and those of the next two.
			time.Sleep(600 * time.Millisecond)
			return []*node{first, second}
		}},
		{"all connections are reset", func(f *fleet) []*node {
			for _, n := range f.nodes {
				n.listener.reset()
			}
			return nil
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(t, 6)
			owner := f.owner("")
			// Its own reports would be gone with an owner that ends.
			f.without(owner)[0].crash(1)
			f.without(owner)[4].crash(2)
			settle()
			gone := row.between(f)
			left := f.without(gone...)
			assertBarred(t, left, false)
			left[len(left)/2].crash(3)
			assertBarred(t, left, true)
		})
	}
}

// TestCrashesWithoutEngines counts crashes in a fleet that has plain services only, which
// no instance owns.
func TestCrashesWithoutEngines(t *testing.T) {
	f := newFleet(t, 0)
	f.snap.Table = route.New(1, nil, []route.Service{
		{Name: "plain"},
	}, nil, false, route.Limits{})
	for i := range 4 {
		f.add(i)
	}
	for _, n := range f.nodes {
		n.learn(f.snap)
	}
	time.Sleep(300 * time.Millisecond) // sessions with those that count
	for i := range 3 {
		assertBarred(t, f.nodes, false)
		f.nodes[i].crash(i)
	}
	assertBarred(t, f.nodes, true)
	is.New(t).Equal(f.counting(), 1)
}

// counting returns how many instances take themselves for the first of those that count.
func (f *fleet) counting() int {
	n := 0
	for _, one := range f.nodes {
		if one.client.CountsCrashes() {
			n++
		}
	}
	return n
}

// TestBanKnownToLateInstance starts an instance after a ban: the owner tells it.
func TestBanKnownToLateInstance(t *testing.T) {
	f := newFleet(t, 3)
	f.owner("")
	for i := range 3 {
		f.nodes[i].crash(i)
	}
	assertBarred(t, f.nodes, true)
	f.add(3)
	late := f.nodes[3]
	late.learn(f.snap)
	assertBarred(t, []*node{late}, true)
}

// TestAnswerClears has one instance answer a request whole that others have seen crash
// endpoints.
func TestAnswerClears(t *testing.T) {
	t.Run("before the third crash", func(t *testing.T) {
		f := newFleet(t, 4)
		f.owner("")
		f.nodes[0].crash(0)
		f.nodes[1].crash(1)
		settle()
		f.nodes[3].client.ReportAnswered(crashing)
		time.Sleep(50 * time.Millisecond)
		f.nodes[2].crash(2)
		settle()
		assertBarred(t, f.nodes, false)
	})
	t.Run("after the ban", func(t *testing.T) {
		f := newFleet(t, 4)
		f.owner("")
		for i := range 3 {
			f.nodes[i].crash(i)
		}
		assertBarred(t, f.nodes, true)
		f.nodes[3].client.ReportAnswered(crashing)
		assertBarred(t, f.nodes, false)
	})
}

// TestClearedNotToldAgain has a request cleared that crashed two endpoints, and then another owner
// come, which hears of crashes anew: these count no more.
func TestClearedNotToldAgain(t *testing.T) {
	f := newFleet(t, 6)
	first := f.owner("")
	left := f.without(first)
	left[0].crash(0)
	left[1].crash(1)
	settle()
	left[3].client.ReportAnswered(crashing)
	time.Sleep(50 * time.Millisecond)
	close(first.closing)
	second := f.owner(first.self.ID)
	close(second.closing)
	time.Sleep(600 * time.Millisecond) // sessions with the next two
	left = f.without(first, second)
	left[2].crash(2)
	settle()
	assertBarred(t, left, false)
}

// TestOutcomesThatAreNoCrash looks that nothing is thought of requests of which no crash is
// reported.
func TestOutcomesThatAreNoCrash(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 8 {
		id := fmt.Sprint("r", i)
		f.nodes[i%3].place(t, ask(id))
		f.nodes[i%3].client.End(id, "engines", pool.Failed, "")
	}
	settle()
	is.New(t).True(!f.nodes[0].client.Suspected(crashing))
	assertBarred(t, f.nodes, false)
}
