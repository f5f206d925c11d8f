// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
)

// TestMemoryOfLargeBodies guards against an instance that exceeds its memory limit, so that the platform
// kills it, while many callers send bodies of the allowed size.
func TestMemoryOfLargeBodies(t *testing.T) {
	h := newHost(t, startStore(t))
	p := startOn(t, h)
	p.wantServing()
	const callers = 60
	body := strings.Repeat("a", 4<<20)
	var mu sync.Mutex
	statuses := make(map[int]int)
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for range 3 {
				status := p.send(body)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if statuses[http.StatusOK] == 0 || statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable] != 3*callers {
		t.Errorf("answers by status %v, want only 200 and 503", statuses)
	}
	const limitKB = 284_000_000 / 1024
	if peak := p.peakMemoryKB(); peak > limitKB {
		t.Errorf("peak memory is %d KB, want at most %d", peak, limitKB)
	}
	p.wantServing()
}

// send sends a request with a body to the instance and returns the status, or zero without an answer.
func (p *program) send(body string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.host.addresses()["callers"]+"/lookup/1", strings.NewReader(body))
	if err != nil {
		p.t.Error(err)
		return 0
	}
	req.Host = "api.example"
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// peakMemoryKB returns the largest resident memory of the process so far.
func (p *program) peakMemoryKB() int {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		kb := 0
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
			return kb
		}
	}
	p.t.Fatal("no peak memory in the status of the process")
	return 0
}
