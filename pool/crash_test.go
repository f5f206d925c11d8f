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

// crashingRequest is the identity of the request that crashes endpoints in these tests.
const crashingRequest quarantine.Identity = 7

// crashingKeys are the keys of this request.
var crashingKeys = quarantine.Keys{
	Request: crashingRequest,
}

// reportCrash reports to this instance that an attempt of the request crashed endpoint i.
func (n *node) reportCrash(i int) {
	began := time.Now()
	time.Sleep(20 * time.Millisecond)
	n.client.ReportCrash(quarantine.Crash{
		Attempt:   fmt.Sprintf("%s-%d", n.self.ID, i),
		Endpoint:  fmt.Sprint("e", i),
		Identity:  crashingRequest,
		StartedAt: began,
		EndedAt:   time.Now(),
	})
	// The instance that counts crashes must have the report before the next attempt starts.
	time.Sleep(60 * time.Millisecond)
}

// without returns all instances that are not in gone.
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

// settle waits until reported crashes are counted, and verdicts and notices have reached all
// instances.
func settle() {
	time.Sleep(2 * quarantine.SettleDelay)
}

// assertBanned waits until the given instances all ban the request, or all allow it.
func assertBanned(t *testing.T, nodes []*node, want bool) {
	t.Helper()
	for _, n := range nodes {
		end := time.Now().Add(time.Second)
		banned := n.client.BanOf(crashingKeys) != nil
		for banned != want && time.Now().Before(end) {
			time.Sleep(5 * time.Millisecond)
			banned = n.client.BanOf(crashingKeys) != nil
		}
		if banned != want {
			t.Fatalf("instance %s: request banned: %v, want %v", n.self.ID, banned, want)
		}
	}
}

// ownerFailures are failures of instances that count crashes.
var ownerFailures = []struct {
	name string
	// fail returns the instances that are gone.
	fail func(f *fleet) []*node
}{
	{"no failure", func(*fleet) []*node { return nil }},
	{"owner stops", func(f *fleet) []*node {
		first := f.owner()
		close(first.closing)
		f.owner(first.self.ID)
		return []*node{first}
	}},
	{"owner is killed", func(f *fleet) []*node {
		first := f.owner()
		first.rpc.Stop()
		f.owner(first.self.ID)
		return []*node{first}
	}},
	{"owner and standby stop", func(f *fleet) []*node {
		first := f.owner()
		close(first.closing)
		second := f.owner(first.self.ID)
		close(second.closing)
		// The remaining instances find both sessions closed and open sessions to the next two
		// owners.
		time.Sleep(600 * time.Millisecond)
		return []*node{first, second}
	}},
	{"all connections are reset", func(f *fleet) []*node {
		for _, n := range f.nodes {
			n.listener.reset()
		}
		return nil
	}},
}

// TestCrashesCounted guards against crashes that are lost when the instance that counts them fails:
// the request must be banned everywhere after the third one.
func TestCrashesCounted(t *testing.T) {
	for _, row := range ownerFailures {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(t, 6)
			owner := f.owner()
			// Crashes that only the failing owner saw would be lost with it, so others report them.
			f.without(owner)[0].reportCrash(1)
			f.without(owner)[4].reportCrash(2)
			settle()
			gone := row.fail(f)
			left := f.without(gone...)
			assertBanned(t, left, false)
			left[len(left)/2].reportCrash(3)
			assertBanned(t, left, true)
		})
	}
}

// TestCrashesWithoutEngines guards against crashes that are not counted in a fleet without engines,
// whose pools have no owner.
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
	time.Sleep(300 * time.Millisecond) // until there are sessions to the instances that count crashes
	for i := range 3 {
		assertBanned(t, f.nodes, false)
		f.nodes[i].reportCrash(i)
	}
	assertBanned(t, f.nodes, true)
	is.New(t).Equal(f.countDeciders(), 1)
}

// countDeciders returns how many instances report that they decide on bans.
func (f *fleet) countDeciders() int {
	n := 0
	for _, one := range f.nodes {
		if one.client.CountsCrashes() {
			n++
		}
	}
	return n
}

// TestBanKnownToLateInstance guards against an instance that starts after a ban and does not learn
// of it.
func TestBanKnownToLateInstance(t *testing.T) {
	f := newFleet(t, 3)
	f.owner()
	for i := range 3 {
		f.nodes[i].reportCrash(i)
	}
	assertBanned(t, f.nodes, true)
	f.add(3)
	late := f.nodes[3]
	late.learn(f.snap)
	assertBanned(t, []*node{late}, true)
}

