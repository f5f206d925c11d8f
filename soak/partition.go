// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/linkmast/linkmast/internal/tcp/tcptest"
	"github.com/linkmast/linkmast/platform/platformtest"
)

// partitionFaults maps kinds of faults to the partition between an instance and all endpoints.
var partitionFaults = map[string]tcptest.Partition{
	"instance gets no new endpoint connections": tcptest.RefuseNew,
	"instance loses its endpoint connections":   tcptest.ResetAll,
	"instance cut from endpoints":               tcptest.Drop,
}

// storeRestored takes the store away for a moment and brings it back from a copy.
const storeRestored = "store comes back from a copy"

// partitionKinds lists the kinds of faults that DrawPartitions draws, the partitions first.
var partitionKinds = [...]string{
	"instance gets no new endpoint connections",
	"instance loses its endpoint connections",
	"instance cut from endpoints",
	"instance cut from endpoints",
	storeRestored,
	storeRestored,
}

// partitionPause is the mean time between two faults that DrawPartitions draws.
const partitionPause = 2 * time.Second

// DrawPartitions returns a schedule of partitions between instances and endpoints, and of
// restorations of the store. It does not depend on the schedule of Draw.
func DrawPartitions(seed uint64, length time.Duration, processes int) []Fault {
	r := rand.New(rand.NewPCG(seed, partitionStream))
	var out []Fault
	for at := firstFault; at < length; at += time.Duration(r.ExpFloat64() * float64(partitionPause)) {
		out = append(out, Fault{
			At:     at,
			For:    time.Duration(minDurationMS+r.IntN(durationSpreadMS)) * time.Millisecond,
			Kind:   partitionKinds[r.IntN(len(partitionKinds))],
			Target: r.IntN(processes),
		})
	}
	return out
}

// partitionStream distinguishes the random numbers of DrawPartitions from those of other schedules.
const partitionStream = 3

// partition cuts an instance from all endpoints for a time.
func (d *Deployment) partition(p *process, kind tcptest.Partition, during time.Duration) {
	for _, e := range d.endpoints {
		if err := e.proxy.Partition(p.source, kind); err != nil {
			d.note(err)
		}
	}
	time.Sleep(during)
	for _, e := range d.endpoints {
		if err := e.proxy.Heal(p.source); err != nil {
			d.note(err)
		}
	}
}

// note records an error of the stand-ins, which makes the run fail.
func (d *Deployment) note(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.standinErrors = append(d.standinErrors, err)
}

// Times of a restoration of the store.
const (
	// restoreAway is how long the store is away before it comes back, and rewriteDelay how long the
	// operator and the endpoints take from then on to write again.
	restoreAway  = 300 * time.Millisecond
	rewriteDelay = 500 * time.Millisecond
)

// restoreStore brings the store back from a copy that is as old as the fault lasts. It does nothing
// while another restoration is going on.
func (d *Deployment) restoreStore(age time.Duration) {
	if !d.restoring.TryLock() {
		return
	}
	defer d.restoring.Unlock()
	copied := d.store.Copy()
	time.Sleep(age)
	d.store.SetFaults(storeFaults["store refuses"])
	time.Sleep(restoreAway)
	lost := d.store.Restore(copied)
	d.store.SetFaults(platformtest.StoreFaults{})
	time.Sleep(rewriteDelay)
	lost.WriteAgain()
}

// Parameters of the partition at the end of a run.
const (
	// finalCut is how long it lasts, and workAroundWithin the time that the instance has to work around
	// it.
	finalCut         = 6 * time.Second
	workAroundWithin = 3 * time.Second
	// cutServedShare is the share of the requests at the instance that must be served, relative to
	// that at the others.
	cutServedShare = 0.95
)

// finalPartition is the partition of a single instance after all other faults.
type finalPartition struct {
	instance int
	kind     tcptest.Partition
	from, to time.Time
}

// cutOne cuts one instance from all endpoints under load, after the system has recovered.
func (d *Deployment) cutOne(ctx context.Context, seed uint64) *finalPartition {
	name := partitionKinds[seed%uint64(len(partitionFaults))]
	f := &finalPartition{
		instance: int(seed % uint64(len(d.processes))),
		kind:     partitionFaults[name],
		from:     time.Now(),
	}
	if ctx.Err() == nil {
		d.record(Fault{
			For:    finalCut,
			Kind:   name,
			Target: f.instance,
		})
		d.partition(d.processes[f.instance], f.kind, finalCut)
	}
	f.to = time.Now()
	return f
}

// check checks that callers of the cut instance are served nearly as well as others, and that none
// waits for its whole time limit.
func (f *finalPartition) check(history []Exchange) []Violation {
	var out []Violation
	var cut, other serviceCount
	for i := range history {
		x := &history[i]
		if x.Sent.Before(f.from.Add(workAroundWithin)) || x.Sent.After(f.to.Add(-time.Second)) || x.CancelsEarly || x.Key != steadyKey {
			continue
		}
		if x.Instance != f.instance {
			other.add(x)
			continue
		}
		cut.add(x)
		if x.Status != http.StatusOK && x.Ended.Sub(x.Sent) >= requestTimeout {
			out = append(out, Violation{
				Guarantee: "nobody waits in vain for a time limit at an instance cut from endpoints",
				Detail:    fmt.Sprintf("request %s %s at instance %d, status %d after %s", x.ID, x.Path, x.Instance, x.Status, x.Ended.Sub(x.Sent)),
			})
		}
	}
	if cut.share() < cutServedShare*other.share() {
		out = append(out, Violation{
			Guarantee: "callers of an instance cut from endpoints are served like others",
			Detail:    fmt.Sprintf("instance %d served %d of %d, the others %d of %d, partition %d", f.instance, cut.served, cut.sent, other.served, other.sent, f.kind),
		})
	}
	return out
}

// serviceCount counts requests and those that were served.
type serviceCount struct {
	sent, served int
}

// add counts an exchange.
func (c *serviceCount) add(x *Exchange) {
	c.sent++
	if x.Status == http.StatusOK && x.Whole {
		c.served++
	}
}

// share returns the share of served requests; 1 if there were none.
func (c *serviceCount) share() float64 {
	if c.sent == 0 {
		return 1
	}
	return float64(c.served) / float64(c.sent)
}

// checkStandins checks that the stand-ins caused the faults of the schedule.
func (d *Deployment) checkStandins() []Violation {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Violation
	for _, err := range d.standinErrors {
		out = append(out, Violation{
			Guarantee: "stand-ins cause the faults of the schedule",
			Detail:    err.Error(),
		})
	}
	return out
}
