// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/fleet"
	"github.com/linkmast/linkmast/standin"
)

// result is the response that a caller received.
type result struct {
	status int
	text   string
	whole  bool
	body   string
	err    error
	took   time.Duration
}

// complete requests a streamed completion from a node.
func complete(address, prompt string, tokens int) result {
	body, _ := json.Marshal(map[string]any{
		"model":      fleet.Model,
		"prompt":     prompt,
		"max_tokens": tokens,
		"stream":     true,
	})
	return call(address, "/v1/completions", string(body), map[string]string{"Linkmast-Deadline": "30s"})
}

// call sends a request to a node and reads the whole response.
func call(address, path, body string, header map[string]string) result {
	start := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set("Authorization", "Bearer key-desk")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{err: err, took: time.Since(start)}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	r := result{
		status: res.StatusCode,
		body:   string(data),
		err:    err,
		took:   time.Since(start),
	}
	for _, line := range strings.Split(r.body, "\n") {
		event, ok := strings.CutPrefix(line, "data: ")
		switch {
		case event == "[DONE]":
			r.whole = true
		case ok:
			var k struct{ Choices []struct{ Text string } }
			if json.Unmarshal([]byte(event), &k) == nil && len(k.Choices) == 1 {
				r.text += k.Choices[0].Text
			}
		}
	}
	return r
}

// startStreams starts n streams of the given number of tokens through each address. The
// returned function waits for their end and returns the results by address.
func startStreams(addresses []string, n, tokens int) func() map[string][]result {
	var all sync.WaitGroup
	var mu sync.Mutex
	out := make(map[string][]result)
	for _, a := range addresses {
		for i := range n {
			all.Go(func() {
				r := complete(a, fmt.Sprintf("%s %d", a, i), tokens)
				if r.whole && r.text != standin.Answer(fmt.Sprintf("%s %d", a, i), tokens) {
					r.err = fmt.Errorf("answer differs from the expected one")
				}
				mu.Lock()
				out[a] = append(out[a], r)
				mu.Unlock()
			})
		}
	}
	return func() map[string][]result {
		all.Wait()
		return out
	}
}

// wantWhole fails the test unless all answers are complete.
func wantWhole(t *testing.T, what string, results []result) {
	t.Helper()
	for _, r := range results {
		if !r.whole || r.err != nil {
			t.Errorf("%s: answer is incomplete: status %d, %v, %.200s", what, r.status, r.err, r.body)
		}
	}
}

// TestNodeKilled kills a node. It guards against broken streams of other nodes, streams of
// the killed node that look complete, and leaked engine memory.
func TestNodeKilled(t *testing.T) {
	d := deploy(t, 3)
	wait := startStreams(d.addresses(), 4, 400) // lasts about 4 s
	time.Sleep(time.Second)
	d.nodes[0].signal(syscall.SIGKILL)
	got := wait()
	for _, p := range d.nodes[1:] {
		wantWhole(t, p.name, got[p.address])
	}
	for _, r := range got[d.nodes[0].address] {
		if r.whole {
			t.Error("a stream of a killed node looks complete")
		}
	}
	d.wantMemoryReleased(15 * time.Second)
	after := startStreams(d.addresses()[1:], 4, 20)()
	for a, r := range after {
		wantWhole(t, a, r)
	}
}

// TestNodeFrozenAndAwake freezes a node and resumes it. It guards against broken streams of
// other nodes, leaked engine memory, and wrong answers after the node resumes.
func TestNodeFrozenAndAwake(t *testing.T) {
	d := deploy(t, 3)
	wait := startStreams(d.addresses(), 4, 400)
	time.Sleep(time.Second)
	d.nodes[0].signal(syscall.SIGSTOP)
	time.Sleep(500 * time.Millisecond)
	during := startStreams(d.addresses()[1:], 6, 20)()
	for a, r := range during {
		wantWhole(t, a, r)
	}
	d.wantMemoryReleased(20 * time.Second)
	d.nodes[0].signal(syscall.SIGCONT)
	got := wait()
	for _, p := range d.nodes[1:] {
		wantWhole(t, p.name, got[p.address])
	}
	for _, r := range got[d.nodes[0].address] {
		if r.whole && r.err != nil {
			t.Error(r.err)
		}
	}
	time.Sleep(2 * time.Second)
	after := startStreams(d.addresses(), 4, 20)()
	for a, r := range after {
		wantWhole(t, a, r)
	}
	d.wantMemoryReleased(15 * time.Second)
}

