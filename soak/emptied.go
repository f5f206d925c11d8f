// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"time"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// The times of emptying.
const (
	// emptyWithin is how long after the operator asked for it, or after a fault that keeps
	// an instance from what the store says, an emptied failure domain may get requests, of
	// the five seconds that operators allow. It holds for instances, too, that follow one
	// that has just ended.
	emptyWithin = 3 * time.Second
	// emptyOn is how much longer a domain stays emptied at the least, so that there is
	// something to judge beside other faults.
	emptyOn = 3 * time.Second
)

// emptying is a time for which a failure domain was emptied.
type emptying struct {
	domain string
	from   time.Time
	// to is when it was restored; zero while it is emptied.
	to time.Time
}

// empty empties a failure domain for longer than instances may take to know it, unless it
// is emptied already.
func (w *World) empty(domain string, last time.Duration) {
	i, ok := w.beginEmptying(domain)
	if !ok {
		return
	}
	time.Sleep(emptyWithin + emptyOn + last)
	w.mu.Lock()
	w.emptied[i].to = time.Now()
	w.mu.Unlock()
	w.store.UndrainDomain(domain)
}

// beginEmptying asks for a failure domain to be emptied, and returns the index of the
// record; false when that was asked for before.
func (w *World) beginEmptying(domain string) (int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.emptied {
		if e.domain == domain && e.to.IsZero() {
			return 0, false
		}
	}
	w.store.DrainDomain(domain)
	w.emptied = append(w.emptied, emptying{
		domain: domain,
		from:   time.Now(),
	})
	return len(w.emptied) - 1, true
}

// judgeEmptied checks that endpoints of an emptied failure domain got nothing new.
func (w *World) judgeEmptied(x *Exchange, e *endpoint, r *platformtest.Run) (Violation, bool) {
	for _, m := range w.emptied {
		if m.domain != e.domain || !m.to.IsZero() && r.At.After(m.to) {
			continue
		}
		late := r.At.Sub(w.toldFrom(x, m.from, r.At).Add(emptyWithin + runSlack))
		if late < 0 {
			continue
		}
		return Violation{
			Promise: "an emptied failure domain gets nothing new",
			Detail: fmt.Sprintf("request %s %s at instance %d ran at %s, %s after the bound", x.ID, x.Path,
				x.Instance, e.Name(), late.Round(time.Millisecond)),
		}, true
	}
	return Violation{}, false
}

// toldFrom returns from when on the instance of a request could be told of what the store
// says since a moment: the end of the last fault before another moment that kept it from
// that, if there was one.
func (w *World) toldFrom(x *Exchange, since, until time.Time) time.Time {
	for _, p := range w.played {
		if p.began.Before(until) && w.keepsFromStore(&p, x) && p.ended().After(since) {
			since = p.ended()
		}
	}
	return since
}

// keepsFromStore states whether a fault keeps the instance of a request from what the store
// says: the store answers nobody, the instance's link to it fails, or it stands still.
func (w *World) keepsFromStore(p *playedStep, x *Exchange) bool {
	if _, store := storeFaults[p.step.Kind]; store || p.step.Kind == "all lost in an outage" {
		return true
	}
	_, link := storeLinks[p.step.Kind]
	link = link || p.step.Kind == "store connections silent"
	return (link || p.step.Kind == "freeze") && p.step.Target%len(w.processes) == x.Instance
}
