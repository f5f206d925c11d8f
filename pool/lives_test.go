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

// lifeWorld is a scheduler with endpoints that may start again.
type lifeWorld struct {
	t    *testing.T
	s    *Scheduler
	snap *catalog.Snapshot
	now  time.Time
}

// firstLife is when the endpoints of a lifeWorld started.
var firstLife = time.UnixMilli(1796256000000)

// newLifeWorld returns a scheduler that knows n endpoints of the services "engines" and
// "plain" each, with two slots.
func newLifeWorld(t *testing.T, n int) *lifeWorld {
	t.Helper()
	w := &lifeWorld{
		t: t,
		snap: &catalog.Snapshot{
			Table: route.New(1, nil, []route.Service{
				{
					Name: "engines",
					Engine: &batch.Model{
						Slots:         2,
						Capacity:      100_000,
						Stride:        10,
						Step:          time.Millisecond,
						ReadPerSecond: 100_000,
					},
				},
				{
					Name: "plain",
				},
			}, nil, false, route.Limits{}),
			Endpoints: make(map[string]catalog.Endpoint),
		},
		now: firstLife.Add(time.Hour),
	}
	w.s = NewScheduler(Settings{
		Self: "n0",
		Now:  func() time.Time { return w.now },
	}, logr.Discard())
	for i := range n {
		w.start(fmt.Sprintf("e%d", i), "engines", firstLife)
		w.start(fmt.Sprintf("p%d", i), "plain", firstLife)
	}
	return w
}

// start makes the entry of an endpoint known that started at a moment.
func (w *lifeWorld) start(name, service string, born time.Time) {
	w.snap.Endpoints[name] = catalog.Endpoint{
		Instance: name,
		Service:  service,
		Address:  name + ":1",
		Slots:    2,
		Born:     born,
	}
	w.s.Update(w.snap)
}

// place places a request and fails the test when it gets no place at once.
func (w *lifeWorld) place(id, service string, prompt int) Grant {
	w.t.Helper()
	wait := w.s.Submit(w.ask(id, service, prompt))
	g, _, ok := wait.Decision()
	if !ok || g.Instance == "" {
		w.t.Fatalf("%s got no place", id)
	}
	return g
}

func (w *lifeWorld) ask(id, service string, prompt int) PlacementRequest {
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
func (w *lifeWorld) running(name, service string) int {
	return len(w.s.pools[service].engines[name].Jobs)
}

// failing states whether an endpoint is set aside.
func (w *lifeWorld) failing(name, service string) bool {
	h := w.s.pools[service].health[name]
	return !h.all.usable(w.now) || !h.own.usable(w.now)
}

// fail makes an endpoint fail until it is set aside.
func (w *lifeWorld) fail(name, service string) {
	w.t.Helper()
	for i := range 20 {
		if w.failing(name, service) {
			return
		}
		id := fmt.Sprintf("fails-%s-%d", name, i)
		w.place(id, service, 100)
		w.s.EndBy(id, service, Unreachable, name, fmt.Sprint("n", i%2))
	}
	w.t.Fatal("the endpoint is not set aside")
}

// TestNewLife lets the only endpoint of a service start again while requests run there and
// after it failed.
func TestNewLife(t *testing.T) {
	for service, name := range map[string]string{"engines": "e0", "plain": "p0"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			w := newLifeWorld(t, 1)
			w.fail(name, service)
			w.now = w.now.Add(lastAside)
			w.place("one", service, 1000)
			w.place("two", service, 1000)
			w.s.Shunned(service)
			w.start(name, service, firstLife.Add(time.Minute))
			is.Equal(w.running(name, service), 0)
			is.Equal(len(w.s.pools[service].placed), 0)
			is.True(!w.failing(name, service))
			is.Equal(w.s.pools[service].health[name].rate, 0.0)
			g := w.place("three", service, 1000)
			is.Equal(g.StartedAt, firstLife.Add(time.Minute))
			// What the older life's requests came to is no matter of the new one.
			for range 5 {
				w.s.EndBy("one", service, Unreachable, name, "n1")
				w.s.EndBy("two", service, Unreachable, name, "n2")
			}
			is.True(!w.failing(name, service))
			is.Equal(w.running(name, service), 1)
		})
	}
}

// TestSameLife looks that an entry of the life that is known, or one that does not say,
// ends nothing.
func TestSameLife(t *testing.T) {
	for _, born := range []time.Time{firstLife, {}} {
		is := is.New(t)
		w := newLifeWorld(t, 1)
		w.place("one", "engines", 1000)
		w.start("e0", "engines", born)
		is.Equal(w.running("e0", "engines"), 1)
		w.start("e0", "engines", firstLife)
		is.Equal(w.running("e0", "engines"), 1)
	}
}

// TestNewLifeOfReader lets one of the engines start again that read a prompt together.
func TestNewLifeOfReader(t *testing.T) {
	is := is.New(t)
	w := newLifeWorld(t, 4)
	a := w.ask("long", "engines", 90_000)
	a.Target = 500 * time.Millisecond
	g, _, _ := w.s.Submit(a).Decision()
	is.True(len(g.Shares) > 0)
	w.place("beside", "engines", 1000)
	reader := g.Shares[0].Instance
	before := w.running(reader, "engines")
	w.start(reader, "engines", firstLife.Add(time.Minute))
	is.Equal(w.running(reader, "engines"), before-1)
	is.True(w.s.pools["engines"].placed["long"] != nil) // its engine has to notice
	w.s.End("long", "engines", Failed, "")
	is.Equal(w.running(g.Instance, "engines"), 0)
}

// TestOlderLifeAdopted tells a scheduler of attempts that others placed at lives of an
// endpoint.
func TestOlderLifeAdopted(t *testing.T) {
	is := is.New(t)
	w := newLifeWorld(t, 1)
	second, third := firstLife.Add(time.Minute), firstLife.Add(2*time.Minute)
	w.start("e0", "engines", second)
	w.s.Adopt(w.ask("old", "engines", 1000), Grant{
		Instance:  "e0",
		StartedAt: firstLife,
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
	is.True(w.s.pools["engines"].placed["new"] != nil)
}
