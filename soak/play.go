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

// playedStep is a step that was carried out, with when it began.
type playedStep struct {
	step  Step
	began time.Time
}

// ended returns when the step was over.
func (p *playedStep) ended() time.Time {
	return p.began.Add(p.step.For)
}

// play carries a schedule out.
func (w *World) play(ctx context.Context, steps []Step, note func(Step)) {
	begin := time.Now()
	var playing sync.WaitGroup
	defer playing.Wait()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begin.Add(s.At))):
		}
		note(s)
		w.record(s)
		playing.Go(func() { w.do(s) })
	}
}

// record keeps a step that begins now for the judge.
func (w *World) record(s Step) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.played = append(w.played, playedStep{
		step:  s,
		began: time.Now(),
	})
}

// do carries one step out and takes it back.
func (w *World) do(s Step) {
	p := w.processes[s.Target%len(w.processes)]
	e := w.endpoints[s.Target%len(w.endpoints)]
	if f, ok := storeFaults[s.Kind]; ok {
		w.store.SetFaults(f)
		time.Sleep(s.For)
		w.store.SetFaults(platformtest.StoreFaults{})
		return
	}
	if f, ok := endpointFaults[s.Kind]; ok {
		e.fail(f)
		time.Sleep(s.For)
		e.fail(platformtest.EndpointFaults{})
		return
	}
	if f, ok := statementFaults[s.Kind]; ok {
		e.fail(f)
		time.Sleep(s.For)
		e.fail(platformtest.EndpointFaults{})
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
	w.doOther(s, p, e)
}

// storeFaults are the kinds that the store plays itself.
var storeFaults = map[string]platformtest.StoreFaults{
	"store refuses":      {Refuse: true},
	"store silent":       {Silent: true},
	"store slow":         {Delay: storeDelay},
	"store loses writes": {LoseWrites: true},
}

// The delays of slow parts.
const (
	// storeDelay holds back each answer of the store: below the time-outs of
	// reads.
	storeDelay = 400 * time.Millisecond
	// linkDelay holds back each piece of data to and from an endpoint.
	linkDelay = 100 * time.Millisecond
	// slowTimes is how many times as long a slow endpoint takes.
	slowTimes = 6
	// cutAfter is the number of events after which streams are cut.
	cutAfter = 3
)

// endpointFaults are the kinds that an endpoint plays itself.
var endpointFaults = map[string]platformtest.EndpointFaults{
	"endpoint rejects":       {Reject: true},
	"endpoint fails":         {Fail: true},
	"endpoint cuts streams":  {CutAfterEvents: cutAfter},
	"endpoint silent":        {Silent: true},
	"endpoint loses answers": {LoseAnswer: true},
	"endpoint slow":          {Slowdown: slowTimes},
}

// storeLinks are the kinds of link between an instance and the store.
var storeLinks = map[string]tcptest.Link{
	"store link silent":  {Up: true, Down: true},
	"store link one way": {Down: true},
	"store link reset":   {Reset: true},
}

// endpointLinks are the kinds of link before an endpoint.
var endpointLinks = map[string]tcptest.Link{
	"endpoint link slow":    {Delay: linkDelay},
	"endpoint link reset":   {Reset: true},
	"endpoint link one way": {Down: true},
}

// doOther carries out signals and changes.
func (w *World) doOther(s Step, p *process, e *endpoint) {
	switch s.Kind {
	case "term":
		p.signal(syscall.SIGTERM, true)
		w.restart(p, s.For)
	case "kill":
		p.signal(syscall.SIGKILL, true)
		w.restart(p, s.For)
	case "freeze":
		p.signal(syscall.SIGSTOP, false)
		time.Sleep(s.For)
		p.signal(syscall.SIGCONT, false)
	case "hangup":
		p.signal(syscall.SIGHUP, false)
	case "store forgets":
		w.store.Compact(platformtest.TopicEndpoints)
		w.store.Compact(platformtest.TopicOperator)
	case "endpoint leaves":
		w.leave(e, s.For)
	case saysLeaving:
		w.leaveByAnswers(e, s.For)
	case "key taken away":
		w.takeAway()
	case "store connections silent":
		p.store.Silence()
	case endpointsSilent:
		e.proxy.Silence()
	case "all lost in an outage":
		w.loseAll(s.For)
	case "domain emptied":
		w.empty(domainOf(s.Target), s.For)
	case "endpoint starts again":
		w.startAgain(e, s.For)
	case requestCrashes:
		w.sendCrashing(s)
	}
}

// startAgain lets an endpoint start again under its name: all that it had is cut, and its
// entry tells another start.
func (w *World) startAgain(e *endpoint, away time.Duration) {
	e.proxy.Set(tcptest.Link{Reset: true})
	time.Sleep(away / restartPart)
	w.mu.Lock()
	e.born = time.Now()
	w.mu.Unlock()
	w.enter(e, false)
	e.proxy.Set(tcptest.Link{})
}

// loseAll kills all instances while the store turns everybody away, and starts them
// before it is back.
func (w *World) loseAll(outage time.Duration) {
	w.store.SetFaults(storeFaults["store refuses"])
	var all sync.WaitGroup
	for _, p := range w.processes {
		all.Go(func() {
			p.signal(syscall.SIGKILL, true)
			w.restart(p, outage)
		})
	}
	time.Sleep(outage)
	w.store.SetFaults(platformtest.StoreFaults{})
	all.Wait()
}

// restartPart divides a step's time into that for which an instance stays away after
// it has ended.
const restartPart = 4

// graceSlack is how much longer than its grace an instance may take to end before
// it is killed, as the platform does.
const graceSlack = time.Second

// restart starts an instance again after it has ended. When it was told to end
// twice only the first starts it.
func (w *World) restart(p *process, after time.Duration) {
	gone := p.gone()
	select {
	case <-gone:
	case <-time.After(grace + graceSlack):
		p.signal(syscall.SIGCONT, false)
		p.signal(syscall.SIGKILL, true)
		<-gone
	}
	time.Sleep(after / restartPart)
	if !p.claimStart(gone) {
		return
	}
	if err := w.start(p); err != nil {
		p.mu.Lock()
		p.ended++
		p.mu.Unlock()
	}
}

// leave lets an endpoint say that it leaves, and come back under another name.
func (w *World) leave(e *endpoint, after time.Duration) {
	w.enter(e, true)
	time.Sleep(after)
	w.store.DeleteEndpoint(e.Name())
	w.mu.Lock()
	w.version++
	e.SetInstance(fmt.Sprintf("%s.%d", e.Name(), w.version))
	w.mu.Unlock()
	w.enter(e, false)
}