// TestAnswerClears guards against a request that stays suspected or banned after another instance
// got a whole answer for it.
func TestAnswerClears(t *testing.T) {
	t.Run("before the third crash", func(t *testing.T) {
		f := newFleet(t, 4)
		f.owner()
		f.nodes[0].reportCrash(0)
		f.nodes[1].reportCrash(1)
		settle()
		f.nodes[3].client.ReportAnswered(crashingKeys, time.Now())
		time.Sleep(50 * time.Millisecond)
		f.nodes[2].reportCrash(2)
		settle()
		assertBanned(t, f.nodes, false)
	})
	t.Run("after the ban", func(t *testing.T) {
		f := newFleet(t, 4)
		f.owner()
		for i := range 3 {
			f.nodes[i].reportCrash(i)
		}
		assertBanned(t, f.nodes, true)
		f.nodes[3].client.ReportAnswered(crashingKeys, time.Now())
		assertBanned(t, f.nodes, false)
	})
}

// TestClearedCrashesNotRecounted guards against crashes of a cleared request that count again
// because they are reported to a new owner.
func TestClearedCrashesNotRecounted(t *testing.T) {
	f := newFleet(t, 6)
	first := f.owner()
	left := f.without(first)
	left[0].reportCrash(0)
	left[1].reportCrash(1)
	settle()
	left[3].client.ReportAnswered(crashingKeys, time.Now())
	time.Sleep(50 * time.Millisecond)
	close(first.closing)
	second := f.owner(first.self.ID)
	close(second.closing)
	time.Sleep(600 * time.Millisecond) // until there are sessions to the next two owners
	left = f.without(first, second)
	left[2].reportCrash(2)
	settle()
	assertBanned(t, left, false)
}

// TestFailureIsNoCrash guards against requests that become suspected because their attempts
// failed without a crash.
func TestFailureIsNoCrash(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 8 {
		id := fmt.Sprint("r", i)
		f.nodes[i%3].place(t, request(id))
		f.nodes[i%3].client.End(id, "engines", pool.Failed, "")
	}
	settle()
	is.New(t).True(!f.nodes[0].client.Suspected(crashingKeys))
	assertBanned(t, f.nodes, false)
}

// badPart and goodPart are the identities of parts of prompts, of which the first crashes engines.
const (
	badPart  quarantine.Identity = 100
	goodPart quarantine.Identity = 101
)

// reportPartCrash reports to this instance that an attempt of a request of its own, with both parts,
// crashed endpoint i.
func (n *node) reportPartCrash(i int) {
	began := n.now()
	time.Sleep(20 * time.Millisecond)
	n.client.ReportCrash(quarantine.Crash{
		Attempt:   fmt.Sprintf("%s-part-%d", n.self.ID, i),
		Endpoint:  fmt.Sprint("part-e", i),
		Identity:  quarantine.Identity(1000 + i),
		Parts:     []quarantine.Identity{goodPart, badPart},
		StartedAt: began,
		EndedAt:   n.now(),
	})
	time.Sleep(60 * time.Millisecond)
}

// answer reports a complete answer to a request with the good part to this instance.
func (n *node) answer() {
	n.client.ReportAnswered(quarantine.Keys{
		Request: 5000,
		Parts:   []quarantine.Identity{goodPart},
	}, n.now())
}

// bans reports whether the instance refuses requests with a part.
func (n *node) bans(part quarantine.Identity) bool {
	return n.client.BanOf(quarantine.Keys{
		Request: 5000,
		Parts:   []quarantine.Identity{part},
	}) != nil
}

// TestPartCrashesCounted guards against requests with a part that crashes engines if the instance that
// counts fails, and against a ban of a part whose answers only other instances have seen.
func TestPartCrashesCounted(t *testing.T) {
	for _, row := range ownerFailures {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 6)
			owner := f.owner()
			f.passWindow() // the instances have existed for long enough to know the answers
			others := f.without(owner)
			others[2].answer()
			others[0].reportPartCrash(1)
			others[4].reportPartCrash(2)
			settle()
			gone := row.fail(f)
			left := f.without(gone...)
			for i := range 3 {
				left[i%len(left)].reportPartCrash(3 + i)
			}
			end := time.Now().Add(2 * time.Second)
			for _, n := range left {
				for !n.bans(badPart) && time.Now().Before(end) {
					time.Sleep(5 * time.Millisecond)
				}
				is.True(n.bans(badPart))
				is.True(!n.bans(goodPart))
			}
		})
	}
}
