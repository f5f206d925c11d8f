// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// partEvent is something that a registry learns of parts. Times are in ms from the call of play.
type partEvent struct {
	startMs, endMs int
	// lateMs is the time from the end to the report.
	lateMs int
	// endpoint is the endpoint that ended under the attempt; empty if the attempt was answered.
	endpoint string
	request  Identity
	parts    []Identity
}

// play reports events in the order of their reports, and waits until crashes have been judged.
func play(b *Registry, events ...partEvent) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	slices.SortStableFunc(events, func(x, y partEvent) int { return x.endMs + x.lateMs - y.endMs - y.lateMs })
	for i, e := range events {
		time.Sleep(time.Until(at(e.endMs + e.lateMs)))
		if e.endpoint == "" {
			b.ReportAnswered(Keys{
				Request: e.request,
				Parts:   e.parts,
			}, at(e.startMs))
			continue
		}
		b.ReportCrash(Crash{
			Attempt:   strconv.Itoa(i) + start.String(),
			Endpoint:  e.endpoint,
			Identity:  e.request,
			Parts:     e.parts,
			StartedAt: at(e.startMs),
			EndedAt:   at(e.endMs),
		})
	}
	time.Sleep(SettleDelay + answerDelay)
	synctest.Wait()
}

// answers returns n answers to different requests with the given parts, whose attempts are started
// one ms apart from startMs on and end at endMs.
func answers(n, startMs, endMs int, parts ...Identity) []partEvent {
	var out []partEvent
	for i := range n {
		out = append(out, partEvent{
			startMs: startMs + i,
			endMs:   endMs,
			request: Identity(1000*startMs + i + 500),
			parts:   parts,
		})
	}
	return out
}

// The parts of these tests: base is in most prompts, and bad crashes endpoints.
const (
	bad Identity = 1<<32 + iota
	base
	team
	rare
)

// crashesOf returns crashes of n different requests at endpoints of their own, 100 ms apart.
func crashesOf(n int, parts ...Identity) []partEvent {
	var out []partEvent
	for i := range n {
		out = append(out, partEvent{
			startMs:  100*i + 20,
			endMs:    100*i + 100,
			endpoint: "e" + strconv.Itoa(i),
			request:  Identity(i + 1),
			parts:    parts,
		})
	}
	return out
}

