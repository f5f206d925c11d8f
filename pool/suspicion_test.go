// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// migrationLog records the attempts that entry instances were ordered to migrate.
type migrationLog struct {
	mu  sync.Mutex
	ids []string
}

// recordMigrations records the migrations sent to the given entry instances.
func (c *clockPool) recordMigrations(entries ...string) *migrationLog {
	l := &migrationLog{}
	for _, entry := range entries {
		c.onMigrations(entry, func(m migration) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.ids = append(l.ids, m.id)
		})
	}
	return l
}

// count returns the number of migrations so far.
func (l *migrationLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ids)
}

// wait waits up to a second until n attempts were ordered to migrate, or for 100 ms if n is zero.
// It returns the sorted IDs of all attempts that were ordered to migrate.
func (l *migrationLog) wait(n int) []string {
	within := time.Second
	if n == 0 {
		within = 100 * time.Millisecond
	}
	for began := time.Now(); time.Since(began) < within && (n == 0 || l.count() < n); {
		time.Sleep(time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(slices.Values(l.ids))
}

// start places a stream of an entry instance and reports its first event.
func (c *clockPool) start(is *is.I, entry string, a PlacementRequest) Grant {
	g, _, ok := c.submitFor(a, entry, false).Decision()
	is.True(ok)
	c.now = c.now.Add(g.FirstEventIn)
	c.FirstEvent(a.ID, "engines")
	return g
}

// patientStream returns a request for a stream that allows long pauses.
func patientStream(i int) PlacementRequest {
	a := stream(i)
	a.Gap = time.Second
	return a
}

// TestSilentEngineExcluded guards against an engine that stays in use although streams of several
// instances are silent there, and against one that is excluded without enough reason.
func TestSilentEngineExcluded(t *testing.T) {
	for _, row := range []struct {
		name string
		// entries lists the entry instance of each stream on the engine. silent is how many of the
		// streams, from the first on, are reported as silent for 250 ms.
		entries []string
		silent  int
		// request returns the request for a stream. prefilling is set if the engine has just
		// started to prefill a long prompt.
		request    func(int) PlacementRequest
		prefilling bool
		excluded   bool
		migrated   []string
	}{
		{"two instances agree", []string{"a", "b"}, 2, patientStream, false, true, []string{"s0", "s1"}},
		{"one instance", []string{"a", "a"}, 2, patientStream, false, false, nil},
		{"two agree, a third has a live stream", []string{"a", "b", "c"}, 2, patientStream, false, false, nil},
		{"one stream silent, one alive", []string{"a", "b"}, 1, patientStream, false, false, nil},
		{"engine is prefilling", []string{"a", "b"}, 2, patientStream, true, false, nil},
		{"late already", []string{"a", "b"}, 2, stream, false, true, []string{"s0", "s1"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := newClockPool(1)
			l := c.recordMigrations("a", "b", "c")
			for i, entry := range row.entries {
				c.start(is, entry, row.request(i))
			}
			c.now = c.now.Add(50 * time.Millisecond)
			if row.prefilling {
				a := patientStream(100)
				a.Prompt, a.Target = 200_000, 8*time.Second
				_, _, ok := c.submitFor(a, "d", false).Decision()
				is.True(ok)
			}
			c.now = c.now.Add(300 * time.Millisecond)
			for i := range row.silent {
				c.ReportSilence(fmt.Sprint("s", i), "engines", 250*time.Millisecond)
			}
			is.Equal(!c.pools["engines"].health["e00"].usable(c.now), row.excluded)
			is.Equal(l.wait(len(row.migrated)), row.migrated)
		})
	}
}

// TestLateMigrationsSpread guards against simultaneous migrations of streams that are late already.
func TestLateMigrationsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const streams = 6
		c := newClockPool(1)
		l := c.recordMigrations("a", "b")
		for i := range streams {
			c.start(is, []string{"a", "b"}[i%2], stream(i))
		}
		c.now = c.now.Add(350 * time.Millisecond)
		for i := range streams {
			c.ReportSilence(fmt.Sprint("s", i), "engines", 300*time.Millisecond)
		}
		time.Sleep(lateMigrationSpread / 2)
		synctest.Wait()
		is.Equal(l.count(), streams/2)
		time.Sleep(lateMigrationSpread / 2)
		synctest.Wait()
		is.Equal(l.count(), streams)
	})
}

