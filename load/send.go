// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/problem"
	"github.com/linkmast/linkmast/standin"
)

// Settings configures a run.
type Settings struct {
	// Addresses are the addresses of the nodes, or of a load balancer in front of them.
	Addresses []string
	// Rate is the mean number of requests per second.
	Rate float64
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// Seed determines arrivals, kinds and lengths.
	Seed uint64
	// Warmup is the length of the initial period whose requests are counted but whose
	// latencies are not recorded.
	Warmup time.Duration
}

// Run sends the requests of a profile and waits for all answers. If ctx ends before the last
// request is sent, Run sends no more and leaves Report.Seconds at zero. The caller must call
// Report.Finish to compute the percentiles.
func Run(ctx context.Context, p *Profile, s Settings) *Report {
	r := rand.New(rand.NewPCG(s.Seed, s.Seed))
	due := p.arrivals(s.Rate, s.Duration, r)
	x := &sender{
		profile:  p,
		settings: s,
		client:   wirehttp.Client(),
		filler:   fillerText(p, r),
		report:   newReport(p, s),
	}
	var all sync.WaitGroup
	start := time.Now()
	for _, a := range due {
		select {
		case <-time.After(time.Until(start.Add(a.at))):
		case <-ctx.Done():
			all.Wait()
			return x.report
		}
		all.Go(func() { x.sendOne(ctx, a, start.Add(a.at)) })
	}
	all.Wait()
	x.report.Seconds = time.Since(start).Seconds()
	return x.report
}

// sender sends the requests of a run and records their outcomes.
type sender struct {
	profile  *Profile
	settings Settings
	client   *http.Client
	filler   string
	sent     atomic.Uint64
	report   *Report
}

// fillerText returns random text of the length of the longest prompt.
func fillerText(p *Profile, r *rand.Rand) string {
	longest := 0
	for i := range p.Kinds {
		longest = max(longest, p.Kinds[i].MaxTokens)
	}
	b := make([]byte, longest*engine.TokenBytes)
	const letters = "abcdefghijklmnopqrstuvwxyz     0123456789"
	for i := range b {
		b[i] = letters[r.IntN(len(letters))]
	}
	return string(b)
}

// prompt returns a prompt that is unique in the run: the prefix that the prompts of the kind
// share, the kind, the seed and the number of the request, and filler. It is longer than a.tokens
// if the parts before the filler don't fit.
func (x *sender) prompt(a arrival) string {
	size := a.tokens * engine.TokenBytes
	shared := a.kind.SharedTokens * engine.TokenBytes
	mark := fmt.Sprintf(" %s %d %d ", a.kind.Name, x.settings.Seed, a.number)
	var b strings.Builder
	b.Grow(size)
	b.WriteString(x.filler[:shared])
	b.WriteString(mark)
	if rest := size - b.Len(); rest > 0 {
		b.WriteString(x.filler[shared : shared+rest])
	}
	return b.String()
}

// sendOne sends one request and records its outcome.
func (x *sender) sendOne(ctx context.Context, a arrival, due time.Time) {
	o := outcome{
		kind:     a.kind,
		tokens:   a.tokens,
		measured: a.at >= x.settings.Warmup,
	}
	if a.kind.isPlain() {
		x.sendPlain(ctx, a, due, &o)
	} else {
		x.sendCompletion(ctx, a, due, &o)
	}
	x.report.add(&o)
}

// newRequest returns an HTTP request to the next address in rotation.
func (x *sender) newRequest(ctx context.Context, a arrival, path string, body []byte) (*http.Request, error) {
	address := x.settings.Addresses[int(x.sent.Add(1))%len(x.settings.Addresses)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, wirehttp.Once(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+a.kind.Key)
	req.Header.Set("Linkmast-Deadline", time.Duration(a.kind.Deadline).String())
	if a.kind.Once {
		req.Header.Set("Linkmast-Once", "true")
	}
	return req, nil
}

// do sends a request. If a node refuses the connection, it tries the next one, as a load
// balancer does.
func (x *sender) do(ctx context.Context, a arrival, path string, body []byte) (*http.Response, error) {
	var last error
	for range x.settings.Addresses {
		req, err := x.newRequest(ctx, a, path, body)
		if err != nil {
			return nil, err
		}
		res, err := x.client.Do(req)
		if err == nil {
			return res, nil
		}
		last = err
		if !strings.Contains(err.Error(), "connection refused") {
			break
		}
	}
	return nil, last
}

// sendPlain makes a plain call to the service.
func (x *sender) sendPlain(ctx context.Context, a arrival, due time.Time, o *outcome) {
	body := []byte(fmt.Sprintf(`{"bid":%d,"seed":%d}`, a.number, x.settings.Seed))
	res, err := x.do(ctx, a, "/services/"+x.profile.Service+"/bids", body)
	if err != nil {
		o.fail(err)
		return
	}
	defer wirehttp.Drain(res.Body)
	if res.StatusCode != http.StatusOK {
		o.refuse(res, due)
		return
	}
	o.first = time.Since(due)
	if _, err := io.ReadAll(res.Body); err != nil {
		o.fail(err)
		return
	}
	o.total = time.Since(due)
	o.answered = true
}

// sendCompletion requests a streamed completion.
func (x *sender) sendCompletion(ctx context.Context, a arrival, due time.Time, o *outcome) {
	prompt := x.prompt(a)
	body, err := json.Marshal(map[string]any{
		"model":      x.profile.Model,
		"prompt":     prompt,
		"max_tokens": a.kind.OutputTokens,
		"stream":     true,
	})
	if err != nil {
		o.fail(err)
		return
	}
	want := standin.Answer(prompt, a.kind.OutputTokens)
	res, err := x.do(ctx, a, "/v1/completions", body)
	if err != nil {
		o.fail(err)
		return
	}
	defer wirehttp.Drain(res.Body)
	if res.StatusCode != http.StatusOK {
		o.refuse(res, due)
		return
	}
	x.readStream(res.Body, due, want, o)
}

// errCut reports that a stream ended before its end marker or sent an invalid event.
var errCut = errors.New("the answer was cut")

// readStream reads a streamed answer and compares it with want.
func (x *sender) readStream(body io.Reader, due time.Time, want string, o *outcome) {
	var text strings.Builder
	lines := bufio.NewReaderSize(body, 2<<10)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			o.cut = o.first > 0
			o.fail(errCut)
			return
		}
		event, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case !ok:
			continue
		case event == "[DONE]":
			o.total = time.Since(due)
			o.answered = true
			o.wrong = text.String() != want
			return
		}
		if o.first == 0 {
			o.first = time.Since(due)
		}
		var k struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(event), &k); err != nil || len(k.Choices) != 1 {
			o.cut = true
			o.fail(errCut)
			return
		}
		text.WriteString(k.Choices[0].Text)
	}
}

// refuse records an answer whose status is not 200. It counts as refused if its problem
// document says that the request did not run, and otherwise as failed.
func (o *outcome) refuse(res *http.Response, due time.Time) {
	data, err := io.ReadAll(io.LimitReader(res.Body, wirehttp.MaxErrorBody))
	p, ok := problem.Parse(data)
	if err != nil || !ok {
		o.fail(errors.Errorf("status %d without a problem document", res.StatusCode))
		return
	}
	o.code = p.Code
	o.refused = p.Ran == problem.NotRun
	o.failed = !o.refused
	o.total = time.Since(due)
}

// fail records a failure without a problem document.
func (o *outcome) fail(err error) {
	o.failed = true
	o.cause = err.Error()
}
