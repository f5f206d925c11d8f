// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Command backlog shows whether a revoked key is refused by an instance that the store has turned
// away, when the store serves it again and the instance has more to read than one answer holds.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/platform/platformtest"
	"github.com/linkmast/linkmast/review/testbed"
	"github.com/linkmast/linkmast/route"
)

// Size of the deployment and load.
const (
	instances = 3
	endpoints = 3
	slots     = 6
	// work is how long an endpoint takes for a request.
	work = 20 * time.Millisecond
	// clients is the number of clients for each key, each with one connection, and pause the pause
	// of a client between two requests.
	clients = 8
	pause   = 50 * time.Millisecond
)

// The course of the run, from its start.
const (
	// lossAt is when all instances but one are lost, for good.
	lossAt = 2 * time.Second
	// turnAwayAt is when the store begins to turn the last one away, and turnAwayFor for how long.
	turnAwayAt  = 5 * time.Second
	turnAwayFor = 9 * time.Second
	// stormAt is when changes of the configuration begin, at intervals of stormGap, stormChanges in
	// all.
	stormAt      = 5200 * time.Millisecond
	stormGap     = 80 * time.Millisecond
	stormChanges = 25
	// revokeAt is when the next change takes the key away.
	revokeAt = 7400 * time.Millisecond
	// length is the length of the run.
	length = 18 * time.Second
)

// revokeWithin is the time from the acknowledgement of a change that takes a key away, after which no
// request that is sent with it may run.
const revokeWithin = 5 * time.Second

// Names in the configuration.
const (
	service = "member-api"
	path    = "/renewal/"
	// kept is a key that stays, and revoked the one that is taken away.
	kept    = "key-kept"
	revoked = "key-revoked"
	// otherRoutes is the number of routes without requests: those of the site, and twice the
	// growth of one step.
	otherRoutes = 110 + 2*350
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

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
	began := time.Now()
	var acked time.Time
	var operator sync.WaitGroup
	operator.Go(func() { acked = operate(bed, began) })
	if trouble {
		operator.Go(func() { disturb(bed, began) })
	}
	history := load(bed, began)
	operator.Wait()
	return judge(bed, list, history, acked)
}

// start starts the store, the endpoints and the instances.
func start(bed *testbed.Bed) ([]*platformtest.Endpoint, error) {
	store, err := bed.Serve(pages{
		store: bed.Store,
	})
	if err != nil {
		return nil, err
	}
	publish(bed, 1, kept, revoked)
	var list []*platformtest.Endpoint
	for i := range endpoints {
		e := &platformtest.Endpoint{
			Instance: fmt.Sprintf("i-%d", i),
			Work:     work,
		}
		address, err := bed.Serve(e)
		if err != nil {
			return nil, err
		}
		list = append(list, e)
		bed.Store.PutEndpoint(platformtest.EndpointEntry{
			Instance: e.Instance,
			Service:  service,
			Address:  address,
			Domain:   fmt.Sprintf("hall-%d", i),
			Slots:    slots,
		})
	}
	return list, bed.Start(instances, store)
}

// publish writes a version of the configuration with the given keys.
func publish(bed *testbed.Bed, version int, keys ...string) {
	routes := []route.Route{routeOf("renewal-check", path)}
	for i := range otherRoutes {
		routes = append(routes, routeOf(fmt.Sprintf("other-%d", i), fmt.Sprintf("/other-%d-%d/", version, i)))
	}
	bed.Store.Publish(version, routes, map[string]*batch.Model{
		service: nil,
	}, 4<<20, []route.Customer{{
		ID:   "club-1",
		Keys: keys,
	}})
}

// routeOf returns a route for requests that may be repeated.
func routeOf(name, prefix string) route.Route {
	return route.Route{
		Name:   name,
		Host:   testbed.Host,
		Prefix: prefix,
		Kind:   route.Safe,
		Shares: []route.Share{{
			Service: service,
			Weight:  1,
		}},
		Timeout:     2 * time.Second,
		Target:      300 * time.Millisecond,
		Rank:        2,
		MaxAttempts: 2,
	}
}

// operate makes the changes of the configuration, and returns when the store acknowledged the one that
// takes the key away.
func operate(bed *testbed.Bed, began time.Time) time.Time {
	version := 1
	for i := range stormChanges {
		time.Sleep(time.Until(began.Add(stormAt + time.Duration(i)*stormGap)))
		version++
		publish(bed, version, kept, revoked)
		bed.Record.Printf("change    version %d acknowledged", version)
	}
	time.Sleep(time.Until(began.Add(revokeAt)))
	version++
	publish(bed, version, kept)
	acked := time.Now()
	bed.Record.PrintfAt(acked, "change    version %d acknowledged, without %s", version, revoked)
	return acked
}

// disturb ends all instances but the first, and makes the store turn that one away for a time.
func disturb(bed *testbed.Bed, began time.Time) {
	time.Sleep(time.Until(began.Add(lossAt)))
	for _, in := range bed.Instances[1:] {
		// An error means that the process has ended already.
		_ = in.Process.Signal(syscall.SIGKILL)
		bed.Record.Printf("fault     %s is lost", in.Name)
	}
	time.Sleep(time.Until(began.Add(turnAwayAt)))
	bed.Store.SetFaults(platformtest.StoreFaults{
		Refuse: true,
	})
	bed.Record.Printf("fault     the store turns %s away", bed.Instances[0].Name)
	time.Sleep(turnAwayFor)
	bed.Store.SetFaults(platformtest.StoreFaults{})
	bed.Record.Printf("fault     the store serves %s again", bed.Instances[0].Name)
}

// load sends requests with both keys to the first instance until the run is over, and returns them.
func load(bed *testbed.Bed, began time.Time) []*testbed.Exchange {
	var all sync.WaitGroup
	var mu sync.Mutex
	var history []*testbed.Exchange
	until := began.Add(length)
	for _, key := range []string{kept, revoked} {
		for c := range clients {
			all.Go(func() {
				client := testbed.NewClient()
				for n := 0; time.Now().Before(until); n++ {
					x := &testbed.Exchange{
						Caller: platformtest.Caller{
							ID:   fmt.Sprintf("%s-%d-%d", key, c, n),
							Key:  key,
							Wait: 4 * time.Second,
						},
						Address: bed.Instances[0].Listen,
						Method:  http.MethodGet,
						Path:    path + "status",
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

// judge checks that no request with the revoked key ran that was sent too long after acked.
func judge(bed *testbed.Bed, list []*platformtest.Endpoint, history []*testbed.Exchange, acked time.Time) int {
	sent := make(map[string]*testbed.Exchange, len(history))
	counts := make(map[int]int)
	for _, x := range history {
		sent[x.Caller.ID] = x
		counts[x.Status]++
	}
	broken, runs := 0, 0
	for _, e := range list {
		for _, r := range e.Runs() {
			runs++
			bed.Record.PrintfAt(r.At, "run       %s at %s", r.ID, e.Instance)
			x := sent[r.ID]
			if x == nil || x.Caller.Key != revoked || x.Sent.Sub(acked) <= revokeWithin {
				continue
			}
			broken++
			bed.Record.PrintfAt(r.At, "BROKEN    CONFIG: %s ran, sent %d ms after the key was taken away", r.ID, x.Sent.Sub(acked).Milliseconds())
		}
	}
	fmt.Printf("%d requests, answers by status %v, %d runs, %d runs with the revoked key of requests sent over %s after the acknowledgement\n",
		len(history), counts, runs, broken, revokeWithin)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