// TestSuspicionExpires guards against counting a report of silence that was not repeated, as for
// an engine that is merely slow.
func TestSuspicionExpires(t *testing.T) {
	is := is.New(t)
	c := newClockPool(1)
	c.start(is, "a", patientStream(0))
	c.start(is, "b", patientStream(1))
	c.now = c.now.Add(300 * time.Millisecond)
	c.ReportSilence("s0", "engines", 250*time.Millisecond)
	c.now = c.now.Add(suspicionTTL + time.Millisecond)
	c.ReportSilence("s1", "engines", 250*time.Millisecond)
	is.True(c.pools["engines"].health["e00"].usable(c.now))
}

// TestLateFirstEvents guards against placements on an engine whose first events are overdue for
// several instances, and against avoiding it because of a single instance.
func TestLateFirstEvents(t *testing.T) {
	for _, row := range []struct {
		name    string
		entries []string
		want    string
	}{
		{"two instances", []string{"a", "b"}, "e01"},
		{"one instance", []string{"a", "a"}, "e00"},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := newClockPool(2)
			for i, entry := range row.entries {
				g, _, ok := c.submitFor(patientStream(i), entry, false).Decision()
				is.True(ok)
				is.Equal(g.Instance, "e00")
			}
			c.now = c.now.Add(350 * time.Millisecond)
			g, _, ok := c.Submit(patientStream(10)).Decision()
			is.True(ok)
			is.Equal(g.Instance, row.want)
		})
	}
}

// TestSilentEngineIsVerified guards against excluding an engine that is silent only because it is
// busy: such an engine still accepts connections.
func TestSilentEngineIsVerified(t *testing.T) {
	for _, row := range []struct {
		name  string
		fails error
		want  []string
	}{
		{"accepts connections", nil, nil},
		{"does not answer", errors.New("no answer"), []string{"e00"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := checkedPool(2, func(string) error { return row.fails })
			l := c.recordMigrations("a", "b")
			for i, entry := range []string{"a", "b"} {
				c.start(is, entry, patientStream(i))
			}
			c.now = c.now.Add(300 * time.Millisecond)
			for i := range 2 {
				c.ReportSilence(fmt.Sprint("s", i), "engines", 250*time.Millisecond)
			}
			migrated := 0
			if row.want != nil {
				migrated = 2
			}
			is.Equal(len(l.wait(migrated)), migrated)
			is.Equal(c.unusable(), row.want)
			// An engine that accepted the connection counts as busy for a while and gets requests.
			c.ReportSilence("s0", "engines", 250*time.Millisecond)
			is.Equal(c.pools["engines"].suspicion.doubted["e00"], row.want != nil)
		})
	}
}

// checkedPool returns a pool whose endpoints are checked by fails, which returns nil for an
// endpoint that answers.
func checkedPool(engines int, fails func(address string) error) *clockPool {
	c := newClockPool(engines)
	c.settings.Check = func(_ context.Context, address string) error { return fails(address) }
	return c
}

// markStopped marks an engine as stopped, as if two instances had reported it.
func (c *clockPool) markStopped(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handleStopped(c.pools["engines"], "engines", endpoint, 2, c.now)
}

// TestChecksOtherEngines guards against a pool whose other engines are not checked when two have
// stopped, and against excluding those that don't answer when the owner's own network is at fault.
func TestChecksOtherEngines(t *testing.T) {
	lost := errors.New("no answer")
	for _, row := range []struct {
		name string
		// stopped lists the stopped engines of a pool of eight. fails is the result of checking any
		// engine, except that e06 and e07 answer unless all is set.
		stopped []string
		fails   error
		all     bool
		want    []string
	}{
		{"one has stopped", []string{"e00"}, lost, false, []string{"e00"}},
		{"two have, others don't answer", []string{"e00", "e01"}, lost, false, []string{"e00", "e01", "e02", "e03", "e04", "e05"}},
		{"two have, others refuse", []string{"e00", "e01"}, syscall.ECONNREFUSED, false, []string{"e00", "e01", "e02", "e03", "e04", "e05"}},
		{"two have, others answer", []string{"e00", "e01"}, nil, false, []string{"e00", "e01"}},
		{"nobody answers this instance", []string{"e00", "e01"}, lost, true, []string{"e00", "e01"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := checkedPool(8, func(address string) error {
				if !row.all && (address == "e06:1" || address == "e07:1") {
					return nil
				}
				return row.fails
			})
			for _, name := range row.stopped {
				c.markStopped(name)
			}
			time.Sleep(20 * time.Millisecond)
			is.Equal(c.unusable(), row.want)
		})
	}
}

