// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// TestDraw looks that a seed gives one schedule, and that seeds differ.
func TestDraw(t *testing.T) {
	is := is.New(t)
	a := Draw(7, time.Minute, 4)
	is.Equal(a, Draw(7, time.Minute, 4))
	is.True(len(a) > 20)
	b := Draw(8, time.Minute, 4)
	is.True(len(a) != len(b) || a[0] != b[0])
	seen := make(map[string]bool)
	for seed := range uint64(40) {
		for _, s := range Draw(seed, time.Minute, 4) {
			seen[s.Kind] = true
		}
	}
	is.Equal(len(seen), len(kinds)) // every kind is drawn by some seed
}

// runOf is a run for the customer at a moment.
func runOf(id, target string, at time.Time) platformtest.Run {
	return platformtest.Run{
		ID:     id,
		Method: "POST",
		Target: target,
		Header: platformtest.RunHeader("c1"),
		At:     at,
	}
}

// servedAt is an exchange that was sent at a moment and went well.
func servedAt(at time.Time) Exchange {
	return Exchange{
		ID:     "r",
		Path:   "/unsafe/",
		Key:    steadyKey,
		Sent:   at,
		Status: 200,
		Answer: platformtest.PlainAnswer("r", nil),
		Whole:  true,
		Signed: true,
	}
}

// leaveEarly makes the caller of an exchange leave before the answer, and its run end
// the given time after that.
func leaveEarly(x *Exchange, runs *[]platformtest.Run, after time.Duration) {
	x.GaveUp, x.Whole, x.Status, x.Answer = true, false, 0, ""
	x.Ended = x.Sent.Add(leaveWithin / 2)
	(*runs)[0].Ended = x.Ended.Add(after)
}

// TestDisturbed looks that a run that goes on is not held against an instance that
// stands still, or a link that fails.
func TestDisturbed(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		step  Step
		began time.Time
		want  bool
	}{
		{Step{Kind: "freeze", Target: 1, For: time.Second}, now, true},
		{Step{Kind: "freeze", Target: 2, For: time.Second}, now, false},
		{Step{Kind: "endpoint link one way", For: time.Second}, now, true},
		{Step{Kind: "endpoint link one way", For: time.Second}, now.Add(-time.Minute), false},
		{Step{Kind: "kill", Target: 1, For: time.Second}, now, false},
	} {
		t.Run(row.step.String(), func(t *testing.T) {
			is := is.New(t)
			w := &World{
				processes: make([]*process, 4),
				played: []playedStep{{
					step:  row.step,
					began: row.began,
				}},
			}
			x := Exchange{
				Instance: 1,
				Sent:     now,
			}
			is.Equal(w.disturbed(&x, now.Add(time.Second)), row.want)
		})
	}
}

// TestJudge shows the judge what breaks each promise, and that it says so.
func TestJudge(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		name    string
		promise string
		change  func(x *Exchange, runs *[]platformtest.Run)
	}{
		{"well", "", func(*Exchange, *[]platformtest.Run) {}},
		{"ran twice", "at most once", func(_ *Exchange, runs *[]platformtest.Run) {
			*runs = append(*runs, runOf("r", "/unsafe/", now))
		}},
		{"refused and ran", "refusals are true", func(x *Exchange, _ *[]platformtest.Run) { x.Status = 503 }},
		{"another's answer", "whole and own answer", func(x *Exchange, _ *[]platformtest.Run) {
			x.Answer = platformtest.PlainAnswer("other", nil)
		}},
		{"not signed", "whole and own answer", func(x *Exchange, _ *[]platformtest.Run) { x.Signed = false }},
		{"denied", "what is allowed is not denied", func(x *Exchange, _ *[]platformtest.Run) { x.Status = 401 }},
		{"changed", "requests are passed on unchanged", func(_ *Exchange, runs *[]platformtest.Run) {
			(*runs)[0].Target = "/else/"
		}},
		{"key passed on", "keys stay here", func(_ *Exchange, runs *[]platformtest.Run) {
			(*runs)[0].Header = platformtest.RunHeaderWithKey("c1")
		}},
		{"key taken away", "keys that were taken away are refused", func(x *Exchange, _ *[]platformtest.Run) { x.Key = "gone" }},
		{"ran late", "nothing runs after its time", func(_ *Exchange, runs *[]platformtest.Run) {
			(*runs)[0].At = now.Add(time.Minute)
		}},
		{"caller left, run ended", "", func(x *Exchange, runs *[]platformtest.Run) {
			leaveEarly(x, runs, 100*time.Millisecond)
		}},
		{"caller left, run went on", "what its caller leaves ends", func(x *Exchange, runs *[]platformtest.Run) {
			leaveEarly(x, runs, time.Second)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			w := &World{
				keys: map[string]time.Time{"gone": now.Add(-time.Minute)},
			}
			x, runs := servedAt(now), []platformtest.Run{runOf("r", "/unsafe/", now)}
			row.change(&x, &runs)
			got := w.judgeOne(&x, runs)
			if row.promise == "" {
				is.Equal(len(got), 0)
				return
			}
			is.True(len(got) > 0)
			is.Equal(got[0].Promise, row.promise)
		})
	}
}

