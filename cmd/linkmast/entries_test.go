// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// oddValues are values of entries that an instance can't use.
func oddValues() []string {
	const (
		depth  = 60_000
		digits = 200_000
	)
	entry := func(address, slots string) string {
		return `{"service":"plain","address":"` + address + `","zone":"domain-1","version":"v1","slots":` + slots +
			`,"state":"ready","cold_left_ms":0,"sequence":1,"domain":"domain-1","capacity":` + slots + `}`
	}
	return []string{
		strings.Repeat("[", depth) + strings.Repeat("]", depth),
		strings.Repeat(`{"service":`, depth),
		`{"service":` + strings.Repeat(`{"a":`, 9_000) + "1" + strings.Repeat("}", 9_000) + "}",
		entry("127.0.0.1:9", "1e400"),
		entry("127.0.0.1:9", strings.Repeat("9", digits)),
		entry("127.0.0.1:9", "9223372036854775807"),
		entry("127.0.0.1:9", "-9223372036854775808"),
		entry("127.0.0.1:9", "0"),
		entry("127.0.0.1:70000", "6"),
		entry("127.0.0.1:-1", "6"),
		entry("127.0.0.1:0", "6"),
		entry("[::1%", "6"),
		entry("no-such-host.invalid:80", "6"),
		entry(strings.Repeat("1", digits), "6"),
		entry(strings.Repeat("1", digits)+":80", "6"),
		strings.Replace(entry("127.0.0.1:9", "6"), "domain-1", strings.Repeat("d", digits), 2),
		`{"for_ms":1e400,"times":1}`,
		"\xff\xfe\x00", "null", "[]", `""`, "{", "{}", "0",
	}
}

// oddKeys are keys under which they are written. The sound endpoint has one of its own.
func oddKeys(n int) map[string][]string {
	return map[string][]string{
		platformtest.TopicEndpoints: {fmt.Sprintf("odd-%d", n), "\xff" + strings.Repeat("k", 200), ""},
		platformtest.TopicPeers:     {fmt.Sprintf("odd-%d", n), "ban/", "ban/fe", fmt.Sprintf("ban/%x", n)},
		platformtest.TopicOperator:  {"config", "evacuate/", fmt.Sprintf("odd-%d", n)},
	}
}

// writeOdd writes odd entries to all topics, followed by sound ones under the same keys in every second
// round.
func (s *platformStore) writeOdd(rounds int) {
	for n := range rounds {
		for k, value := range oddValues() {
			for topic, keys := range oddKeys(n*100 + k) {
				for _, key := range keys {
					s.PutBytes(topic, key, []byte(value))
				}
			}
		}
		if n%2 == 0 {
			continue
		}
		for k := range oddValues() {
			name := fmt.Sprintf("odd-%d", n*100+k)
			s.PutEndpoint(platformtest.EndpointEntry{
				Instance: name,
				Service:  "unused",
				Address:  "127.0.0.1:9",
				Domain:   "domain-1",
				Slots:    1,
			})
			s.DeleteEndpoint(name)
			s.PutBytes(platformtest.TopicPeers, name, nil)
		}
	}
}

// TestOddEntries guards against instances that end, or stop following the store, because of entries that
// they can't use.
func TestOddEntries(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	first := newHost(t, store.address)
	running := []*program{startOn(t, first)}
	running[0].wantServing()
	for range 2 {
		h := newHost(t, store.address)
		h.seed = first.addresses()["peers"]
		p := startOn(t, h)
		p.wantServing()
		running = append(running, p)
	}
	version := 1
	for range 4 {
		store.writeOdd(3)
		version++
		wantFollowing(store, version, running)
	}
	late := newHost(t, store.address)
	late.seed = first.addresses()["peers"]
	running = append(running, startOn(t, late))
	alone := newHost(t, store.address)
	running = append(running, startOn(t, alone))
	for _, p := range running {
		p.wantServing()
	}
	version++
	wantFollowing(store, version, running)
	for _, p := range running {
		for _, line := range strings.Split(p.output(), "\n") {
			if len(line) > maxLine {
				t.Errorf("a line of the log has %d bytes, want at most %d: %.300s", len(line), maxLine, line)
				break
			}
		}
	}
}

// maxLine is the longest line of the log that is allowed, in bytes.
const maxLine = 4 << 10

// wantFollowing publishes a version of the configuration and an endpoint, and fails the test unless all
// instances use both.
func wantFollowing(store *platformStore, version int, running []*program) {
	store.t.Helper()
	store.publish(version)
	store.addEndpoint(fmt.Sprintf("p%d", version), fmt.Sprintf("version-%d", version))
	for _, p := range running {
		p.await(fmt.Sprintf("request of version %d", version), func() bool {
			return p.get(fmt.Sprintf("/version/%d/1", version)) == http.StatusOK
		})
	}
}
