// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/fleet"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/settings"
	"github.com/linkmast/linkmast/standin"
)

// disableDecisionLog turns off the logging of decisions in a node's settings.
func disableDecisionLog(s *settings.File) {
	no := false
	s.LogDecisions = &no
}

// startFleet starts a fleet without logs of decisions. It is closed at the end of the benchmark.
func startFleet(b *testing.B, s fleet.Settings) *fleet.Fleet {
	b.Helper()
	s.Node = disableDecisionLog
	f, err := fleet.Start(s)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	return f
}

// fastEngine returns the settings of an engine with almost no latency, so that the node's latency
// dominates.
func fastEngine() standin.EngineSettings {
	return standin.EngineSettings{
		PrefillTokensPerSecond: 1e9,
		DecodeStep:             100 * time.Microsecond,
	}
}

// BenchmarkFirstToken reports the time to first token directly from an engine and through a node,
// and the difference. Requests alternate between the two.
func BenchmarkFirstToken(b *testing.B) {
	f := startFleet(b, fleet.Settings{
		Nodes:   1,
		Engines: 1,
		Engine:  fastEngine(),
	})
	prompt := strings.Repeat("abcdefgh", 500)
	client := wirehttp.Client()
	var direct, through []time.Duration
	e := engine.NewHTTP(client, f.Engines[0].Address)
	n := 0
	for b.Loop() {
		n++
		start := time.Now()
		s, err := e.Run(context.Background(), engine.Attempt{
			ID:        fmt.Sprintf("direct-%d", n),
			Model:     fleet.Model,
			Prompt:    prompt,
			MaxTokens: 1,
		})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
		direct = append(direct, time.Since(start))
		s.Close()
		start = time.Now()
		body := complete(b, client, f.Nodes[0].Listen, prompt, 1)
		var one [1]byte
		if _, err := io.ReadFull(body, one[:]); err != nil {
			b.Fatal(err)
		}
		through = append(through, time.Since(start))
		wirehttp.Drain(body)
	}
	for _, q := range []float64{0.5, 0.99} {
		d, t := quantile(direct, q), quantile(through, q)
		b.ReportMetric(float64(d.Microseconds()), fmt.Sprintf("direct-p%g-µs", q*100))
		b.ReportMetric(float64(t.Microseconds()), fmt.Sprintf("node-p%g-µs", q*100))
		b.ReportMetric(float64((t - d).Microseconds()), fmt.Sprintf("added-p%g-µs", q*100))
	}
}

// complete requests a streamed completion from a node and returns the body of the answer.
func complete(b *testing.B, client *http.Client, address, prompt string, tokens int) io.ReadCloser {
	b.Helper()
	data, err := json.Marshal(map[string]any{
		"model":      fleet.Model,
		"prompt":     prompt,
		"max_tokens": tokens,
		"stream":     true,
	})
	if err != nil {
		b.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key-desk")
	req.Header.Set("Linkmast-Deadline", "5m")
	res, err := client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	if res.StatusCode != http.StatusOK {
		out, _ := io.ReadAll(res.Body)
		b.Fatalf("status %d: %s", res.StatusCode, out)
	}
	return res.Body
}

// quantile returns the q-quantile of d, for q from 0 to 1.
func quantile(d []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(d))
	return sorted[int(q*float64(len(sorted)-1))]
}

// processorTime returns the user and system CPU time that this process has used, or zero if it is
// not available.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSlopeRelay reports the CPU time per token of n concurrent streams of 1000 tokens,
// directly from the engines, and the additional time through a node. The process includes the
// engines and the callers, so the difference is the node's share.
func BenchmarkSlopeRelay(b *testing.B) {
	const tokens = 1000
	for _, n := range []int{1, 10, 50, 100} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			f := startFleet(b, fleet.Settings{
				Nodes:   1,
				Engines: 4,
				Engine:  steadyEngine(),
			})
			client := wirehttp.Client()
			var direct, through time.Duration
			rounds := 0
			for b.Loop() {
				rounds++
				start := processorTime()
				runConcurrently(n, func(i int) { drainEngine(b, client, f, rounds*1000+i, tokens) })
				direct += processorTime() - start
				start = processorTime()
				runConcurrently(n, func(i int) {
					drain(complete(b, client, f.Nodes[0].Listen, fmt.Sprintf("prompt %d", i), tokens))
				})
				through += processorTime() - start
			}
			all := float64(rounds * n * tokens)
			b.ReportMetric(float64(direct.Nanoseconds())/all, "direct-cpu-ns/token")
			b.ReportMetric(float64((through-direct).Nanoseconds())/all, "node-cpu-ns/token")
		})
	}
}

// steadyEngine returns the settings of an engine that produces a token every 2 ms.
func steadyEngine() standin.EngineSettings {
	return standin.EngineSettings{
		PrefillTokensPerSecond: 1e9,
		DecodeStep:             2 * time.Millisecond,
	}
}

// runConcurrently calls f(0) to f(n-1) concurrently and waits for all calls.
func runConcurrently(n int, f func(int)) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { f(i) })
	}
	all.Wait()
}

