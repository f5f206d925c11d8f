// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Command suspended shows what a client gets of a stream without a length whose engine crashes and
// comes back at its address while the instance that forwards the stream stands still.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
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
	engines   = 6
	// clients is the number of clients at each instance, each with one connection, and pause the
	// pause of a client between two requests.
	clients = 4
	pause   = 100 * time.Millisecond
	prompt  = 5000
	output  = 2000
)

// The course of a round, from its start, and the number of rounds.
const (
	rounds     = 4
	roundTime  = 12 * time.Second
	firstRound = 3 * time.Second
	// The first instance stands still from the start on, for standStill. The engine crashes at
	// crashAt and is back after downFor.
	standStill = 3800 * time.Millisecond
	crashAt    = 300 * time.Millisecond
	downFor    = 3 * time.Second
)

// Names in the configuration, and the beginning of the ids of requests at the first instance.
const (
	service         = "assistant-llm"
	path            = "/desk/"
	key             = "key-1"
	suspendedPrefix = "r0-"
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
	p := &replicas{
		bed: bed,
	}
	defer p.killAll()
	if err := start(bed, p); err != nil {
		fmt.Println("can't run:", err)
		return exitFailed
	}
	if trouble {
		go disturb(bed, p)
	}
	return judge(bed, load(bed))
}

// start starts the store, the engines and the instances.
func start(bed *testbed.Bed, p *replicas) error {
	store, err := bed.Serve(bed.Store)
	if err != nil {
		return err
	}
	bed.Store.Publish(1, []route.Route{{
		Name:   "desk-query",
		Host:   testbed.Host,
		Prefix: path,
		Kind:   route.Streaming,
		Shares: []route.Share{{
			Service: service,
			Weight:  1,
		}},
		Timeout:     10 * time.Second,
		Target:      300 * time.Millisecond,
		GapTarget:   250 * time.Millisecond,
		Rank:        1,
		MaxAttempts: 2,
		Resumable:   true,
	}}, map[string]*batch.Model{
		service: testbed.EngineModel(),
	}, 4<<20, []route.Customer{{
		ID:   "club-1",
		Keys: []string{key},
	}})
	if err := p.startAll(engines); err != nil {
		return err
	}
	return bed.Start(instances, store)
}

// disturb plays the rounds.
func disturb(bed *testbed.Bed, p *replicas) {
	began := time.Now()
	for i := range rounds {
		at := began.Add(firstRound + time.Duration(i)*roundTime)
		time.Sleep(time.Until(at))
		r := p.busy()
		if r == nil {
			continue
		}
		in := bed.Instances[0]
		bed.Record.Printf("fault     %s stands still", in.Name)
		// An error means that the process has ended.
		_ = in.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Until(at.Add(crashAt)))
		r.kill()
		bed.Record.Printf("fault     %s crashes", r.name)
		time.Sleep(time.Until(at.Add(crashAt + downFor)))
		if err := p.start(r); err != nil {
			bed.Record.Printf("fault     %s can't be started: %v", r.name, err)
		}
		bed.Record.Printf("fault     %s is back", r.name)
		time.Sleep(time.Until(at.Add(standStill)))
		_ = in.Process.Signal(syscall.SIGCONT)
		bed.Record.Printf("fault     %s wakes", in.Name)
	}
}

// load sends requests until the rounds are over, and returns them.
func load(bed *testbed.Bed) []*testbed.Exchange {
	var all sync.WaitGroup
	var mu sync.Mutex
	var history []*testbed.Exchange
	until := time.Now().Add(firstRound + rounds*roundTime)
	for i, in := range bed.Instances {
		for c := range clients {
			all.Go(func() {
				client := testbed.NewClient()
				for n := 0; time.Now().Before(until); n++ {
					x := &testbed.Exchange{
						Caller: platformtest.Caller{
							ID:     fmt.Sprintf("r%d-%d-%d", i, c, n),
							Key:    key,
							Wait:   10 * time.Second,
							Prompt: prompt,
							Output: output,
						},
						Address: in.Listen,
						Method:  http.MethodPost,
						Path:    path + "query",
						Body:    "a member's standing",
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

// judge checks that each answer that looks complete is the whole stream.
func judge(bed *testbed.Bed, history []*testbed.Exchange) int {
	counts := make(map[int]int)
	broken := 0
	for _, x := range history {
		counts[x.Status]++
		if x.Status != http.StatusOK || x.Err != nil || x.Answer == whole(x.Caller.ID) {
			continue
		}
		broken++
		bed.Record.Printf("BROKEN    MIXED: the answer to %s looks complete and has %d of %d events", x.Caller.ID,
			strings.Count(x.Answer, "data:"), testbed.Events)
	}
	fmt.Printf("%d requests, answers by status %v, %d answers that look complete and are not\n", len(history), counts, broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// whole returns the whole stream that answers a request.
func whole(id string) string {
	var out strings.Builder
	for n := range testbed.Events {
		out.WriteString(platformtest.Event(id, n+1))
	}
	return out.String()
}
