// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package account

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Cause is the result of a request: that it was in time, or why not.
type Cause int

// The causes. If the lines of a request show several causes, the request has the first of them
// in this order, except that InTime comes last.
const (
	// InTime means that the first event and all pauses of each attempt were in time.
	InTime Cause = iota
	// Refused means that a placement of the request was refused. If the caller sends it again
	// under another ID, that is another request.
	Refused
	// CallerGone means that the caller closed the connection, the request ran out of time, or an
	// attempt was not sent because its endpoint had been excluded meanwhile.
	CallerGone
	// Migrated means that the request was sent to another endpoint because the first one was
	// silent.
	Migrated
	// EndpointFailed means that an endpoint failed, rejected the request or could not be
	// reached.
	EndpointFailed
	// Waited means that the first event was late and that the request had waited for a placement
	// for more than a quarter of its target.
	Waited
	// FirstLate means that the first event was late for another reason, and PauseLate that a
	// pause was too long.
	FirstLate
	PauseLate
	// CauseCount is the number of causes.
	CauseCount
)

// String returns the name of the cause.
func (c Cause) String() string {
	names := [CauseCount]string{"in time", "refused", "caller gone", "moved", "endpoint failed", "waited", "first late", "pause"}
	if c < 0 || c >= CauseCount {
		return "unknown"
	}
	return names[c]
}

// Kind groups requests by the targets of their routes.
type Kind struct {
	// Target is the time within which the first event is in time; zero if no line of the request
	// states it.
	Target time.Duration
	// Gap is the longest pause that is in time; zero means no limit.
	Gap time.Duration
}

// Row contains the counts for the requests of one kind.
type Row struct {
	Kind Kind
	// Prompt is the mean length of the prompts, in tokens.
	Prompt int
	// Counts are the numbers of requests by cause.
	Counts [CauseCount]int
	// Seconds are the numbers of requests that were not in time, by the second of their last
	// line, counted from the earliest line that Read evaluates.
	Seconds map[int]int
}

// Total returns the number of requests in the row.
func (r *Row) Total() int {
	n := 0
	for _, c := range r.Counts {
		n += c
	}
	return n
}

// logLine contains the fields of a log line that the package uses.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	Attempt string    `json:"attempt"`
	Prompt  int       `json:"prompt"`
	Target  int64     `json:"target_ms"`
	Gap     int64     `json:"gap_ms"`
	Waited  int64     `json:"waited_ms"`
	First   int64     `json:"first_ms"`
	Pause   int64     `json:"longest_gap_ms"`
	Outcome string    `json:"outcome"`
}

// request accumulates the lines of a request.
type request struct {
	kind   Kind
	prompt int
	cause  Cause
	last   time.Time
}

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Read reads a log and returns one row for each kind of requests, with the shortest target
// first.
func Read(in io.Reader) ([]Row, error) {
	requests := make(map[string]*request)
	began := time.Time{}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l, ok := parseLine(scanner.Bytes())
		if !ok {
			continue
		}
		if began.IsZero() || l.Time.Before(began) {
			began = l.Time
		}
		addLine(requests, &l)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	return countByKind(requests, began), nil
}

// parseLine decodes a line. It returns false for a line that the package ignores.
func parseLine(text []byte) (logLine, bool) {
	var l logLine
	at := bytes.IndexByte(text, '{')
	if at < 0 || json.Unmarshal(text[at:], &l) != nil {
		return l, false
	}
	if l.Request == "" {
		l.Request, _, _ = strings.Cut(l.Attempt, ".")
	}
	switch l.Message {
	case "attempt":
		return l, l.Target > 0
	case "refuse", "caller gone":
		return l, l.Request != ""
	}
	return l, false
}

// addLine adds a line to its request.
func addLine(requests map[string]*request, l *logLine) {
	r := requests[l.Request]
	if r == nil {
		r = &request{}
		requests[l.Request] = r
	}
	if l.Target > 0 {
		r.kind = Kind{
			Target: time.Duration(l.Target) * time.Millisecond,
			Gap:    time.Duration(l.Gap) * time.Millisecond,
		}
	}
	r.prompt = max(r.prompt, l.Prompt)
	if l.Time.After(r.last) {
		r.last = l.Time
	}
	if c := l.causeOfLine(); r.cause == InTime || c != InTime && c < r.cause {
		r.cause = c
	}
}

// waitedDivisor determines the cause of a late first event: it is Waited if the request waited for
// a placement for more than its target divided by waitedDivisor.
const waitedDivisor = 4

// causeOfLine returns the cause that the line shows.
func (l *logLine) causeOfLine() Cause {
	switch {
	case l.Message == "refuse":
		return Refused
	case l.Message == "caller gone" || l.Outcome == "abandoned":
		return CallerGone
	case l.Outcome == "unused":
		return InTime
	case l.Outcome == "silent":
		return Migrated
	case l.Outcome != "served":
		return EndpointFailed
	case l.Waited+l.First > l.Target && l.Waited > l.Target/waitedDivisor:
		return Waited
	case l.Waited+l.First > l.Target:
		return FirstLate
	case l.Gap > 0 && l.Pause > l.Gap:
		return PauseLate
	}
	return InTime
}

// countByKind returns one row for each kind of requests, sorted by target and gap.
func countByKind(requests map[string]*request, began time.Time) []Row {
	byKind := make(map[Kind]*Row)
	for _, q := range requests {
		r := byKind[q.kind]
		if r == nil {
			r = &Row{
				Kind:    q.kind,
				Seconds: make(map[int]int),
			}
			byKind[q.kind] = r
		}
		r.Counts[q.cause]++
		r.Prompt += q.prompt
		if q.cause != InTime {
			r.Seconds[int(q.last.Sub(began)/time.Second)]++
		}
	}
	out := make([]Row, 0, len(byKind))
	for _, r := range byKind {
		r.Prompt /= r.Total()
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Kind.Target, b.Kind.Target), cmp.Compare(a.Kind.Gap, b.Kind.Gap))
	})
	return out
}
