// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package load

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/linkmast/linkmast/policy"
	"github.com/linkmast/linkmast/problem"
)

// The range of the histograms in microseconds, and their precision in decimal digits.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// outcome is the result of one request.
type outcome struct {
	kind *Kind
	// tokens is the length of the prompt; zero for plain calls.
	tokens int
	// measured is false during the warm-up.
	measured bool
	answered bool
	refused  bool
	failed   bool
	cut      bool
	wrong    bool
	code     problem.Code
	cause    string
	first    time.Duration
	total    time.Duration
}

// Class holds the results of one class of prompt lengths, or of plain calls.
type Class struct {
	// Name is the name of the class.
	Name string `json:"class"`
	// Sent, Answered, Refused, Failed, Cut and Wrong count requests. Refused requests did
	// not run. Cut requests are failed ones that ended after part of the answer. Wrong
	// requests are answered ones whose answer is not the expected one.
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	Cut      int `json:"cut"`
	Wrong    int `json:"wrong"`
	// FirstP50, FirstP95 and FirstP99 are percentiles of the time to the first token, or to
	// the response header of a plain call, in milliseconds.
	FirstP50 float64 `json:"ttft_p50_ms"`
	FirstP95 float64 `json:"ttft_p95_ms"`
	FirstP99 float64 `json:"ttft_p99_ms"`
	// TotalP95 is the 95th percentile of the time to the end of the answer, in
	// milliseconds.
	TotalP95 float64 `json:"total_p95_ms"`
	// RefusalP99 is the 99th percentile of the time to a refusal, in milliseconds.
	RefusalP99 float64 `json:"refusal_p99_ms"`

	first   *hdrhistogram.Histogram
	total   *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
}

// Report holds the results of a run.
type Report struct {
	// Profile and Rate are the profile and the requests per second of the run.
	Profile string  `json:"profile"`
	Rate    float64 `json:"rate"`
	// Seconds is the duration of the run, with the wait for the last answers. It is zero if
	// the run was interrupted.
	Seconds float64 `json:"seconds"`
	// Sent, Answered, Refused, Failed, Cut and Wrong count requests as in Class.
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	Cut      int `json:"cut"`
	Wrong    int `json:"wrong"`
	// Doubled counts plain calls that took effect more than once. Only an embedded fleet can
	// detect them.
	Doubled int `json:"doubled"`
	// LeakedBytes is engine memory that was not released. Only an embedded fleet can detect
	// it.
	LeakedBytes int64 `json:"leaked_bytes"`
	// GoodTokens is the rate of prompt tokens of answered requests, per second.
	GoodTokens float64 `json:"good_tokens_per_second"`
	// Codes counts refusals and failures by problem code, or by error text if there is no
	// code.
	Codes map[string]int `json:"codes"`
	// Classes are the results of each class.
	Classes []*Class `json:"classes"`

	mu     sync.Mutex
	tokens int
}

// newReport returns an empty report with all classes.
func newReport(p *Profile, s Settings) *Report {
	r := &Report{
		Profile: p.Name,
		Rate:    s.Rate,
		Codes:   make(map[string]int),
	}
	names := []string{"plain"}
	for c := range policy.Class(policy.Classes) {
		names = append(names, c.String())
	}
	for _, n := range names {
		r.Classes = append(r.Classes, &Class{
			Name:    n,
			first:   hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
			total:   hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
			refusal: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		})
	}
	return r
}

// Class returns the results of the class with a name, or an empty Class if there is none.
func (r *Report) Class(name string) *Class {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return &Class{}
}

// add counts an outcome and records its times if it is measured.
func (r *Report) add(o *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := "plain"
	if o.tokens > 0 {
		name = policy.ClassOf(o.tokens).String()
	}
	c := r.Class(name)
	r.Sent++
	c.Sent++
	increment(o.answered, &r.Answered, &c.Answered)
	increment(o.refused, &r.Refused, &c.Refused)
	increment(o.failed, &r.Failed, &c.Failed)
	increment(o.cut, &r.Cut, &c.Cut)
	increment(o.wrong, &r.Wrong, &c.Wrong)
	switch {
	case o.code != "":
		r.Codes[string(o.code)]++
	case o.cause != "":
		r.Codes[o.cause]++
	}
	if o.answered {
		r.tokens += o.tokens
	}
	if o.measured {
		c.record(o)
	}
}

// increment increments the counters if yes is true.
func increment(yes bool, counters ...*int) {
	if !yes {
		return
	}
	for _, c := range counters {
		*c++
	}
}

// record records the times of an answered or refused request.
func (c *Class) record(o *outcome) {
	switch {
	case o.answered:
		recordClamped(c.first, o.first)
		recordClamped(c.total, o.total)
	case o.refused:
		recordClamped(c.refusal, o.total)
	}
}

// recordClamped records a duration. Durations out of range count as the nearest bound.
func recordClamped(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the range, so RecordValue can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

// Finish computes GoodTokens and the percentiles from the recorded outcomes. It leaves
// GoodTokens at zero if Seconds is zero.
func (r *Report) Finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Seconds > 0 {
		r.GoodTokens = float64(r.tokens) / r.Seconds
	}
	for _, c := range r.Classes {
		c.FirstP50 = percentileMs(c.first, 50)
		c.FirstP95 = percentileMs(c.first, 95)
		c.FirstP99 = percentileMs(c.first, 99)
		c.TotalP95 = percentileMs(c.total, 95)
		c.RefusalP99 = percentileMs(c.refusal, 99)
	}
}

// percentileMs returns a percentile in milliseconds, with q from 0 to 100.
func percentileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Table writes the report as a table, followed by the counts in Codes.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tsent\tanswered\trefused\tfailed\tcut\twrong\tTTFT p50 ms\tTTFT p95 ms\tend p95 ms\t")
	for _, c := range r.Classes {
		if c.Sent == 0 {
			continue
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", c.Name, c.Sent, c.Answered, c.Refused, c.Failed,
			c.Cut, c.Wrong, c.FirstP50, c.FirstP95, c.TotalP95)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	codes := make([]string, 0, len(r.Codes))
	for c := range r.Codes {
		codes = append(codes, c)
	}
	sort.Strings(codes)
	for _, c := range codes {
		fmt.Fprintf(w, "%6d  %s\n", r.Codes[c], c)
	}
	return nil
}
