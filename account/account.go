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

// Cause is what became of a request.
type Cause int

// The causes, of which the first that holds counts.
const (
	// InTime requests had their first event and all pauses in time, at the first attempt.
	InTime Cause = iota
	// Refused ones got no place. A caller that comes back has another request.
	Refused
	// CallerGone ones were left by their callers, or ran out of time.
	CallerGone
	// Migrated ones went elsewhere as their endpoint was silent.
	Migrated
	// EndpointFailed ones had an endpoint that failed, turned them away or wasn't there.
	EndpointFailed
	// Waited ones were late after they waited for a place for a quarter of their target.
	Waited
	// FirstLate ones had a late first event, and PauseLate a pause that was too long.
	FirstLate
	PauseLate
	// CauseCount is how many there are.
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

// Kind is a kind of requests.
type Kind struct {
	// Target is within what time the first event is in time; zero when only refusals
	// are known.
	Target time.Duration
	// Gap is the longest pause in time; zero means that none counts.
	Gap time.Duration
}

// Row counts the requests of a kind.
type Row struct {
	Kind Kind
	// Prompt is the mean length of the prompts, in tokens.
	Prompt int
	// Counts are the requests by cause.
	Counts [CauseCount]int
	// Seconds are the requests that were not in time by the second of their last line,
	// from the first line on.
	Seconds map[int]int
}

// Total returns how many requests the row counts.
func (r *Row) Total() int {
	n := 0
	for _, c := range r.Counts {
		n += c
	}
	return n
}

// logLine is what is read of a log logLine.
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

// request is what is known of a request.
type request struct {
	kind   Kind
	prompt int
	cause  Cause
	last   time.Time
}

// maxLineBytes bounds a line, in bytes.
const maxLineBytes = 1 << 20

// Read accounts for the requests that lines tell of: a row for each kind, the shortest
// target first.
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
		return nil, errors.Wrap(err, "log")
	}
	return countByKind(requests, began), nil
}

// parseLine returns a line that counts.
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

// addLine takes over a line.
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

// waitedDivisor is the part of its target, as a divisor, that a late request waited for it
// to count as late for waiting.
const waitedDivisor = 4

// causeOfLine returns what a line alone tells.
func (l *logLine) causeOfLine() Cause {
	switch {
	case l.Message == "refuse":
		return Refused
	case l.Message == "caller gone" || l.Outcome == "abandoned":
		return CallerGone
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

// countByKind counts requests by kind.
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
