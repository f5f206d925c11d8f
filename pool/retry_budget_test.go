// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/pool"
)

// retryLimit returns the number of retries that the budget of the fleet's instances allows in a
// window.
func (f *fleet) retryLimit() int {
	return 16 + f.firsts/5
}

// passWindow lets more than the window of the retry budget pass, so that the instances are no longer
// new and earlier sends don't count.
func (f *fleet) passWindow() {
	f.advance.Add(int64(12 * time.Second))
	f.firsts = 0
}

// TestRetryBudgetOverOwnerChanges guards against owners that each allow the whole budget, as they
// don't know the retries that their predecessors have allowed in the same window.
func TestRetryBudgetOverOwnerChanges(t *testing.T) {
	for _, row := range []struct {
		name    string
		changes int
		end     func(n *node)
	}{
		{"one owner stops", 1, func(n *node) { close(n.closing) }},
		{"two owners stop", 2, func(n *node) { close(n.closing) }},
		{"three owners stop", 3, func(n *node) { close(n.closing) }},
		{"three owners are killed", 3, func(n *node) { n.rpc.Stop() }},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 6)
			owner := f.owner()
			f.passWindow()
			placed := f.retryEverywhere(t, "engines")
			is.True(placed >= 12) // instances use three quarters of the budget
			var ended []string
			for range row.changes {
				row.end(owner)
				ended = append(ended, owner.self.ID)
				owner = f.owner(ended...)
				placed += f.retryEverywhere(t, "engines")
			}
			is.True(placed <= f.retryLimit())
		})
	}
}

// TestRetryBudgetOfTwoOwners guards against two instances that decide at the same time and together
// allow more than the budget.
func TestRetryBudgetOfTwoOwners(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6)
	owner := f.owner()
	f.passWindow()
	cut := func(n *node, address string) bool {
		return address == owner.self.Address && n.number%2 == 0
	}
	f.cut.Store(&cut)
	f.reset()
	by := f.deciders(t)
	is.Equal(len(by), 2)
	placed := f.retryEverywhere(t, "engines") + f.retryEverywhere(t, "engines")
	is.True(placed >= 10) // the owners use whole numbers of their shares
	is.True(placed <= f.retryLimit())
}

// deciders waits until no instance decides for itself alone, and returns who decides.
func (f *fleet) deciders(t *testing.T) map[string]int {
	t.Helper()
	by := make(map[string]int)
	for round := range 100 {
		clear(by)
		for i, n := range f.nodes {
			id := fmt.Sprintf("decider-%d-%d", round, i)
			by[n.place(t, request(id)).DecidedBy]++
			f.firsts++
			n.client.End(id, "engines", pool.Served, "")
		}
		time.Sleep(20 * time.Millisecond)
	}
	return by
}

// TestRetryBudgetOfReturningOwner guards against an owner that is started again and allows the
// whole budget, as it has forgotten the retries of the present window.
func TestRetryBudgetOfReturningOwner(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4)
	f.owner()
	f.passWindow()
	placed := 0
	for range 3 {
		owner := f.owner()
		placed += f.retryEverywhere(t, "engines")
		f.restart(owner)
	}
	f.owner()
	placed += f.retryEverywhere(t, "engines")
	is.True(placed >= 12)
	is.True(placed <= f.retryLimit())
}

// restart replaces an instance by a new process at another address.
func (f *fleet) restart(n *node) {
	n.stop()
	f.nodes = slices.DeleteFunc(f.nodes, func(other *node) bool { return other == n })
	others := slices.Clone(f.nodes)
	f.add(n.number)
	f.nodes[len(f.nodes)-1].learn(f.snap)
	for _, other := range others {
		other.scheduler.Update(f.snap)
		other.client.Update(f.snap)
	}
}

// TestRetryBudgetOfRestartedPlainInstance guards against an instance that allows its share of the
// budget of a service without engines anew with each start.
func TestRetryBudgetOfRestartedPlainInstance(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	f.passWindow()
	placed := 0
	for range 4 {
		placed += f.retryEverywhere(t, "plain")
		for _, n := range slices.Clone(f.nodes) {
			f.restart(n)
		}
	}
	is.True(placed >= 12)
	is.True(placed <= 16)
}