// TestRefusedFrom looks from when on a key that was taken away must be refused: with
// an operator who is not strict not before the faults are over.
func TestRefusedFrom(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		name      string
		strict    bool
		recovered time.Time
		want      time.Time
	}{
		{"strict, in a fault", true, now.Add(time.Minute), now.Add(revoke)},
		{"not strict, in a fault", false, now.Add(time.Minute), now.Add(time.Minute)},
		{"not strict, after the faults", false, now.Add(-time.Minute), now.Add(revoke)},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			w := &World{
				strict:    row.strict,
				recovered: row.recovered,
			}
			is.Equal(w.refusedFrom(now), row.want)
		})
	}
}

// TestJudgeEmptied looks which runs at endpoints of an emptied failure domain are held
// against an instance.
func TestJudgeEmptied(t *testing.T) {
	now := time.Now()
	after := func(d time.Duration) time.Time { return now.Add(emptyWithin + runSlack + d) }
	for _, row := range []struct {
		name   string
		domain string
		at     time.Time
		fault  Step
		wrong  bool
	}{
		{"at once", "d-1", now, Step{}, false},
		{"within the bound", "d-1", after(-time.Millisecond), Step{}, false},
		{"after it", "d-1", after(time.Millisecond), Step{}, true},
		{"in another domain", "d-2", after(time.Millisecond), Step{}, false},
		{"after it was restored", "d-1", after(2 * time.Second), Step{}, false},
		{"while the store was away", "d-1", after(time.Millisecond), Step{Kind: "store silent", For: time.Second}, false},
		{"by an instance that stood still", "d-1", after(time.Millisecond), Step{Kind: "freeze", Target: 1, For: time.Second}, false},
		{"while another one stood still", "d-1", after(time.Millisecond), Step{Kind: "freeze", Target: 2, For: time.Second}, true},
		{"long after the store was back", "d-1", after(900 * time.Millisecond), Step{Kind: "store silent", For: 500 * time.Millisecond}, true},
		{"while another one was killed", "d-1", after(time.Millisecond), Step{Kind: "kill", Target: 2, For: time.Second}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			w := &World{
				processes: make([]*process, 3),
				played: []playedStep{{
					step:  row.fault,
					began: now,
				}},
				emptied: []emptying{{
					domain: "d-1",
					from:   now,
					to:     after(time.Second),
				}},
			}
			e := &endpoint{
				Endpoint: &platformtest.Endpoint{
					Instance: "e-1",
				},
				domain: row.domain,
			}
			x := servedAt(now)
			x.Instance = 1
			r := runOf("r", "/unsafe/", row.at)
			_, wrong := w.judgeEmptied(&x, e, &r)
			is.Equal(wrong, row.wrong)
		})
	}
}

// TestLate counts the runs of a request that crashes endpoints which come too late.
func TestLate(t *testing.T) {
	start := time.Now()
	lost := playedStep{
		step: Step{
			Kind: "all lost in an outage",
			For:  time.Second,
		},
		began: start.Add(10 * time.Second),
	}
	for _, row := range []struct {
		name string
		// runs are in seconds.
		runs   []float64
		played []playedStep
		want   int
	}{
		{"three", []float64{0, 1, 2}, nil, 0},
		{"in time after the third", []float64{0, 1, 2, 3, 4, 5}, nil, 0},
		{"late", []float64{0, 1, 2, 5.1, 6, 7, 8}, nil, 4},
		{"as found on several endpoints", []float64{8, 2, 0, 5.1, 1}, nil, 2},
		{"all known lost in between", []float64{0, 1, 2, 12, 13, 14, 16}, []playedStep{lost}, 0},
		{"late after that, too", []float64{0, 1, 2, 12, 13, 14, 18}, []playedStep{lost}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := &World{
				played: row.played,
			}
			var at []time.Time
			for _, s := range row.runs {
				at = append(at, start.Add(time.Duration(s*float64(time.Second))))
			}
			is.New(t).Equal(w.late(at), row.want)
		})
	}
}
