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

// told keeps which attempts entries were told to move.
type told struct {
	mu  sync.Mutex
	ids []string
}

// listen keeps what some entries are told.
func (c *crowdPool) listen(entries ...string) *told {
	l := &told{}
	for _, entry := range entries {
		c.onMigrations(entry, func(m migration) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.ids = append(l.ids, m.id)
		})
	}
	return l
}

// count returns how many attempts were told to move.
func (l *told) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ids)
}

// want waits until as many attempts were told to move, or for some time when none is to
// be, and returns them in order.
func (l *told) want(n int) []string {
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

// begin places a stream of an entry and lets it begin.
func (c *crowdPool) begin(is *is.I, entry string, a PlacementRequest) Grant {
	g, _, ok := c.submitFor(a, entry, false).Decision()
	is.True(ok)
	c.now = c.now.Add(g.FirstEventIn)
	c.First(a.ID, "engines")
	return g
}

// patient returns an ask for a stream that allows long pauses.
func patient(i int) PlacementRequest {
	a := stream(i)
	a.Gap = time.Second
	return a
}

// TestSuspected looks when an engine is left out as its streams are silent, and which of
// them move.
func TestSuspected(t *testing.T) {
	for _, row := range []struct {
		name string
		// entries are those of the streams on an engine, and silent how many of them are,
		// the first ones, for 250 ms.
		entries []string
		silent  int
		// ask makes the streams, and reading states that the engine has just begun to read
		// a long prompt.
		ask     func(int) PlacementRequest
		reading bool
		// after is how long after the suspicions the engine is looked at.
		after time.Duration
		out   bool
		moved []string
	}{
		{"two instances agree", []string{"a", "b"}, 2, patient, false, 0, true, []string{"s0", "s1"}},
		{"one instance", []string{"a", "a"}, 2, patient, false, 0, false, nil},
		{"two agree, a third has a sign of life", []string{"a", "b", "c"}, 2, patient, false, 0, false, nil},
		{"only one is silent", []string{"a", "b"}, 1, patient, false, 0, false, nil},
		{"the engine reads", []string{"a", "b"}, 2, patient, true, 0, false, nil},
		{"late already", []string{"a", "b"}, 2, stream, false, 0, true, []string{"s0", "s1"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := newCrowdPool(1)
			l := c.listen("a", "b", "c")
			for i, entry := range row.entries {
				c.begin(is, entry, row.ask(i))
			}
			c.now = c.now.Add(50 * time.Millisecond)
			if row.reading {
				a := patient(100)
				a.Prompt, a.Target = 200_000, 8*time.Second
				_, _, ok := c.submitFor(a, "d", false).Decision()
				is.True(ok)
			}
			c.now = c.now.Add(300 * time.Millisecond)
			for i := range row.silent {
				c.ReportSilence(fmt.Sprint("s", i), "engines", 250*time.Millisecond)
			}
			is.Equal(!c.pools["engines"].health["e00"].usable(c.now), row.out)
			is.Equal(l.want(len(row.moved)), row.moved)
		})
	}
}

// TestLateMovesSpread looks that streams which are late already move one after the other.
func TestLateMovesSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const streams = 6
		c := newCrowdPool(1)
		l := c.listen("a", "b")
		for i := range streams {
			c.begin(is, []string{"a", "b"}[i%2], stream(i))
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

// TestOldSuspicionIsNone looks that a suspicion does not count that is not repeated: an
// engine that is merely slow gives signs of life.
func TestOldSuspicionIsNone(t *testing.T) {
	is := is.New(t)
	c := newCrowdPool(1)
	c.begin(is, "a", patient(0))
	c.begin(is, "b", patient(1))
	c.now = c.now.Add(300 * time.Millisecond)
	c.ReportSilence("s0", "engines", 250*time.Millisecond)
	c.now = c.now.Add(suspicionTTL + time.Millisecond)
	c.ReportSilence("s1", "engines", 250*time.Millisecond)
	is.True(c.pools["engines"].health["e00"].usable(c.now))
}

// TestOverdueFirst looks that an engine whose first events are overdue gets nothing new
// while others do: not by what one instance sees alone.
func TestOverdueFirst(t *testing.T) {
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
			c := newCrowdPool(2)
			for i, entry := range row.entries {
				g, _, ok := c.submitFor(patient(i), entry, false).Decision()
				is.True(ok)
				is.Equal(g.Instance, "e00")
			}
			c.now = c.now.Add(350 * time.Millisecond)
			g, _, ok := c.Submit(patient(10)).Decision()
			is.True(ok)
			is.Equal(g.Instance, row.want)
		})
	}
}

// TestSuspectedIsVerified looks that an engine which instances agree on is left out only if
// it takes no connection: one that does is busy.
func TestSuspectedIsVerified(t *testing.T) {
	for _, row := range []struct {
		name  string
		fails error
		want  []string
	}{
		{"there", nil, nil},
		{"not there", errors.New("no answer"), []string{"e00"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := checkedPool(2, func(string) error { return row.fails })
			l := c.listen("a", "b")
			for i, entry := range []string{"a", "b"} {
				c.begin(is, entry, patient(i))
			}
			c.now = c.now.Add(300 * time.Millisecond)
			for i := range 2 {
				c.ReportSilence(fmt.Sprint("s", i), "engines", 250*time.Millisecond)
			}
			moved := 0
			if row.want != nil {
				moved = 2
			}
			is.Equal(len(l.want(moved)), moved)
			is.Equal(c.leftOut(), row.want)
			// One that is there is taken for busy for a while, and gets requests.
			c.ReportSilence("s0", "engines", 250*time.Millisecond)
			is.Equal(c.pools["engines"].suspicion.doubted["e00"], row.want != nil)
		})
	}
}