// TestPlannedStop guards against requests that fail because nodes are stopped as planned.
func TestPlannedStop(t *testing.T) {
	for _, c := range []struct {
		name   string
		stops  []int
		outage bool
	}{
		{"one node", []int{0}, false},
		{"two nodes together", []int{0, 1}, false},
		{"during an outage of the platform", []int{0}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, 3)
			wait := startStreams(d.addresses(), 6, 400)
			time.Sleep(500 * time.Millisecond)
			if c.outage {
				put(t, "http://"+d.platform.address+"/faults", `{"outage":true}`)
			}
			for _, i := range c.stops {
				d.nodes[i].signal(syscall.SIGTERM)
			}
			// A load balancer still sends requests to stopping nodes for a while.
			time.Sleep(300 * time.Millisecond)
			during := startStreams(d.addresses(), 4, 100)()
			for a, r := range during {
				wantWhole(t, "sent while stopping "+a, r)
			}
			for a, r := range wait() {
				wantWhole(t, "open while stopping "+a, r)
			}
			for _, i := range c.stops {
				select {
				case err := <-d.nodes[i].exited:
					is.NoErr(err)
				case <-time.After(15 * time.Second):
					t.Errorf("%s did not exit: %s", d.nodes[i].name, d.nodes[i].text())
				}
			}
			d.wantMemoryReleased(10 * time.Second)
		})
	}
}

// TestEngineKilledAndFrozen guards against the loss of streams of other engines, and
// against late failures, when an engine is killed or frozen.
func TestEngineKilledAndFrozen(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		t.Run(s.String(), func(t *testing.T) {
			d := deploy(t, 2)
			wait := startStreams(d.addresses(), 6, 300)
			time.Sleep(time.Second)
			d.engines[0].signal(s)
			whole := 0
			for _, results := range wait() {
				for _, r := range results {
					if r.whole && r.err != nil {
						t.Error(r.err)
					}
					if r.whole {
						whole++
					}
					if !r.whole {
						t.Logf("incomplete after %s: %.300s", r.took, r.body[max(0, len(r.body)-300):])
					}
					if !r.whole && r.took > 10*time.Second {
						t.Errorf("failure took too long, %s: %s", r.took, r.body)
					}
				}
			}
			if whole < 6 {
				t.Errorf("%d of 12 streams were complete; only those of one engine may be lost", whole)
			}
			after := startStreams(d.addresses(), 4, 20)()
			for a, r := range after {
				wantWhole(t, a, r)
			}
			d.engines = d.engines[1:]
			d.wantMemoryReleased(10 * time.Second)
		})
	}
}

// TestPlatformFrozen guards against calls that hang, and completions that fail, while the
// platform is frozen.
func TestPlatformFrozen(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 2)
	key := map[string]string{
		"Idempotency-Key":   "k1",
		"Linkmast-Deadline": "20s",
	}
	first := call(d.nodes[0].address, "/services/lots/bids", `{"bid":1}`, key)
	is.Equal(first.status, http.StatusOK)
	d.platform.signal(syscall.SIGSTOP)
	again := call(d.nodes[1].address, "/services/lots/bids", `{"bid":1}`, key)
	is.True(again.status == http.StatusOK || strings.Contains(again.body, "may_have_run") || strings.Contains(again.body, "not_run"))
	key["Idempotency-Key"] = "k2"
	down := call(d.nodes[1].address, "/services/lots/bids", `{"bid":2}`, key)
	is.Equal(down.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(down.body, `"ran":"not_run"`))
	is.True(down.took < 5*time.Second)
	plain := startStreams(d.addresses(), 3, 20)()
	for a, r := range plain {
		wantWhole(t, a, r)
	}
	d.platform.signal(syscall.SIGCONT)
	time.Sleep(5 * time.Second)
	later := call(d.nodes[0].address, "/services/lots/bids", `{"bid":2}`, key)
	is.Equal(later.status, http.StatusOK)
}
