// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/linkmast/linkmast/internal/tcp/tcptest"
	"github.com/linkmast/linkmast/platform/platformtest"
)

// playedFault is a fault with the time at which it began.
type playedFault struct {
	fault Fault
	began time.Time
}

// ended returns when the fault ends according to its duration.
func (p *playedFault) ended() time.Time {
	return p.began.Add(p.fault.For)
}

// play injects the faults of a schedule and calls note for each. It returns when all faults
// that have begun have ended. It begins no further ones after the end of ctx.
func (d *Deployment) play(ctx context.Context, schedule []Fault, note func(Fault)) {
	begin := time.Now()
	var playing sync.WaitGroup
	defer playing.Wait()
	for _, s := range schedule {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begin.Add(s.At))):
		}
		note(s)
		d.record(s)
		playing.Go(func() { d.do(s) })
	}
}

// record stores a fault that begins now for the checks at the end of the run.
func (d *Deployment) record(s Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.played = append(d.played, playedFault{
		fault: s,
		began: time.Now(),
	})
}

// do injects a fault and, if the fault lasts, removes it after its duration.
func (d *Deployment) do(s Fault) {
	p := d.processes[s.Target%len(d.processes)]
	e := d.endpoints[s.Target%len(d.endpoints)]
	if f, ok := storeFaults[s.Kind]; ok {
		d.store.SetFaults(f)
		time.Sleep(s.For)
		d.store.SetFaults(platformtest.StoreFaults{})
		return
	}
	if f, ok := endpointFaults[s.Kind]; ok {
		e.setFaults(f)
		time.Sleep(s.For)
		e.setFaults(platformtest.EndpointFaults{})
		return
	}
	if f, ok := statementFaults[s.Kind]; ok {
		e.setFaults(f)
		time.Sleep(s.For)
		e.setFaults(platformtest.EndpointFaults{})
		return
	}
	if f, ok := truncationFaults[s.Kind]; ok {
		d.truncate(s, e, f)
		return
	}
	if play, ok := startFaults[s.Kind]; ok {
		d.restartDuring(s, p, play)
		return
	}
	if s.Kind == partCrashes {
		d.sendCrashingParts(s)
		return
	}
	if s.Kind == enginesCut {
		d.cutEngines(s)
		return
	}
	if k, ok := partitionFaults[s.Kind]; ok {
		d.partition(p, k, s.For)
		return
	}
	if l, ok := storeLinks[s.Kind]; ok {
		p.store.Set(l)
		time.Sleep(s.For)
		p.store.Set(tcptest.Link{})
		return
	}
	if l, ok := endpointLinks[s.Kind]; ok {
		e.proxy.Set(l)
		time.Sleep(s.For)
		e.proxy.Set(tcptest.Link{})
		return
	}
	d.doOther(s, p, e)
}

// storeFaults maps kinds of faults to the faults that are set on the stand-in store.
var storeFaults = map[string]platformtest.StoreFaults{
	"store refuses":      {Refuse: true},
	"store silent":       {Silent: true},
	"store slow":         {Delay: storeDelay},
	"store loses writes": {LoseWrites: true},
}

// Parameters of the faults.
const (
	// storeDelay delays each response of the store. It is below the timeouts for reading the
	// store.
	storeDelay = 400 * time.Millisecond
	// linkDelay delays each chunk of data to and from an endpoint.
	linkDelay = 100 * time.Millisecond
	// slowFactor is the factor by which the work of a slow endpoint takes longer.
	slowFactor = 6
	// cutAfter is the number of events after which an endpoint cuts a stream.
	cutAfter = 3
)

// endpointFaults maps kinds of faults to the faults that are set on a stand-in endpoint.
var endpointFaults = map[string]platformtest.EndpointFaults{
	"endpoint rejects":       {Reject: true},
	"endpoint fails":         {Fail: true},
	"endpoint cuts streams":  {CutAfterEvents: cutAfter},
	"endpoint silent":        {Silent: true},
	"endpoint loses answers": {LoseAnswer: true},
	"endpoint slow":          {Slowdown: slowFactor},
}

// storeLinks maps kinds of faults to the faults that are set on the proxy between an instance and
// the store.
var storeLinks = map[string]tcptest.Link{
	"store link silent":  {BlockUp: true, BlockDown: true},
	"store link one way": {BlockDown: true},
	"store link reset":   {Reset: true},
}