// TestParts checks which parts are banned by what happens to requests with them.
func TestParts(t *testing.T) {
	sameRequest := crashesOf(6, bad)
	for i := range sameRequest {
		sameRequest[i].request = 1
	}
	oneMoment := crashesOf(6, bad)
	for i := range oneMoment {
		oneMoment[i].startMs, oneMoment[i].endMs = 20, 100+i
	}
	twoMoments := slices.Concat(oneMoment, crashesOf(2, bad)[1:])
	twoMoments[6].endpoint = "f"
	besides := crashesOf(5, bad)
	for i := range 5 {
		besides = append(besides, partEvent{
			startMs:  0,
			endMs:    100*i + 110,
			endpoint: "other" + strconv.Itoa(i),
			request:  Identity(i + 20),
			parts:    []Identity{base},
		})
	}
	late := crashesOf(6, base)
	for i := range late {
		late[i].lateMs = 1000
	}
	// A request with a rare part runs longer at each endpoint that ends.
	beside := crashesOf(3, bad)
	for i := range 3 {
		beside = append(beside, partEvent{
			startMs:  100 * i,
			endMs:    100*i + 100,
			endpoint: "e" + strconv.Itoa(i),
			request:  Identity(i + 20),
			parts:    []Identity{rare},
		})
	}
	for _, row := range []struct {
		name string
		// young is set if the registry has just been created.
		young  bool
		before []partEvent
		events []partEvent
		banned []Identity
	}{
		{name: "two crashes", events: crashesOf(2, bad)},
		{name: "three crashes", events: crashesOf(3, bad), banned: []Identity{bad}},
		{name: "one request", events: sameRequest},
		{name: "at one moment", events: oneMoment},
		{name: "at two moments", events: twoMoments},
		{name: "with endpoints without the part", events: besides},
		{name: "other parts were answered before", before: answers(1, 0, 50, base, team), events: crashesOf(3, base, bad, team), banned: []Identity{bad}},
		{name: "other parts are answered", events: slices.Concat(crashesOf(3, base, bad), answers(1, 150, 280, base)), banned: []Identity{bad}},
		{name: "two that always come together", events: crashesOf(3, bad, rare), banned: []Identity{bad, rare}},
		{name: "two that crash", events: slices.Concat(spread(crashesOf(3, bad)), shift(spread(crashesOf(3, rare)), 100, "f")), banned: []Identity{bad, rare}},
		{name: "a rare one beside it", events: beside, banned: []Identity{bad}},
		{name: "answered since", events: slices.Concat(crashesOf(6, bad), answers(1, 110, 290, bad))},
		{name: "answered before", before: answers(1, 0, 50, bad), events: slices.Concat(crashesOf(3, base, bad), answers(12, 110, 290, base))},
		{name: "answered before, five crashes", before: answers(1, 0, 50, bad), events: slices.Concat(crashesOf(5, base, bad), answers(12, 110, 290, base)), banned: []Identity{bad}},
		{name: "answered before, nothing else is answered", before: answers(1, 0, 50, base), events: crashesOf(9, base)},
		{name: "attempt from before is answered", before: answers(1, 0, 50, bad), events: slices.Concat(crashesOf(5, base, bad), answers(1, 0, 290, bad), answers(12, 110, 290, base)), banned: []Identity{bad}},
		{name: "reported late, answered meanwhile", events: slices.Concat(late, answers(12, 700, 900, base))},
		{name: "reported late to a new instance, answered meanwhile", young: true, events: slices.Concat(late, answers(12, 700, 900, base))},
		{name: "reported late, answered between them", young: true, events: slices.Concat(late, answers(12, 350, 450, base), answers(12, 350, 450, team))},
		{name: "only other endpoints answer", young: true, events: slices.Concat(crashesOf(9, base), answers(12, 110, 290, rare))},
		{name: "answers may be unknown", young: true, events: slices.Concat(crashesOf(3, base, bad), answers(12, 110, 290, base))},
		{name: "answers may be unknown, five crashes", young: true, events: slices.Concat(crashesOf(5, base, bad), answers(12, 110, 290, base)), banned: []Identity{bad}},
		{name: "all endpoints end, nothing is answered", young: true, events: crashesOf(12, base, team)},
	} {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				b := newTestRegistry()
				if !row.young {
					time.Sleep(minAnswerMemory)
				}
				play(b, row.before...)
				play(b, row.events...)
				for _, part := range []Identity{bad, base, team, rare} {
					assertPartBanned(t, b, part, slices.Contains(row.banned, part))
				}
			})
		})
	}
}

// TestPartsOfRestartedOwner guards against an instance that needs more crashes than others because it has
// just been started, although those that report answers to it have not.
func TestPartsOfRestartedOwner(t *testing.T) {
	for _, row := range []struct {
		name   string
		since  time.Duration
		banned bool
	}{
		{"others are old", minAnswerMemory, true},
		{"others are young", minAnswerMemory / 2, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				since := time.Now().Add(-row.since)
				b := New(time.Now, Dependencies{
					AnswersKnownSince: func() time.Time { return since },
				}, logr.Discard())
				play(b, crashesOf(3, base, bad)...)
				assertPartBanned(t, b, bad, row.banned)
			})
		})
	}
}

// spread doubles the times between events.
func spread(events []partEvent) []partEvent {
	for i := range events {
		events[i].startMs += 100 * i
		events[i].endMs += 100 * i
	}
	return events
}

// shift moves events in time and to endpoints and requests of their own.
func shift(events []partEvent, ms int, endpoint string) []partEvent {
	for i := range events {
		events[i].startMs += ms
		events[i].endMs += ms
		events[i].endpoint = endpoint + events[i].endpoint
		events[i].request += 100
	}
	return events
}

// assertPartBanned checks whether requests with a part are refused.
func assertPartBanned(t *testing.T, b *Registry, part Identity, want bool) {
	t.Helper()
	is := is.New(t)
	k := Keys{
		Request: 99,
		Parts:   []Identity{part},
	}
	ban := b.BanOf(k)
	is.Equal(ban != nil, want)
	if ban != nil {
		is.True(ban.Part)
		is.Equal(ban.Identity, part)
	}
	_, ban = b.Admit(k)
	is.Equal(ban != nil, want)
}