// drain reads a body to its end and closes it.
func drain(body io.ReadCloser) {
	io.Copy(io.Discard, body)
	body.Close()
}

// drainEngine runs an attempt directly on an engine and reads the whole answer.
func drainEngine(b *testing.B, client *http.Client, f *fleet.Fleet, number, tokens int) {
	data, err := json.Marshal(engine.Attempt{
		ID:        fmt.Sprintf("direct-%d", number),
		Model:     fleet.Model,
		Prompt:    "prompt",
		MaxTokens: tokens,
	})
	if err != nil {
		b.Error(err)
		return
	}
	address := f.Engines[number%len(f.Engines)].Address
	res, err := client.Post("http://"+address+"/v1/attempts", "application/json", bytes.NewReader(data))
	if err != nil {
		b.Error(err)
		return
	}
	drain(res.Body)
}

// BenchmarkSlopeStreamMemory reports the heap and stack bytes that n open streams occupy in a node:
// those of the whole process with streams through the node, minus those with streams directly from
// the engines.
func BenchmarkSlopeStreamMemory(b *testing.B) {
	const tokens = 4000
	for _, n := range []int{10, 100, 200, 400} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			f := startFleet(b, fleet.Settings{
				Nodes:   1,
				Engines: 8,
				Engine: standin.EngineSettings{
					PrefillTokensPerSecond: 1e9,
					// The simulated engine keeps the tokens that it has sent, so it must send few
					// while the streams are open.
					DecodeStep: 400 * time.Millisecond,
				},
			})
			var direct, through int64
			for b.Loop() {
				direct = openMemory(func(c *http.Client, i int) io.Closer {
					data, _ := json.Marshal(engine.Attempt{
						ID:        fmt.Sprintf("direct-%d", i),
						Model:     fleet.Model,
						Prompt:    "prompt",
						MaxTokens: tokens,
					})
					res, err := c.Post("http://"+f.Engines[i%8].Address+"/v1/attempts", "application/json", bytes.NewReader(data))
					if err != nil {
						b.Fatal(err)
					}
					return res.Body
				}, n)
				for i := range n {
					f.Engines[i%8].Engine.Cancel(context.Background(), fmt.Sprintf("direct-%d", i))
				}
				through = openMemory(func(c *http.Client, i int) io.Closer {
					return complete(b, c, f.Nodes[0].Listen, fmt.Sprintf("prompt %d", i), tokens)
				}, n)
				f.WaitMemoryReleased(10 * time.Second)
			}
			b.ReportMetric(float64(through-direct), "node-bytes")
		})
	}
}

// openMemory returns the heap and stack bytes that n open streams occupy in the process.
func openMemory(open func(*http.Client, int) io.Closer, n int) int64 {
	client := &http.Client{
		Transport: &http.Transport{},
	}
	before := memory()
	streams := make([]io.Closer, n)
	runConcurrently(n, func(i int) { streams[i] = open(client, i) })
	time.Sleep(200 * time.Millisecond)
	after := memory()
	for _, s := range streams {
		s.Close()
	}
	client.CloseIdleConnections()
	time.Sleep(300 * time.Millisecond)
	return after - before
}

// memory returns the bytes of live heap and of stacks, after garbage collection.
func memory() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkSlopeIdle reports the CPU time of a process with n idle nodes, divided by n, as a
// percentage of one core. It includes the simulated engines and platform.
func BenchmarkSlopeIdle(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			f := startFleet(b, fleet.Settings{
				Nodes:   n,
				Engines: 2 * n,
			})
			const duration = 3 * time.Second
			var cpu time.Duration
			for b.Loop() {
				start := processorTime()
				time.Sleep(duration)
				cpu = processorTime() - start
			}
			perNode := cpu.Seconds() / duration.Seconds() / float64(len(f.Nodes))
			b.ReportMetric(perNode*100, "core-percent/node")
		})
	}
}

// BenchmarkRefusal reports the latency of refusing a request whose deadline no engine can meet.
func BenchmarkRefusal(b *testing.B) {
	f := startFleet(b, fleet.Settings{
		Nodes:   3,
		Engines: 6,
	})
	client := wirehttp.Client()
	var times []time.Duration
	data, err := json.Marshal(map[string]any{
		"model":      fleet.Model,
		"prompt":     strings.Repeat("abcdefgh", 500),
		"max_tokens": 2000,
	})
	if err != nil {
		b.Fatal(err)
	}
	n := 0
	for b.Loop() {
		n++
		req, err := http.NewRequest(http.MethodPost, "http://"+f.Nodes[n%3].Listen+"/v1/completions", bytes.NewReader(data))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer key-desk")
		req.Header.Set("Linkmast-Deadline", "2s")
		start := time.Now()
		res, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		wirehttp.Drain(res.Body)
		times = append(times, time.Since(start))
		if res.StatusCode != http.StatusServiceUnavailable {
			b.Fatalf("status %d", res.StatusCode)
		}
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(times[(len(times)-1)*99/100].Microseconds()), "p99-µs")
}