// endpointLinks maps kinds of faults to the faults that are set on the proxy in front of an
// endpoint.
var endpointLinks = map[string]tcptest.Link{
	"endpoint link slow":    {Delay: linkDelay},
	"endpoint link reset":   {Reset: true},
	"endpoint link one way": {BlockDown: true},
}

// doOther injects the faults that signal processes, silence connections, write to the store or
// need several actions.
func (d *Deployment) doOther(s Fault, p *process, e *endpoint) {
	switch s.Kind {
	case "term":
		p.signal(syscall.SIGTERM, true)
		d.restart(p, s.For)
	case "kill":
		p.signal(syscall.SIGKILL, true)
		d.restart(p, s.For)
	case "freeze":
		p.signal(syscall.SIGSTOP, false)
		time.Sleep(s.For)
		p.signal(syscall.SIGCONT, false)
	case "hangup":
		p.signal(syscall.SIGHUP, false)
	case "store forgets":
		d.store.Compact(platformtest.TopicEndpoints)
		d.store.Compact(platformtest.TopicOperator)
	case malformedEntries:
		d.writeMalformed(s)
	case headsCut:
		d.cutHeads(s, e)
	case "endpoint leaves":
		d.leave(e, s.For)
	case saysLeaving:
		d.leaveByAnswers(e, s.For)
	case "key taken away":
		d.rotateKey()
	case storeRestored:
		d.restoreStore(s.For)
	case "store connections silent":
		p.store.Silence()
	case endpointsSilent:
		e.proxy.Silence()
	case "all lost in an outage":
		d.loseAll(s.For)
	case "domain emptied":
		d.drain(domainOf(s.Target), s.For)
	case "endpoint starts again":
		d.restartEndpoint(e, s.For)
	case requestCrashes:
		d.sendCrashing(s)
	}
}

// restartEndpoint restarts an endpoint under its name: it resets the connections and writes an
// entry with a new start time.
func (d *Deployment) restartEndpoint(e *endpoint, away time.Duration) {
	e.proxy.Set(tcptest.Link{Reset: true})
	time.Sleep(away / restartDivisor)
	d.mu.Lock()
	e.startedAt = time.Now()
	d.mu.Unlock()
	d.writeEntry(e, false)
	e.proxy.Set(tcptest.Link{})
}

// loseAll kills all instances while the store refuses requests, and restarts them before the
// outage ends.
func (d *Deployment) loseAll(outage time.Duration) {
	d.store.SetFaults(storeFaults["store refuses"])
	var all sync.WaitGroup
	for _, p := range d.processes {
		all.Go(func() {
			p.signal(syscall.SIGKILL, true)
			d.restart(p, outage)
		})
	}
	time.Sleep(outage)
	d.store.SetFaults(platformtest.StoreFaults{})
	all.Wait()
}

// restartDivisor is the divisor of a fault's duration that yields how long an instance or
// endpoint stays down.
const restartDivisor = 4

// graceSlack is how much longer than grace an instance may take to stop before it is killed.
const graceSlack = time.Second

// restart waits until an instance has exited, killing it if it exceeds its grace period, and
// starts it again. If several calls wait for the same exit, only one of them starts the
// instance.
func (d *Deployment) restart(p *process, after time.Duration) {
	exited := p.done()
	select {
	case <-exited:
	case <-time.After(grace + graceSlack):
		p.signal(syscall.SIGCONT, false)
		p.signal(syscall.SIGKILL, true)
		<-exited
	}
	time.Sleep(after / restartDivisor)
	if !p.claimStart(exited) {
		return
	}
	p.countFailedStart(d.start(p))
}

// countFailedStart counts a failure to start the program as an unexpected exit.
func (p *process) countFailedStart(err error) {
	if err == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unexpectedExits = append(p.unexpectedExits, err.Error())
}

// leave marks the entry of an endpoint as leaving, removes the entry after the given time, and
// writes an entry for the endpoint under a new name.
func (d *Deployment) leave(e *endpoint, after time.Duration) {
	d.writeEntry(e, true)
	time.Sleep(after)
	d.store.DeleteEndpoint(e.Name())
	d.mu.Lock()
	d.version++
	e.SetInstance(fmt.Sprintf("%s.%d", e.Name(), d.version))
	d.mu.Unlock()
	d.writeEntry(e, false)
}
