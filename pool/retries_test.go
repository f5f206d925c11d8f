// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/route"
)

// testBudget is the retry budget of these tests; instances may use 12 and 15 of 100 first sends.
var testBudget = Budget{
	Ratio:  0.2,
	Extra:  16,
	Window: 10 * time.Second,
}

// TestSendWindow compares a window with the exact times of the sends: it must never miss a retry of
// the last window, nor count an older first send.
func TestSendWindow(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	l := newRetryLedger(testBudget, start)
	self := process{
		instance: "a",
	}
	known := newProcesses(self, start)
	var first, retries []time.Time
	within := func(times []time.Time, now time.Time) int {
		n := 0
		for _, at := range times {
			if now.Sub(at) < testBudget.Window {
				n++
			}
		}
		return n
	}
	now := start
	for range 5000 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(50*time.Millisecond)))
		switch rng.IntN(4) {
		case 0:
			l.countRetry(&known, self, now)
			retries = append(retries, now)
		case 1:
			now = now.Add(time.Duration(rng.Int64N(int64(200 * time.Millisecond))))
		default:
			l.countFirst(&known, self, now)
			first = append(first, now)
		}
		u := l.use(&known, now)
		is.True(u.own.retries >= within(retries, now))
		is.True(u.own.first <= within(first, now))
		is.Equal(u.own, u.all)
	}
	u := l.use(&known, now.Add(12*time.Second))
	is.Equal(u.own, sendCounts{})
}

// TestSendsMessage guards against sends that a new owner forgets too early, or that it counts
// twice.
func TestSendsMessage(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	clock := func() time.Time { return now }
	entry, owner := testScheduler("entry", clock), testScheduler("owner", clock)
	for i := range 9 {
		now = now.Add(900 * time.Millisecond)
		entry.CountFirst("s")
		if i%3 == 0 {
			entry.submitFor(retry(fmt.Sprint("r", i)), "entry", false)
		}
	}
	owner.connectProcess(entry.processes.self, entry.running())
	report := func() {
		for _, m := range entry.sends() {
			owner.applySends("entry", m.GetSends())
		}
	}
	report()
	report()
	use := func() retryUse { return owner.pool("s").retries.use(&owner.processes, now) }
	is.Equal(use().all, sendCounts{first: 9, retries: 3})
	is.Equal(use().own, sendCounts{}) // the entry instance decides by itself
	owner.setDecider("entry", "s", "owner")
	is.Equal(use().own, use().all)
	owner.disconnectProcess(entry.processes.self)
	is.Equal(use().own, sendCounts{retries: 3})
	now = now.Add(8 * time.Second)
	is.Equal(use().own.retries, 1) // within the last ten seconds
	now = now.Add(14 * time.Second)
	is.Equal(use().all, sendCounts{})
}

// TestAnswersKnownSince guards against an instance that takes answers for known although most of those that
// report them have just been started, or for unknown because it has been itself.
func TestAnswersKnownSince(t *testing.T) {
	for _, row := range []struct {
		name string
		// running has the time that each connected process has been running; the first is the
		// instance's own.
		running []time.Duration
		known   time.Duration
	}{
		{"alone", []time.Duration{3 * time.Second}, 3 * time.Second},
		{"just started among others", []time.Duration{time.Second, time.Minute, time.Hour}, time.Minute},
		{"most have just been started", []time.Duration{time.Hour, 2 * time.Second, time.Second}, 2 * time.Second},
		{"one of two has", []time.Duration{time.Second, time.Minute}, time.Minute},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			s := NewScheduler(Settings{
				Self: "own",
				Now:  func() time.Time { return now },
			}, logr.Discard())
			now = now.Add(row.running[0])
			for i, running := range row.running[1:] {
				p := process{
					instance: fmt.Sprint("n", i),
				}
				s.connectProcess(p, running)
				gone := process{
					instance: p.instance,
					id:       1,
				}
				s.connectProcess(gone, 9*time.Hour)
				s.disconnectProcess(gone)
			}
			is.Equal(now.Sub(s.AnswersKnownSince()), row.known)
		})
	}
}

