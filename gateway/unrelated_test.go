// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unrelatedCrashes are ways in which engines crash for another reason than their requests.
var unrelatedCrashes = []struct {
	name string
	// crash crashes the engines of round i.
	crash func(w *crashCluster, i int)
}{
	{"one after the other", func(w *crashCluster, i int) { w.crashing[i%len(w.crashing)].crash() }},
	{"half of them at once", func(w *crashCluster, i int) {
		for k, x := range w.crashing {
			if k%2 == i%2 {
				x.crash()
			}
		}
	}},
	{"all at once", func(w *crashCluster, i int) {
		if i%4 != 0 {
			return
		}
		w.await("running", func() bool { return w.answering() > 0 })
		for _, x := range w.crashing {
			x.crash()
		}
	}},
}

// TestUnrelatedCrashes guards against a ban of a harmless request that callers send repeatedly
// while engines crash for other reasons.
func TestUnrelatedCrashes(t *testing.T) {
	for _, row := range unrelatedCrashes {
		t.Run(row.name, func(t *testing.T) {
			assertNothingBanned(t, row.crash, func(string) request { return request{path: "/stream/x", body: "usual", tokens: 500} })
		})
	}
}

// TestUnrelatedCrashesWithParts guards against a ban of parts that nearly all prompts have while
// engines crash for other reasons.
func TestUnrelatedCrashesWithParts(t *testing.T) {
	for _, row := range unrelatedCrashes {
		t.Run(row.name, func(t *testing.T) {
			assertNothingBanned(t, row.crash, func(id string) request {
				return request{path: "/stream/x", body: id, tokens: 500, parts: []string{"base", "team", id}}
			})
		})
	}
}

// assertNothingBanned sends requests, which usual returns for their ids, while engines crash in twelve
// rounds, and checks that none is banned and that requests are served afterwards.
func assertNothingBanned(t *testing.T, crash func(w *crashCluster, i int), usual func(id string) request) {
	t.Helper()
	is := is.New(t)
	w := newCrashCluster(t, engineOptions())
	send := func(instance int, id string) response {
		r := usual(id)
		r.id = id
		return w.send(instance, r)
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for c := range 6 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				send(c%3, strconv.Itoa(c)+"."+strconv.Itoa(i))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for i := range 12 {
		crash(w, i)
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	is.True(w.crashes() >= 12)
	reported := 0
	for _, g := range w.gateways {
		f := w.stats(g).Quarantine
		is.Equal(f.Bans, 0)
		reported += f.Crashes
	}
	is.True(reported > 0) // some requests ran at an engine that crashed
	time.Sleep(downtime)
	w.await("served", func() bool {
		return send(0, "end").status == http.StatusOK
	})
}

// sendUntilRunning sends a request that is not resumed to instance i, and sends it again if it ends without
// running, as all engines may still be ejected. It returns once the request runs.
func (w *crashCluster) sendUntilRunning(i int) <-chan response {
	answered := make(chan response, 1)
	try := 0
	send := func() {
		try++
		id := "usual" + strconv.Itoa(i) + "." + strconv.Itoa(try)
		go func() {
			answered <- w.send(i%len(w.gateways), request{id: id, path: "/once/x", body: "usual", tokens: 500})
		}()
	}
	send()
	w.await("running", func() bool {
		select {
		case <-answered:
			send()
		default:
		}
		return w.answering() == 1
	})
	return answered
}

// TestIdleEndpointsEndToo guards against a ban of a harmless request if all engines end at once, time
// after time, and only one of them runs a request, so that nobody reports the ends of the others.
func TestIdleEndpointsEndToo(t *testing.T) {
	is := is.New(t)
	o := engineOptions()
	o.events = 1000
	// Crashes at one address within a second count as one.
	o.downtime = 1200 * time.Millisecond
	w := newCrashCluster(t, o)
	for i := range minCrashes {
		answered := w.sendUntilRunning(i)
		for _, x := range w.crashing {
			x.crash()
		}
		answer := <-answered
		is.True(answer.err != nil || answer.status != http.StatusOK)
		time.Sleep(o.downtime)
		w.awaitAll("engines are back", func(f stats) bool { return f.Pools[o.service].Endpoints == len(w.crashing) })
	}
	reported := 0
	for _, g := range w.gateways {
		f := w.stats(g).Quarantine
		is.Equal(f.Bans, 0)
		reported += f.Crashes
	}
	is.True(reported >= minCrashes)
}