// TestChecksSkipDrained guards against checks that connect to engines that are leaving or in a
// drained failure domain.
func TestChecksSkipDrained(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	asked := make(map[string]bool)
	c := checkedPool(5, func(address string) error {
		mu.Lock()
		defer mu.Unlock()
		asked[address] = true
		return errors.New("no answer")
	})
	p := c.pools["engines"]
	p.engines["e03"].FailureDomain = "drained"
	p.drained = drainedDomains{
		"drained": c.now,
	}
	p.engines["e04"].Closed = true
	c.markStopped("e03")
	c.markStopped("e00")
	time.Sleep(recheckInterval + 50*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(asked, map[string]bool{"e00:1": true, "e01:1": true, "e02:1": true})
}

// unusable returns the engines that are not usable.
func (c *clockPool) unusable() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, e := range c.pools["engines"].list {
		if !c.pools["engines"].health[e.Instance].usable(c.now) {
			out = append(out, e.Instance)
		}
	}
	return out
}

// TestCheckKeepsLiveEngine guards against excluding an engine that fails a check of the owner while
// a stream from it is alive: the owner's network may be at fault.
func TestCheckKeepsLiveEngine(t *testing.T) {
	is := is.New(t)
	c := checkedPool(3, func(address string) error {
		if address == "e02:1" {
			return nil
		}
		return errors.New("no answer")
	})
	g := c.start(is, "a", patientStream(0))
	is.Equal(g.Instance, "e00")
	c.markStopped("e01")
	c.mu.Lock()
	c.checkAll(c.pools["engines"], "engines", "e02", c.now)
	c.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	is.Equal(c.unusable(), []string{"e01"})
}

// TestExcludedEngineReturns guards against an engine that stays excluded after it has answered a
// check, or for longer than maxAbsence without an answer.
func TestExcludedEngineReturns(t *testing.T) {
	t.Run("answers", func(t *testing.T) {
		is := is.New(t)
		c := checkedPool(2, func(string) error { return nil })
		c.markStopped("e00")
		is.Equal(c.unusable(), []string{"e00"})
		time.Sleep(recheckInterval + 50*time.Millisecond)
		is.Equal(len(c.unusable()), 0)
	})
	t.Run("still unanswered", func(t *testing.T) {
		is := is.New(t)
		c := checkedPool(2, func(string) error { return errors.New("no answer") })
		c.markStopped("e00")
		c.now = c.now.Add(maxAbsence - time.Millisecond)
		is.Equal(c.unusable(), []string{"e00"})
		c.now = c.now.Add(time.Millisecond)
		is.Equal(len(c.unusable()), 0)
	})
}

// TestJointPrefillMigrates guards against a joint prefill that stays on an engine to which several
// instances cannot connect, and against migrating it while a stream from that engine is alive.
func TestJointPrefillMigrates(t *testing.T) {
	for _, row := range []struct {
		name     string
		alive    bool
		migrated []string
	}{
		{"no live stream", false, []string{"s100"}},
		{"live stream", true, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := newClockPool(2)
			l := c.recordMigrations("a")
			a := patientStream(100)
			a.Prompt, a.Target = 600_000, 20*time.Second
			g, _, ok := c.submitFor(a, "a", false).Decision()
			is.True(ok)
			is.Equal(len(g.Shares), 1)
			helper := g.Shares[0].Instance
			for i, entry := range []string{"b", "c"} {
				c.mu.Lock()
				c.pools["engines"].attempts[fmt.Sprint("x", i)] = &attempt{
					endpoint: helper,
					entry:    entry,
				}
				c.mu.Unlock()
				if row.alive && i == 1 {
					c.mu.Lock()
					c.pools["engines"].attempts["y"] = &attempt{
						endpoint: helper,
						entry:    "d",
						begun:    true,
						watched:  true,
					}
					c.mu.Unlock()
				}
				c.EndFrom(fmt.Sprint("x", i), "engines", Unreachable, "", entry)
			}
			is.Equal(l.wait(len(row.migrated)), row.migrated)
		})
	}
}

// TestExcludedEngineIsNotIdle guards against counting an excluded engine as idle capacity, which
// would lower the price of the other engines' time and the measured prefill load.
func TestExcludedEngineIsNotIdle(t *testing.T) {
	is := is.New(t)
	c := checkedPool(2, func(string) error { return errors.New("no answer") })
	a := patientStream(0)
	a.Prompt = 100_000
	g, _, ok := c.Submit(a).Decision()
	is.True(ok)
	other := "e00"
	if g.Instance == other {
		other = "e01"
	}
	p := c.pools["engines"]
	is.Equal(p.utilization(c.now), 0.5)
	is.Equal(p.prefillLoad(c.newWaiter(p, a, c.now), c.now).EngineShare, 0.5)
	c.markStopped(other)
	is.Equal(p.utilization(c.now), 1.0)
	is.Equal(p.prefillLoad(c.newWaiter(p, a, c.now), c.now).EngineShare, 1.0)
}
