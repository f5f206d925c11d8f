// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package rollout

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/internal/zdelta"
)

// configText returns a configuration with n endpoints. Two versions differ in one setting of one
// endpoint.
func configText(n, version int) []byte {
	var b strings.Builder
	b.WriteString("format = 1\n[[regions]]\nid = \"r1\"\n")
	for d := range 12 {
		fmt.Fprintf(&b, "[[failure_domains]]\nid = \"d%d\"\nregion = \"r1\"\n", d)
	}
	b.WriteString("[[tiers]]\nid = \"gold\"\nrank = 0\n")
	for c := range n/20 + 1 {
		fmt.Fprintf(&b, "[[customers]]\nid = \"customer-%d\"\ntier = \"gold\"\nkey_sha256 = [\"%x\"]\nconcurrency = 50\n", c,
			sha256.Sum256([]byte(fmt.Sprint(c))))
	}
	b.WriteString("[[models]]\nid = \"m1\"\nversion = \"1\"\nkv_bytes_per_token = 1024\nmax_prompt_tokens = 1000000\n")
	for i := range n {
		running := 64
		if i == n/2 {
			running += version
		}
		fmt.Fprintf(&b, "[[endpoints]]\nid = \"engine-%d\"\nkind = \"engine\"\naddress = \"10.%d.%d.%d:8000\"\n"+
			"failure_domain = \"d%d\"\nmodel = \"m1\"\nmemory_bytes = 400000000\nprefill_tokens_per_second = 40000.0\n"+
			"max_running = %d\n", i, i>>16, i>>8&255, i&255, i%12, running)
	}
	return []byte(b.String())
}

var sizes = []int{10, 100, 1_000, 10_000}

// BenchmarkSlopeParse reports the time to parse a configuration, and its size.
func BenchmarkSlopeParse(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			text := configText(n, 0)
			for b.Loop() {
				if _, err := config.Parse(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "file-bytes")
		})
	}
}

// BenchmarkSlopeDelta reports the time to pack a delta, and the sizes of the delta and the whole
// packed file.
func BenchmarkSlopeDelta(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			old, text := configText(n, 0), configText(n, 7)
			var delta []byte
			for b.Loop() {
				var err error
				if delta, err = zdelta.Pack(text, old); err != nil {
					b.Fatal(err)
				}
			}
			whole, err := zdelta.Pack(text, nil)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(delta)), "delta-bytes")
			b.ReportMetric(float64(len(whole)), "whole-bytes")
		})
	}
}

// BenchmarkSlopeUndelta reports the time to unpack a delta.
func BenchmarkSlopeUndelta(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			old, text := configText(n, 0), configText(n, 7)
			delta, err := zdelta.Pack(text, old)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := zdelta.Unpack(delta, old); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSlopeViewMemory reports the heap that a parsed configuration and its view occupy.
func BenchmarkSlopeViewMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			text := configText(n, 0)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f, err := config.Parse(text)
			if err != nil {
				b.Fatal(err)
			}
			v := config.NewView(f, 1)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(text)
			for b.Loop() {
				v.Customer("customer-0")
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "held-bytes")
		})
	}
}
