// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/route"
)

// incarnationHarness is a scheduler with endpoints that may start again.
type incarnationHarness struct {
	t    *testing.T
	s    *Scheduler
	snap *catalog.Snapshot
	now  time.Time
}

// firstIncarnation is when the endpoints of a lifeWorld started.
var firstIncarnation = time.UnixMilli(1796256000000)

// newIncarnationHarness returns a scheduler that knows n endpoints of the services "engines" and
// "plain" each, with two slots.
func newIncarnationHarness(t *testing.T, n int) *incarnationHarness {
	t.Helper()
	w := &incarnationHarness{
		t: t,
		snap: &catalog.Snapshot{
			Table: route.New(1, nil, []route.Service{
				{
					Name: "engines",
					Engine: &batch.Model{
						Slots:            2,
						Capacity:         100_000,
						StepsPerPass:     10,
						Step:             time.Millisecond,
						PrefillPerSecond: 100_000,
					},
				},
				{
					Name: "plain",
				},
			}, nil, false, route.Limits{}),
			Endpoints: make(map[string]catalog.Endpoint),
		},
		now: firstIncarnation.Add(time.Hour),
	}
	w.s = NewScheduler(Settings{
		Self: "n0",
		Now:  func() time.Time { return w.now },
	}, logr.Discard())
	for i := range n {
		w.start(fmt.Sprintf("e%d", i), "engines", firstIncarnation)
		w.start(fmt.Sprintf("p%d", i), "plain", firstIncarnation)
	}
	return w
}

// start makes the entry of an endpoint known that started at a moment.
func (w *incarnationHarness) start(name, service string, born time.Time) {
	w.snap.Endpoints[name] = catalog.Endpoint{
		Instance:  name,
		Service:   service,
		Address:   name + ":1",
		Slots:     2,
		StartedAt: born,
	}
	w.s.Update(w.snap)
}

// place places a request and fails the test when it gets no place at once.
func (w *incarnationHarness) place(id, service string, prompt int) Grant {
	w.t.Helper()
	wait := w.s.Submit(w.ask(id, service, prompt))
	g, _, ok := wait.Decision()
	if !ok || g.Instance == "" {
		w.t.Fatalf("%s got no place", id)
	}
	return g
}

func (w *incarnationHarness) ask(id, service string, prompt int) PlacementRequest {
	return PlacementRequest{
		ID:       id,
		Service:  service,
		Prompt:   prompt,
		Output:   100,
		Target:   2 * time.Second,
		Deadline: 10 * time.Second,
	}
}

// running returns how many jobs an endpoint is thought to have.
func (w *incarnationHarness) running(name, service string) int {
	return len(w.s.pools[service].engines[name].Jobs)
}

// failing states whether an endpoint is set aside.
func (w *incarnationHarness) failing(name, service string) bool {
	h := w.s.pools[service].health[name]
	return !h.shared.usable(w.now) || !h.own.usable(w.now)
}

// fail makes an endpoint fail until it is set aside.
func (w *incarnationHarness) fail(name, service string) {
	w.t.Helper()
	for i := range 20 {
		if w.failing(name, service) {
			return
		}
		id := fmt.Sprintf("fails-%s-%d", name, i)
		w.place(id, service, 100)
		w.s.EndFrom(id, service, Unreachable, name, fmt.Sprint("n", i%2))
	}
	w.t.Fatal("the endpoint is not set aside")
}

// TestNewLife lets the only endpoint of a service start again while requests run there and
// after it failed.
func TestNewLife(t *testing.T) {
	for service, name := range map[string]string{"engines": "e0", "plain": "p0"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			w := newIncarnationHarness(t, 1)
			w.fail(name, service)
			w.now = w.now.Add(maxEjection)
			w.place("one", service, 1000)
			w.place("two", service, 1000)
			w.s.UnusableEndpoints(service)
			w.start(name, service, firstIncarnation.Add(time.Minute))
			is.Equal(w.running(name, service), 0)
			is.Equal(len(w.s.pools[service].attempts), 0)
			is.True(!w.failing(name, service))
			is.Equal(w.s.pools[service].health[name].failureRate, 0.0)
			g := w.place("three", service, 1000)
			is.Equal(g.StartedAt, firstIncarnation.Add(time.Minute))
			// What the older life's requests came to is no matter of the new one.
			for range 5 {
				w.s.EndFrom("one", service, Unreachable, name, "n1")
				w.s.EndFrom("two", service, Unreachable, name, "n2")
			}
			is.True(!w.failing(name, service))
			is.Equal(w.running(name, service), 1)
		})
	}
}

// TestSameLife looks that an entry of the life that is known, or one that does not say,
// ends nothing.
func TestSameLife(t *testing.T) {
	for _, born := range []time.Time{firstIncarnation, {}} {
		is := is.New(t)
		w := newIncarnationHarness(t, 1)
		w.place("one", "engines", 1000)
		w.start("e0", "engines", born)
		is.Equal(w.running("e0", "engines"), 1)
		w.start("e0", "engines", firstIncarnation)
		is.Equal(w.running("e0", "engines"), 1)
	}
}

// TestNewLifeOfReader lets one of the engines start again that read a prompt together.
func TestNewLifeOfReader(t *testing.T) {
	is := is.New(t)
	w := newIncarnationHarness(t, 4)
	a := w.ask("long", "engines", 90_000)
	a.Target = 500 * time.Millisecond
	g, _, _ := w.s.Submit(a).Decision()
	is.True(len(g.Shares) > 0)
	w.place("beside", "engines", 1000)
	reader := g.Shares[0].Instance
	before := w.running(reader, "engines")
	w.start(reader, "engines", firstIncarnation.Add(time.Minute))
	is.Equal(w.running(reader, "engines"), before-1)
	is.True(w.s.pools["engines"].attempts["long"] != nil) // its engine has to notice
	w.s.End("long", "engines", Failed, "")
	is.Equal(w.running(g.Instance, "engines"), 0)
}

// TestOlderLifeAdopted tells a scheduler of attempts that others placed at lives of an
// endpoint.
func TestOlderLifeAdopted(t *testing.T) {
	is := is.New(t)
	w := newIncarnationHarness(t, 1)
	second, third := firstIncarnation.Add(time.Minute), firstIncarnation.Add(2*time.Minute)
	w.start("e0", "engines", second)
	w.s.Adopt(w.ask("old", "engines", 1000), Grant{
		Instance:  "e0",
		StartedAt: firstIncarnation,
	}, true)
	is.Equal(w.running("e0", "engines"), 0)
	w.s.Adopt(w.ask("new", "engines", 1000), Grant{
		Instance:  "e0",
		StartedAt: third, // whoever decided knows of it already
	}, false)
	w.s.Adopt(w.ask("untold", "engines", 1000), Grant{
		Instance: "e0",
	}, false)
	is.Equal(w.running("e0", "engines"), 2)
	w.start("e0", "engines", third)
	is.Equal(w.running("e0", "engines"), 1)
	is.True(w.s.pools["engines"].attempts["new"] != nil)
}