// TestPartBanEnds guards against bans of parts that last although a request with the part has been
// answered, or end by an answer that tells nothing.
func TestPartBanEnds(t *testing.T) {
	for _, row := range []struct {
		name  string
		event partEvent
		ended bool
	}{
		{"an attempt from after the first crash is answered", partEvent{startMs: -440, endMs: 10, parts: []Identity{bad}}, true},
		{"an attempt from before it is answered", partEvent{startMs: -2000, endMs: 10, parts: []Identity{bad}}, false},
		{"a request without the part is answered", partEvent{startMs: -450, endMs: 10, parts: []Identity{base}}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				b := newTestRegistry()
				time.Sleep(minAnswerMemory)
				play(b, crashesOf(3, bad)...)
				assertPartBanned(t, b, bad, true)
				play(b, row.event)
				assertPartBanned(t, b, bad, !row.ended)
			})
		})
	}
}

// TestLearnedPartBan guards against a ban of a part that an instance learned of, with or without its
// suspicion, and drops when an attempt from before the crashes is answered.
func TestLearnedPartBan(t *testing.T) {
	for _, suspected := range []bool{true, false} {
		t.Run("suspected before "+strconv.FormatBool(suspected), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				start := time.Now()
				counts, entry := newTestRegistry(), newTestRegistry()
				counts.OnVerdict(func(v Verdict) {
					if v.State == Banned || suspected {
						entry.ApplyVerdict(v)
					}
				})
				time.Sleep(minAnswerMemory)
				play(counts, crashesOf(3, bad)...)
				assertPartBanned(t, entry, bad, true)
				k := Keys{
					Request: 7,
					Parts:   []Identity{bad},
				}
				entry.ReportAnswered(k, start)
				entry.ReportProgress(k.Parts, start)
				assertPartBanned(t, entry, bad, true)
				time.Sleep(time.Second)
				entry.ReportAnswered(k, time.Now())
				assertPartBanned(t, entry, bad, false)
			})
		})
	}
}

// TestPartProgress guards against a suspected part that is not cleared by a stream that has begun, and
// against a request that is.
func TestPartProgress(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestRegistry()
		play(b, crashesOf(2, base)...)
		is.True(b.Suspected(Keys{Parts: []Identity{base}}))
		is.Equal(len(b.ReportProgress([]Identity{base}, time.Now())), 1)
		is.True(!b.Suspected(Keys{Parts: []Identity{base}}))
		is.True(b.Suspected(request(1)))
	})
}

// TestPartVerdicts guards against answers that an instance knows of and the one that counts does not
// learn.
func TestPartVerdicts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		counts, entry := newTestRegistry(), newTestRegistry()
		time.Sleep(minAnswerMemory)
		play(entry, answers(1, 0, 50, base)...)
		var sent []Verdict
		counts.OnVerdict(func(v Verdict) { sent = append(sent, v) })
		play(counts, crashesOf(2, base, bad)...)
		is.Equal(len(sent), 2)
		reports := 0
		for _, v := range sent {
			is.Equal(v.State, Suspected)
			is.True(v.Part && !v.Since.IsZero())
			entry.ApplyVerdict(v)
			if answer, ok := entry.LastAnswer(v.Identity); ok {
				is.Equal(v.Identity, base)
				counts.ApplyVerdict(answer)
				reports++
			}
		}
		is.Equal(reports, 1)
		play(counts, shift(crashesOf(1, base, bad), 0, "g")...)
		assertPartBanned(t, counts, base, false)
		assertPartBanned(t, counts, bad, true)
		// The next answer is newer than the first crash, so it is reported and clears the part.
		reported := entry.ReportAnswered(Keys{
			Request: 7,
			Parts:   []Identity{base},
		}, time.Now())
		is.Equal(len(reported), 1)
		sent = nil
		counts.ApplyVerdict(reported[0])
		is.Equal(len(sent), 1)
		is.Equal(sent[0], Verdict{Identity: base, Part: true, State: Cleared})
		is.True(!counts.Suspected(Keys{Parts: []Identity{base}}))
	})
}

// TestPartsStaySmall guards against a registry that grows with the parts of prompts.
func TestPartsStaySmall(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		b := New(time.Now, Dependencies{}, logr.Discard())
		for i := range 3 * maxRecentAnswers {
			b.ReportAnswered(Keys{
				Request: Identity(i),
				Parts:   []Identity{bad + Identity(i)},
			}, time.Now())
		}
		is.True(len(b.answers) <= maxRecentAnswers)
		is.True(len(b.recentAnswers) <= maxRecentAttempts)
		play(b, crashesOf(4*maxPartLinks, bad)...)
		is.True(len(b.suspects[bad].chain) <= maxPartLinks)
	})
}
