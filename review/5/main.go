// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Command 5 is a case of the second review: the connections of the two instances that read the store are reset
// a few times within seconds. An endpoint whose entry is removed meanwhile must get no requests from the other
// instances after the time to drain.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/linkmast/linkmast/internal/tcp/tcptest"
	"github.com/linkmast/linkmast/review/rig2"
	"github.com/linkmast/linkmast/route"
)

const (
	path      = "/unsafe/"
	leaving   = "plain-0"
	instances = 8
	endpoints = 6
	// readers is the number of instances that read the store. The others follow them.
	readers = 2
	// resets is how often the connections are reset, every resetGap, from beforeRemoval on.
	resets        = 6
	resetGap      = 500 * time.Millisecond
	beforeRemoval = time.Second
	// drain is the time after the removal of an entry from which the endpoint must get nothing.
	drain = 2 * time.Second
	// serves is how long the endpoint goes on after the removal.
	serves = 3500 * time.Millisecond
	// sends is how long requests are sent after the removal, every sendGap.
	sends   = 5 * time.Second
	sendGap = 50 * time.Millisecond
	settle  = 6 * time.Second
)

func main() {
	r, err := rig2.New("review/5/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(rig2.ExitFailed)
	}
	code, err := run(r, os.Getenv("TROUBLE") != "0")
	r.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = rig2.ExitFailed
	}
	os.Exit(code)
}

// arrivals are the requests that reached the leaving endpoint.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

// run plays the case and returns the exit code.
func run(r *rig2.Rig, trouble bool) (int, error) {
	var reached arrivals
	r.OnLine = func(endpoint, line string, at time.Time) {
		if endpoint == leaving && strings.HasPrefix(line, "begins ") {
			reached.mu.Lock()
			defer reached.mu.Unlock()
			reached.at = append(reached.at, at)
		}
	}
	r.Publish(1, rig2.Route(path, route.Unsafe, rig2.Plain, false))
	for i := range endpoints {
		o := rig2.EndpointOptions{
			Service:   rig2.Plain,
			Domain:    fmt.Sprintf("domain-%d", i%3),
			Arguments: []string{"--work", "200ms"},
		}
		if err := r.StartEndpoint(fmt.Sprintf("plain-%d", i), o); err != nil {
			return 0, err
		}
	}
	if err := r.StartInstances(instances); err != nil {
		return 0, err
	}
	time.Sleep(settle)
	hit, err := findReaders(r)
	if err != nil {
		return 0, err
	}
	if trouble {
		go reset(r, hit)
	}
	time.Sleep(beforeRemoval)
	r.Store.DeleteEndpoint(leaving)
	removed := time.Now()
	r.Recordf("the store has removed the entry of %s", leaving)
	time.AfterFunc(serves, func() {
		r.Recordf("%s ends", leaving)
		r.Endpoints[leaving].Kill()
	})
	counts := send(r, hit, removed)
	reached.mu.Lock()
	defer reached.mu.Unlock()
	late := 0
	last := time.Duration(0)
	for _, at := range reached.at {
		after := at.Sub(removed)
		last = max(last, after)
		if after > drain {
			late++
		}
	}
	text := fmt.Sprintf("%d requests reached %s more than %v after its entry was removed, the last one %v after; answers by status (0: none): %v",
		late, leaving, drain, last.Round(time.Millisecond), counts)
	r.Recordf("%s", text)
	fmt.Println(text)
	switch {
	case late > 0:
		return rig2.ExitBroken, nil
	case counts[http.StatusOK] == 0:
		return rig2.ExitFailed, nil
	}
	return rig2.ExitHeld, nil
}

// findReaders returns the instances that others follow.
func findReaders(r *rig2.Rig) (map[string]bool, error) {
	upstreams, err := r.Upstreams()
	if err != nil {
		return nil, err
	}
	out := make(map[string]bool)
	for name, upstream := range upstreams {
		r.Recordf("%s follows %s", name, upstream)
		out[upstream] = true
	}
	if len(out) != readers {
		return nil, fmt.Errorf("%d instances read the store, not %d", len(out), readers)
	}
	return out, nil
}

// reset resets the connections between some instances and the store several times.
func reset(r *rig2.Rig, hit map[string]bool) {
	for range resets {
		for _, p := range r.Instances {
			if !hit[p.Name] {
				continue
			}
			p.StoreProxy.Set(tcptest.Link{
				Reset: true,
			})
			p.StoreProxy.Set(tcptest.Link{})
			r.Recordf("the connections of %s to the store are reset", p.Name)
		}
		time.Sleep(resetGap)
	}
}

// send sends requests to the instances that aren't hit, and returns the number of answers by status.
func send(r *rig2.Rig, hit map[string]bool, from time.Time) map[int]int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[int]int)
	for n := 0; time.Since(from) < sends; n++ {
		for _, p := range r.Instances {
			if hit[p.Name] {
				continue
			}
			wait.Go(func() {
				a := r.Send(p, http.MethodPost, path, fmt.Sprintf("%s-%d", p.Name, n), 4*time.Second, 0)
				mu.Lock()
				defer mu.Unlock()
				counts[a.Status]++
			})
		}
		time.Sleep(sendGap)
	}
	wait.Wait()
	return counts
}
