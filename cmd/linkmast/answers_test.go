// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/platform/platformtest"
	"github.com/linkmast/linkmast/route"
)

// slowTimeout is longer than a planned stop takes.
const slowTimeout = 10 * time.Second

// addSlowService publishes a route of requests that can't be repeated, /slow/, and starts its endpoint, which
// takes a time for each request.
func (s *platformStore) addSlowService(work time.Duration) *platformtest.Endpoint {
	s.t.Helper()
	slow := route.Route{
		Name:        "slow",
		Host:        "api.example",
		Prefix:      "/slow/",
		Kind:        route.Unsafe,
		Shares:      []route.Share{{Service: "slow", Weight: 1}},
		Timeout:     slowTimeout,
		Target:      300 * time.Millisecond,
		MaxAttempts: 1,
		Public:      true,
	}
	s.Publish(2, []route.Route{slow}, map[string]*batch.Model{"slow": nil}, 4<<20, nil)
	e := &platformtest.Endpoint{
		Instance: "slow-1",
		Work:     work,
	}
	s.PutEndpoint(platformtest.EndpointEntry{
		Instance: e.Instance,
		Service:  "slow",
		Address:  serveHTTP(s.t, e),
		Domain:   "domain-1",
		Slots:    16,
	})
	return e
}

// TestMalformedAnswers guards against answers of no HTTP status, or with framing that is ignored, that reach
// callers of an instance.
func TestMalformedAnswers(t *testing.T) {
	store := newStore(t)
	e := store.addSlowService(time.Millisecond)
	p := startOn(t, newHost(t, store.address))
	p.await("request served", func() bool { return p.get("/slow/1") == http.StatusOK })
	for _, head := range []*platformtest.RawHead{
		{Status: "HTTP/1.1 000 Unknown"},
		{Status: "HTTP/1.1 099 Unknown"},
		{Line: "X Odd: 1"},
		{Line: "Transfer-Encoding : chunked", Chunks: true},
	} {
		e.SetFaults(platformtest.EndpointFaults{
			Head: head,
		})
		if status := p.get("/slow/1"); status != http.StatusBadGateway {
			t.Errorf("%s%s: status %d, want 502", head.Status, head.Line, status)
		}
	}
	e.SetFaults(platformtest.EndpointFaults{})
	p.await("request served afterwards", func() bool { return p.get("/slow/1") == http.StatusOK })
	p.wantStops()
}

// TestLateRequestsDuringStop guards against requests that an instance passes on late in a planned stop, and cuts
// off.
func TestLateRequestsDuringStop(t *testing.T) {
	const (
		work = 1200 * time.Millisecond
		// open is when the connections are opened, and head when the heads arrive, shortly before the instance
		// closes its address.
		open = 1500 * time.Millisecond
		head = 2100 * time.Millisecond
	)
	store := newStore(t)
	e := store.addSlowService(work)
	p := startOn(t, newHost(t, store.address))
	p.await("request served", func() bool { return p.get("/slow/1") == http.StatusOK })
	runs := len(e.Runs())
	began := time.Now()
	p.cmd.Process.Signal(syscall.SIGTERM)
	var all sync.WaitGroup
	for _, last := range []time.Duration{6200, 6400, 6600, 6800, 7000} {
		all.Go(func() {
			time.Sleep(time.Until(began.Add(open)))
			if status, err := p.sendSlowly("/slow/1", began.Add(head), began.Add(last*time.Millisecond)); status != http.StatusServiceUnavailable {
				t.Errorf("last byte after %d ms: status %d, %v, want 503", last, status, err)
			}
		})
	}
	all.Wait()
	p.wantExit(exitOK, stopWithin)
	if n := len(e.Runs()) - runs; n > 0 {
		t.Errorf("%d late requests ran", n)
	}
}

// sendSlowly opens a connection and sends a request on it, whose head and last byte follow at the given times.
// It returns the status of the answer.
func (p *program) sendSlowly(path string, head, last time.Time) (int, error) {
	c, err := net.Dial("tcp", p.host.addresses()["callers"])
	if err != nil {
		return 0, err
	}
	defer c.Close()
	time.Sleep(time.Until(head))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: api.example\r\nContent-Length: 2\r\n\r\na", path)
	timer := time.AfterFunc(time.Until(last), func() { io.WriteString(c, "b") })
	defer timer.Stop()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	return res.StatusCode, nil
}