// testScheduler returns the scheduler of an instance that has been running for longer than a window
// and knows a service "s" with one endpoint; without a model, the service is plain.
func testScheduler(self string, now func() time.Time, model ...*batch.Model) *Scheduler {
	service := route.Service{
		Name: "s",
	}
	if len(model) > 0 {
		service.Engine = model[0]
	}
	s := NewScheduler(Settings{
		Self:    self,
		Retries: testBudget,
		Now:     now,
	}, logr.Discard())
	s.processes.records[s.processes.self].startedAt = now().Add(-time.Minute)
	s.Update(&catalog.Snapshot{
		Table: route.New(1, nil, []route.Service{service}, nil, false, route.Limits{}),
		Endpoints: map[string]catalog.Endpoint{
			"e": {
				Instance: "e",
				Service:  "s",
				Slots:    20,
			},
		},
	})
	return s
}

// retry returns the placement request of a retry.
func retry(id string) PlacementRequest {
	return PlacementRequest{
		ID:       id,
		Service:  "s",
		Retry:    true,
		Target:   20 * time.Second,
		Deadline: time.Minute,
	}
}

// submit submits n retries with numbered names and returns their waiters.
func submitRetries(s *Scheduler, name string, n int) []*Waiter {
	var out []*Waiter
	for i := range n {
		out = append(out, s.Submit(retry(fmt.Sprint(name, i))))
	}
	return out
}

// assertPlaced checks how many of the waiters have a grant, and that the others were refused because
// of the budget. It returns the ids of the placed ones.
func assertPlaced(t *testing.T, waiters []*Waiter, want int) []string {
	t.Helper()
	is := is.New(t)
	var placed []string
	for _, w := range waiters {
		_, refusal, decided := w.Decision()
		is.True(decided)
		if refusal == nil {
			placed = append(placed, w.placementRequest.ID)
			continue
		}
		is.Equal(refusal.Reason, "retry budget is spent")
	}
	is.Equal(len(placed), want)
	return placed
}

// TestRetryThatReachesNoEndpoint guards against retries that are charged to the budget although no
// endpoint received them.
func TestRetryThatReachesNoEndpoint(t *testing.T) {
	for _, row := range []struct {
		outcome Outcome
		// again is how many more retries are placed.
		again int
	}{
		{Unused, 12},
		{Unreachable, 12},
		{Rejected, 0},
		{Failed, 0},
		{Served, 0},
	} {
		t.Run(row.outcome.String(), func(t *testing.T) {
			now := time.Now()
			s := testScheduler("n", func() time.Time { return now })
			for _, id := range assertPlaced(t, submitRetries(s, "a", 20), 12) {
				s.End(id, "s", row.outcome, "")
			}
			assertPlaced(t, submitRetries(s, "b", 20), row.again)
		})
	}
}

// TestRepeatedPlacementCountsOnce guards against a request that raises the budget with each placement
// that it asks for before it reaches an endpoint.
func TestRepeatedPlacementCountsOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := testScheduler("n", func() time.Time { return now })
	for i := range 5 {
		a := retry(fmt.Sprint("a", i))
		a.Retry, a.Counted = false, i > 0
		s.Submit(a)
		s.End(a.ID, "s", Unreachable, "")
	}
	is.Equal(s.Stats()["s"].FirstSends, 1)
}

// TestWaitingRetryCountsWhenPlaced guards against retries that were allowed in one window and reach
// endpoints together with those of the next one.
func TestWaitingRetryCountsWhenPlaced(t *testing.T) {
	now := time.Now()
	s := testScheduler("n", func() time.Time { return now }, &batch.Model{
		Slots:            20,
		Capacity:         100_000,
		StepsPerPass:     10,
		Step:             time.Millisecond,
		PrefillPerSecond: 1e6,
	})
	var running []string
	for i := range 20 {
		a := retry(fmt.Sprint("first", i))
		a.Retry, a.Counted = false, true
		s.Submit(a)
		running = append(running, a.ID)
	}
	waiting := submitRetries(s, "waiting", 12)
	assertPlaced(t, submitRetries(s, "refused", 5), 0) // those that wait have taken the budget
	now = now.Add(9 * time.Second)
	for _, id := range running {
		s.End(id, "s", Served, "")
	}
	s.Review()
	assertPlaced(t, waiting, 12)
	now = now.Add(5 * time.Second)
	assertPlaced(t, submitRetries(s, "early", 5), 0)
	now = now.Add(7 * time.Second)
	assertPlaced(t, submitRetries(s, "late", 5), 5)
}

