// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"time"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// Durations of drains.
const (
	// drainWithin bounds how long an instance may still send requests to a drained failure domain.
	// It counts from the operator's order or, if later, from the end of a fault that kept the
	// instance from reading the store. It includes the time that a follower needs to find another
	// upstream when its own has just ended.
	drainWithin = 3 * time.Second
	// minDrainExcess is the least time by which a drain outlasts drainWithin, so that some
	// requests arrive after the bound and before the end of the drain.
	minDrainExcess = 3 * time.Second
)

// drainPeriod is a period in which a failure domain was drained.
type drainPeriod struct {
	domain string
	from   time.Time
	// to is when the domain was undrained; zero while it is drained.
	to time.Time
}

// drain drains a failure domain for drainWithin + minDrainExcess + last and then undrains it. It
// does nothing if the domain is drained already.
func (d *Deployment) drain(domain string, last time.Duration) {
	i, ok := d.beginDrain(domain)
	if !ok {
		return
	}
	time.Sleep(drainWithin + minDrainExcess + last)
	d.mu.Lock()
	d.drains[i].to = time.Now()
	d.mu.Unlock()
	d.store.UndrainDomain(domain)
}

// beginDrain writes the operator's order to drain a failure domain to the store. It returns
// the index of the new period in drains, or false if the domain is drained already.
func (d *Deployment) beginDrain(domain string) (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.drains {
		if e.domain == domain && e.to.IsZero() {
			return 0, false
		}
	}
	d.store.DrainDomain(domain)
	d.drains = append(d.drains, drainPeriod{
		domain: domain,
		from:   time.Now(),
	})
	return len(d.drains) - 1, true
}

// checkDrained checks that run r of exchange x did not begin on endpoint e too long after the
// failure domain of e was drained. If it did, checkDrained returns the violation and true.
func (d *Deployment) checkDrained(x *Exchange, e *endpoint, r *platformtest.Run) (Violation, bool) {
	for _, m := range d.drains {
		if m.domain != e.domain || !m.to.IsZero() && r.At.After(m.to) {
			continue
		}
		late := r.At.Sub(d.informedSince(x, m.from, r.At).Add(drainWithin + runSlack))
		if late < 0 {
			continue
		}
		return Violation{
			Guarantee: "drained failure domains get no new requests",
			Detail: fmt.Sprintf("request %s %s at instance %d ran on endpoint %s, %s after the bound", x.ID, x.Path,
				x.Instance, e.Name(), late.Round(time.Millisecond)),
		}, true
	}
	return Violation{}, false
}

// informedSince returns the time from which the instance of a request was able to read an order
// that was written to the store at the time since. The result is since or, if later, the latest
// end of the faults that began before until and kept the instance from reading the store.
func (d *Deployment) informedSince(x *Exchange, since, until time.Time) time.Time {
	for _, p := range d.played {
		if p.began.Before(until) && d.blocksStore(&p, x) && p.ended().After(since) {
			since = p.ended()
		}
	}
	return since
}

// blocksStore reports whether a fault kept the instance of a request from reading the store: the
// store or the instance's link to it was faulty, or the instance was frozen.
func (d *Deployment) blocksStore(p *playedFault, x *Exchange) bool {
	if _, store := storeFaults[p.fault.Kind]; store || p.fault.Kind == "all lost in an outage" {
		return true
	}
	_, link := storeLinks[p.fault.Kind]
	link = link || p.fault.Kind == "store connections silent"
	return (link || p.fault.Kind == "freeze") && p.fault.Target%len(d.processes) == x.Instance
}