// checkedPool is a pool of which some endpoints fail checks.
func checkedPool(engines int, fails func(address string) error) *crowdPool {
	c := newCrowdPool(engines)
	c.settings.Check = func(_ context.Context, address string) error { return fails(address) }
	return c
}

// stop makes two instances agree that an engine has stopped.
func (c *crowdPool) stop(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handleStopped(c.pools["engines"], "engines", instance, 2, c.now)
}

// TestChecksOthers looks that all engines are checked when two have stopped, and which of
// them are left out by that.
func TestChecksOthers(t *testing.T) {
	lost := errors.New("no answer")
	for _, row := range []struct {
		name string
		// stopped are the engines that have stopped of eight, and fails is what a check of
		// the others but e06 and e07 says.
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
				c.stop(name)
			}
			time.Sleep(20 * time.Millisecond)
			is.Equal(c.leftOut(), row.want)
		})
	}
}

// TestChecksSpareEmptied looks that no engine of an emptied failure domain is connected to,
// nor one that leaves.
func TestChecksSpareEmptied(t *testing.T) {
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
	p.engines["e03"].FailureDomain = "emptied"
	p.drained = drainedDomains{
		"emptied": c.now,
	}
	p.engines["e04"].Closed = true
	c.stop("e03")
	c.stop("e00")
	time.Sleep(recheckInterval + 50*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(asked, map[string]bool{"e00:1": true, "e01:1": true, "e02:1": true})
}

// leftOut returns the engines that get nothing.
func (c *crowdPool) leftOut() []string {
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

// TestCheckSparesLife looks that an engine is not left out that fails a check of the owner
// while a stream there has a sign of life: the owner's link may be bad.
func TestCheckSparesLife(t *testing.T) {
	is := is.New(t)
	c := checkedPool(3, func(address string) error {
		if address == "e02:1" {
			return nil
		}
		return errors.New("no answer")
	})
	g := c.begin(is, "a", patient(0))
	is.Equal(g.Instance, "e00")
	c.stop("e01")
	c.mu.Lock()
	c.checkAll(c.pools["engines"], "engines", "e02", c.now)
	c.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	is.Equal(c.leftOut(), []string{"e01"})
}

// TestAnswersAgain looks that an engine is used again once it answers a check, and after a
// while if it does not.
func TestAnswersAgain(t *testing.T) {
	t.Run("answers", func(t *testing.T) {
		is := is.New(t)
		c := checkedPool(2, func(string) error { return nil })
		c.stop("e00")
		is.Equal(c.leftOut(), []string{"e00"})
		time.Sleep(recheckInterval + 50*time.Millisecond)
		is.Equal(len(c.leftOut()), 0)
	})
	t.Run("does not", func(t *testing.T) {
		is := is.New(t)
		c := checkedPool(2, func(string) error { return errors.New("no answer") })
		c.stop("e00")
		c.now = c.now.Add(maxAbsence - time.Millisecond)
		is.Equal(c.leftOut(), []string{"e00"})
		c.now = c.now.Add(time.Millisecond)
		is.Equal(len(c.leftOut()), 0)
	})
}

// TestReadingsMove looks that the readings that an engine helps with move once instances
// agree that they can't reach it, and not while a stream there has a sign of life.
func TestReadingsMove(t *testing.T) {
	for _, row := range []struct {
		name  string
		alive bool
		moved []string
	}{
		{"no sign of life", false, []string{"s100"}},
		{"sign of life", true, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := newCrowdPool(2)
			l := c.listen("a")
			a := patient(100)
			a.Prompt, a.Target = 600_000, 20*time.Second
			g, _, ok := c.submitFor(a, "a", false).Decision()
			is.True(ok)
			is.Equal(len(g.Shares), 1)
			helper := g.Shares[0].Instance
			for i, entry := range []string{"b", "c"} {
				c.mu.Lock()
				c.pools["engines"].attempts[fmt.Sprint("x", i)] = &attempt{
					instance: helper,
					entry:    entry,
				}
				c.mu.Unlock()
				if row.alive && i == 1 {
					c.mu.Lock()
					c.pools["engines"].attempts["y"] = &attempt{
						instance: helper,
						entry:    "d",
						begun:    true,
						watched:  true,
					}
					c.mu.Unlock()
				}
				c.EndFrom(fmt.Sprint("x", i), "engines", Unreachable, "", entry)
			}
			is.Equal(l.want(len(row.moved)), row.moved)
		})
	}
}

// TestLeftOutIsNotIdle looks that an engine that is left out does not count as one that
// rests: the price of the others' time holds in full, and so does what readings want.
func TestLeftOutIsNotIdle(t *testing.T) {
	is := is.New(t)
	c := checkedPool(2, func(string) error { return errors.New("no answer") })
	a := patient(0)
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
	c.stop(other)
	is.Equal(p.utilization(c.now), 1.0)
	is.Equal(p.prefillLoad(c.newWaiter(p, a, c.now), c.now).EngineShare, 1.0)
}
