// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crashPart is the id of the part of prompts that crashes engines in these tests.
const crashPart = "bad0"

// The bounds on requests with a part that crashes engines.
const (
	// partCrashes is the number of crashes after which the instances must recognize the part, and
	// partWithin the time in which they must then stop to send requests with it to engines.
	partCrashes = 5
	partWithin  = 3 * time.Second
	// maxLateParts is how many requests with the part may reach engines later.
	maxLateParts = 3
	// partLoad is how long requests are sent after that time.
	partLoad = 2 * time.Second
)

// partCluster is a crashCluster whose engines crash on a part of prompts, with callers of sound
// requests and of requests with this part.
type partCluster struct {
	*crashCluster
	path string
	// parts returns the parts of the ith request that crashes its engine.
	parts func(i int) []string
	stop  chan struct{}
	// callers are running until stop is closed.
	callers sync.WaitGroup

	mu sync.Mutex
	// sound has the answers to sound requests with the times at which they were sent.
	sound []sentAt
}

// sentAt is an answer and the time at which its request was sent.
type sentAt struct {
	at     time.Time
	answer response
}

// newPartCluster starts three instances, 16 engines that are down for a second after a crash, and
// the callers.
func newPartCluster(t *testing.T, path string, parts func(i int) []string) *partCluster {
	t.Helper()
	o := engineOptions()
	o.part, o.endpoints, o.downtime = crashPart, 16, time.Second
	w := &partCluster{
		crashCluster: newCrashCluster(t, o),
		path:         path,
		parts:        parts,
		stop:         make(chan struct{}),
	}
	for c := range 6 {
		w.callers.Go(func() { w.sendSound(c) })
	}
	w.await("sound requests are answered", func() bool { return w.served(time.Time{}) >= 30 })
	w.callers.Go(w.sendBad)
	return w
}

// sendSound sends sound requests, which share their caller and all parts but the last with the
// others.
func (w *partCluster) sendSound(caller int) {
	for i := 0; !w.stopped(); i++ {
		id := "sound" + strconv.Itoa(caller) + "." + strconv.Itoa(i)
		at := time.Now()
		answer := w.send(caller%len(w.gateways), request{id: id, path: w.path, body: id, tokens: 500, parts: []string{"base", "team", "doc" + strconv.Itoa(i%3), id}})
		w.mu.Lock()
		w.sound = append(w.sound, sentAt{
			at:     at,
			answer: answer,
		})
		w.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// sendBad sends requests with the part that crashes engines, no two alike, to all instances in turn,
// six a second.
func (w *partCluster) sendBad() {
	for i := 0; !w.stopped(); i++ {
		id := "bad" + strconv.Itoa(i)
		w.callers.Go(func() {
			w.send(i%len(w.gateways), request{id: id, path: w.path, body: id, tokens: 500, parts: append(w.parts(i), id)})
		})
		time.Sleep(time.Second / 6)
	}
}

// stopped reports whether the callers are to stop.
func (w *partCluster) stopped() bool {
	select {
	case <-w.stop:
		return true
	default:
		return false
	}
}

// served returns the number of sound requests sent since a time that have a whole answer.
func (w *partCluster) served(since time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.sound {
		if s.at.After(since) && s.answer.err == nil && s.answer.status == http.StatusOK {
			n++
		}
	}
	return n
}

// sentSince returns the number of sound requests sent since a time that have ended.
func (w *partCluster) sentSince(since time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.sound {
		if s.at.After(since) {
			n++
		}
	}
	return n
}

// badRuns returns the times at which requests with the part reached engines, in order.
func (w *partCluster) badRuns() []time.Time {
	var out []time.Time
	for _, x := range w.crashing {
		for _, r := range x.endpoint.Runs() {
			if len(r.ID) > 3 && r.ID[:3] == "bad" {
				out = append(out, r.At)
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// assertPartContained waits until the part must have been recognized, and checks that hardly any
// request with it reaches an engine from then on, while sound requests are served.
func (w *partCluster) assertPartContained(t *testing.T) {
	t.Helper()
	is := is.New(t)
	// A ban may come before the number of crashes that the bound counts from.
	w.await("crashes", func() bool { return len(w.badRuns()) >= partCrashes || w.banned() })
	runs := w.badRuns()
	from := runs[min(len(runs), partCrashes)-1].Add(partWithin)
	time.Sleep(time.Until(from.Add(partLoad)))
	close(w.stop)
	w.callers.Wait()
	late := 0
	for _, at := range w.badRuns() {
		if at.After(from) {
			late++
		}
	}
	served, sent := w.served(from), w.sentSince(from)
	t.Logf("%d requests with the part reached engines, %d late; %d of %d sound ones served", len(w.badRuns()), late, served, sent)
	is.True(late <= maxLateParts)
	is.True(sent >= 20)
	is.True(served*10 >= sent*9)
}

// banned reports whether an instance has banned anything.
func (w *partCluster) banned() bool {
	for _, g := range w.gateways {
		if w.stats(g).Quarantine.Bans > 0 {
			return true
		}
	}
	return false
}

// TestCrashingPart guards against requests that share a part of their prompts which crashes engines,
// and are alike in nothing else.
func TestCrashingPart(t *testing.T) {
	for _, row := range []struct {
		name  string
		path  string
		parts func(i int) []string
	}{
		{"first place", "/stream/x", func(i int) []string { return []string{crashPart, "team", "doc" + strconv.Itoa(i%3)} }},
		{"middle, streams that are not resumable", "/once/x", func(i int) []string { return []string{"base", crashPart, "doc" + strconv.Itoa(i%3)} }},
		{"last but one place", "/stream/x", func(int) []string { return []string{"base", "team", crashPart} }},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := newPartCluster(t, row.path, row.parts)
			w.assertPartContained(t)
		})
	}
}