// TestRetryShares checks which part of Extra an instance may use, by what it knows of the four
// others.
func TestRetryShares(t *testing.T) {
	for _, row := range []struct {
		name  string
		learn func(s *Scheduler, others []*Scheduler)
		share float64
	}{
		{"alone", func(*Scheduler, []*Scheduler) {}, 1.0 / 5},
		{"decides for all", func(s *Scheduler, others []*Scheduler) { connect(s, others, "n") }, 1},
		{"another decides for two", func(s *Scheduler, others []*Scheduler) {
			connect(s, others[:2], "n")
			connect(s, others[2:], "m0")
		}, 3.0 / 5},
		{"one has ended", func(s *Scheduler, others []*Scheduler) {
			connect(s, others, "n")
			s.disconnectProcess(others[0].processes.self)
		}, 4.0 / 5},
		{"one was started again", func(s *Scheduler, others []*Scheduler) {
			connect(s, others, "n")
			s.disconnectProcess(others[0].processes.self)
			connect(s, []*Scheduler{NewScheduler(others[0].settings, logr.Discard())}, "n")
		}, 1},
		{"one has just started", func(s *Scheduler, others []*Scheduler) {
			connect(s, others[1:], "n")
			connect(s, []*Scheduler{NewScheduler(others[0].settings, logr.Discard())}, "n")
		}, 4.125 / 5},
		{"this one decides no longer", func(s *Scheduler, others []*Scheduler) {
			connect(s, others, "m0")
			s.setDecider("n", "s", "m0")
		}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			now := time.Now()
			clock := func() time.Time { return now }
			s := testScheduler("n", clock)
			peers := map[string]catalog.Peer{}
			var others []*Scheduler
			for i := range 4 {
				other := testScheduler(fmt.Sprint("m", i), clock)
				others = append(others, other)
				peers[other.settings.Self] = catalog.Peer{
					ID: other.settings.Self,
				}
			}
			s.Update(&catalog.Snapshot{
				Table: route.New(1, nil, nil, nil, false, route.Limits{}),
				Peers: peers,
			})
			s.CountFirst("s")
			row.learn(s, others)
			is.New(t).Equal(s.pool("s").retries.use(&s.processes, now).share, row.share)
		})
	}
}

// connect opens sessions of instances, which name their decider.
func connect(s *Scheduler, others []*Scheduler, decider string) {
	for _, other := range others {
		s.connectProcess(other.processes.self, other.running())
		s.setDecider(other.settings.Self, "s", decider)
	}
}

// TestRetryShareOfGoneInstance guards against a budget that shrinks with each instance that stops for
// good and stays in the catalog, and against instances that are cut off and take all others for gone.
func TestRetryShareOfGoneInstance(t *testing.T) {
	for _, row := range []struct {
		name      string
		connected int
		before    float64
		after     float64
	}{
		{"one is gone", 3, 4.0 / 5, 1},
		{"most can't be reached", 1, 2.0 / 5, 2.0 / 5},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			clock := func() time.Time { return now }
			s := testScheduler("n", clock)
			peers := map[string]catalog.Peer{}
			for i := range 4 {
				name := fmt.Sprint("m", i)
				peers[name] = catalog.Peer{
					ID: name,
				}
				if i < row.connected {
					connect(s, []*Scheduler{testScheduler(name, clock)}, "n")
				}
			}
			s.Update(&catalog.Snapshot{
				Table: route.New(1, nil, nil, nil, false, route.Limits{}),
				Peers: peers,
			})
			s.CountFirst("s")
			is.Equal(s.pool("s").retries.use(&s.processes, now).share, row.before)
			now = now.Add(absentAfter + time.Second)
			is.Equal(s.pool("s").retries.use(&s.processes, now).share, row.after)
		})
	}
}

// BenchmarkRetryUse computes the use of a budget at the size to design for.
func BenchmarkRetryUse(b *testing.B) {
	now := time.Now()
	s := testScheduler("n", func() time.Time { return now })
	for i := range 1200 {
		entry := process{
			instance: fmt.Sprint("m", i),
		}
		s.connectProcess(entry, time.Hour)
		s.setDecider(entry.instance, "s", "n")
	}
	l := &s.pool("s").retries
	for b.Loop() {
		l.stale = true
		l.use(&s.processes, now)
	}
}
