// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// refusedAtOnce is how soon a caller must hear that no endpoint takes its request.
const refusedAtOnce = 500 * time.Millisecond

// loadEvery is the time between two requests.
const loadEvery = 25 * time.Millisecond

// rejection is a request that was refused, with how long that took.
type rejection struct {
	got  got
	took time.Duration
}

// load sends requests to all instances in turn for a time, and returns those that were
// refused.
func (w *world) load(name string, c call, lasts time.Duration) []rejection {
	var (
		callers  sync.WaitGroup
		mu       sync.Mutex
		rejected []rejection
	)
	tick := time.NewTicker(loadEvery)
	defer tick.Stop()
	for i := range int(lasts / loadEvery) {
		<-tick.C
		one := c
		one.id = fmt.Sprint(name, "-", i)
		callers.Go(func() {
			began := time.Now()
			g := w.ask(i%len(w.gateways), one)
			if g.status == http.StatusOK {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			rejected = append(rejected, rejection{
				got:  g,
				took: time.Since(began),
			})
		})
	}
	callers.Wait()
	return rejected
}

// assertRefusedAtOnce checks that requests were refused at once, with a time to come back.
func assertRefusedAtOnce(t *testing.T, rejected []rejection) {
	t.Helper()
	for _, r := range rejected {
		assertRefused(t, r.got)
		is.New(t).True(r.took < refusedAtOnce)
	}
}
