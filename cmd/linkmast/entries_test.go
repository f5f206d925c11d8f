// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// malformedKeys returns keys of malformed entries by topic.
func malformedKeys(n int) map[string][]string {
	return map[string][]string{
		platformtest.TopicEndpoints: {fmt.Sprintf("malformed-%d", n), "\xff" + strings.Repeat("k", 200), ""},
		platformtest.TopicPeers:     {fmt.Sprintf("malformed-%d", n), "ban/", "ban/fe", fmt.Sprintf("ban/%x", n)},
		platformtest.TopicOperator:  {"config", "evacuate/", fmt.Sprintf("malformed-%d", n)},
	}
}

// writeMalformed writes malformed entries to all topics, followed by valid ones under the same keys in every second
// round.
func (s *platformStore) writeMalformed(rounds int) {
	for n := range rounds {
		for k, value := range platformtest.MalformedValues() {
			for topic, keys := range malformedKeys(n*100 + k) {
				for _, key := range keys {
					s.PutBytes(topic, key, []byte(value))
				}
			}
		}
		if n%2 == 0 {
			continue
		}
		for k := range platformtest.MalformedValues() {
			name := fmt.Sprintf("malformed-%d", n*100+k)
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

// TestMalformedEntries guards against instances that end, or stop following the store, because of entries that
// they can't use.
func TestMalformedEntries(t *testing.T) {
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
	for range 3 {
		store.writeMalformed(2)
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
		if strings.Contains(p.output(), "error while marshaling") {
			t.Errorf("%s could not send an entry to other instances", p.host.ip)
		}
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
