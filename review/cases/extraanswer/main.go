// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Command extraanswer shows what becomes of requests that must not be repeated while some endpoints
// send an answer too many, which names no request, on connections that are used again.
package main

import (
	_ "embed"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/platform/platformtest"
	"github.com/linkmast/linkmast/review/testbed"
	"github.com/linkmast/linkmast/route"
)

// Size of the deployment and load.
const (
	instances = 3
	endpoints = 5
	// faulty is the number of endpoints that send answers too many: a share of 0.6.
	faulty = 3
	slots  = 6
	// work is how long an endpoint takes for a request.
	work = 30 * time.Millisecond
	// clients is the number of clients at each instance, each with one connection.
	clients = 4
	// pause is the pause of a client between two requests.
	pause = 60 * time.Millisecond
	// length is the length of the run.
	length = 40 * time.Second
)

// Periods in which the faulty endpoints are at fault.
const (
	faultEvery = 8 * time.Second
	faultFor   = 5 * time.Second
	// oneIn is the number of answers of which one is followed by another: a share of 0.03.
	oneIn = 33
)

// service and path are the names of the plain service and of its route, and key is the only key.
const (
	service = "member-api"
	path    = "/guest/"
	key     = "key-1"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// extraAnswer is the answer too many.
//
//go:embed extra_answer.txt
var extraAnswer string

func main() {
	os.Exit(run(os.Args[1], os.Getenv("TROUBLE") != "0"))
}

// run plays the case and returns the exit code. The record is written to a folder.
func run(dir string, trouble bool) int {
	bed, err := testbed.New(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println("can't run:", err)
		return exitFailed
	}
	defer bed.Close()
	list, err := start(bed)
	if err != nil {
		fmt.Println("can't run:", err)
		return exitFailed
	}
	stop := make(chan struct{})
	if trouble {
		go disturb(bed, list, stop)
	}
	history := load(bed)
	close(stop)
	return judge(bed, list, history)
}

// start starts the store, the endpoints behind their links, and the instances.
func start(bed *testbed.Bed) ([]*link, error) {
	store, err := bed.Serve(bed.Store)
	if err != nil {
		return nil, err
	}
	bed.Store.Publish(1, []route.Route{{
		Name:   "guest-pass",
		Host:   testbed.Host,
		Prefix: path,
		Kind:   route.Unsafe,
		Shares: []route.Share{{
			Service: service,
			Weight:  1,
		}},
		Timeout:     2 * time.Second,
		Target:      300 * time.Millisecond,
		Rank:        2,
		MaxAttempts: 1,
	}}, map[string]*batch.Model{
		service: nil,
	}, 4<<20, []route.Customer{{
		ID:   "club-1",
		Keys: []string{key},
	}})
	var list []*link
	for i := range endpoints {
		e := &platformtest.Endpoint{
			Instance: fmt.Sprintf("i-%d", i),
			Work:     work,
		}
		l, err := newLink(bed, e)
		if err != nil {
			return nil, err
		}
		list = append(list, l)
		bed.Store.PutEndpoint(platformtest.EndpointEntry{
			Instance: e.Instance,
			Service:  service,
			Address:  l.address,
			Domain:   fmt.Sprintf("hall-%d", i%3),
			Slots:    slots,
		})
	}
	return list, bed.Start(instances, store)
}

// disturb makes the faulty endpoints send answers too many during each period, until stop is closed.
func disturb(bed *testbed.Bed, list []*link, stop <-chan struct{}) {
	for {
		for _, on := range []bool{true, false} {
			for _, l := range list[:faulty] {
				l.atFault.Store(on)
			}
			bed.Record.Printf("fault     endpoints i-0 to i-%d send answers too many: %t", faulty-1, on)
			wait := faultFor
			if !on {
				wait = faultEvery - faultFor
			}
			select {
			case <-time.After(wait):
			case <-stop:
				return
			}
		}
	}
}

// load sends requests until the run is over, and returns them.
func load(bed *testbed.Bed) []*testbed.Exchange {
	var all sync.WaitGroup
	var mu sync.Mutex
	var history []*testbed.Exchange
	until := time.Now().Add(length)
	for i, in := range bed.Instances {
		for c := range clients {
			all.Go(func() {
				client := testbed.NewClient()
				for n := 0; time.Now().Before(until); n++ {
					x := &testbed.Exchange{
						Caller: platformtest.Caller{
							ID:   fmt.Sprintf("r%d-%d-%d", i, c, n),
							Key:  key,
							Wait: 4 * time.Second,
						},
						Address: in.Listen,
						Method:  http.MethodPost,
						Path:    path + "pass",
						Body:    "one guest",
					}
					x.Do(client, bed.Record)
					mu.Lock()
					history = append(history, x)
					mu.Unlock()
					time.Sleep(pause)
				}
			})
		}
	}
	all.Wait()
	return history
}

// judge checks the rule REFUSED, and counts other answers for the record.
func judge(bed *testbed.Bed, list []*link, history []*testbed.Exchange) int {
	ran := make(map[string]string)
	extra := 0
	for _, l := range list {
		extra += int(l.extra.Load())
		for _, r := range l.endpoint.Runs() {
			ran[r.ID] = l.endpoint.Instance
			bed.Record.PrintfAt(r.At, "run       %s at %s", r.ID, l.endpoint.Instance)
		}
	}
	counts := make(map[int]int)
	broken := 0
	for _, x := range history {
		counts[x.Status]++
		at, did := ran[x.Caller.ID]
		if !did || !promises(x.Status) {
			continue
		}
		broken++
		bed.Record.Printf("BROKEN    REFUSED: %s was answered %d, but ran at %s", x.Caller.ID, x.Status, at)
	}
	fmt.Printf("%d requests, answers by status %v, %d answers too many, %d requests ran although the answer said that they had not\n",
		len(history), counts, extra, broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// promises reports whether a status says that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
