// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package node_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/linkmast/linkmast/fleet"
	"github.com/linkmast/linkmast/internal/tcp"
	"github.com/linkmast/linkmast/internal/tcp/tcptest"
)

// partitionedFleet starts three nodes whose links to the endpoints can be cut.
func partitionedFleet(t *testing.T) (*fleet.Fleet, []*tcptest.Dialer) {
	t.Helper()
	links := []*tcptest.Dialer{{}, {}, {}}
	f, err := fleet.Start(fleet.Settings{
		Nodes:        len(links),
		DialEndpoint: func(i int) tcp.DialFunc { return links[i].DialContext },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, links
}

// sendEach sends n completions, streamed ones and plain requests at the same time, and returns one
// line for each that was not served within its deadline of three seconds.
func sendEach(t *testing.T, address string, n int) []string {
	t.Helper()
	var mu sync.Mutex
	var failed []string
	var all sync.WaitGroup
	for i := range n {
		for _, stream := range []bool{true, false} {
			body, err := json.Marshal(map[string]any{
				"model":      fleet.Model,
				"prompt":     strings.Repeat("abcd", 100),
				"max_tokens": 10,
				"stream":     stream,
			})
			if err != nil {
				t.Fatal(err)
			}
			all.Go(func() { record(&mu, &failed, post(address, "/v1/completions", body)) })
		}
		all.Go(func() {
			record(&mu, &failed, post(address, "/services/"+fleet.Service+"/x", fmt.Append(nil, i)))
		})
	}
	all.Wait()
	return failed
}

// record appends a line unless it is empty.
func record(mu *sync.Mutex, lines *[]string, line string) {
	if line == "" {
		return
	}
	mu.Lock()
	defer mu.Unlock()
	*lines = append(*lines, line)
}

// post sends a request and returns what is wrong with the answer; empty if it is complete and
// successful.
func post(address, path string, body []byte) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer key-desk")
	req.Header.Set("Linkmast-Deadline", "3s")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return path + ": " + err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK || bytes.Contains(data, []byte(`"error"`)) {
		return fmt.Sprintf("%s: status %d, error %v: %s", path, res.StatusCode, err, data)
	}
	return ""
}

// TestNodePartitionedFromEndpoints checks that callers of a node without a path to any endpoint are
// served.
func TestNodePartitionedFromEndpoints(t *testing.T) {
	for name, p := range map[string]tcptest.Partition{
		"new connections refused": tcptest.RefuseNew,
		"all connections reset":   tcptest.ResetAll,
		"all packets dropped":     tcptest.Drop,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, links := partitionedFleet(t)
			for i, n := range f.Nodes {
				for _, line := range sendEach(t, n.Listen, 3) {
					t.Errorf("node %d, before: %s", i, line)
				}
			}
			links[0].Set(p)
			sendEach(t, f.Nodes[0].Listen, 3) // these may fail, as the partition is not known yet
			time.Sleep(3 * time.Second)
			for round := range 3 {
				for i, n := range f.Nodes {
					for _, line := range sendEach(t, n.Listen, 3) {
						t.Errorf("node %d, round %d: %s", i, round, line)
					}
				}
			}
		})
	}
}
