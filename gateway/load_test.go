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

// refuseWithin is how soon a caller must hear that no endpoint takes its request.
const refuseWithin = 500 * time.Millisecond

// loadInterval is the time between two requests.
const loadInterval = 25 * time.Millisecond

// rejection is a request that was refused, with how long that took.
type rejection struct {
	response response
	took     time.Duration
}

// load sends requests to all instances in turn for a time, and returns those that were
// refused.
func (w *cluster) load(name string, c request, lasts time.Duration) []rejection {
	var (
		callers  sync.WaitGroup
		mu       sync.Mutex
		rejected []rejection
	)
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	for i := range int(lasts / loadInterval) {
		<-tick.C
		one := c
		one.id = fmt.Sprint(name, "-", i)
		callers.Go(func() {
			began := time.Now()
			g := w.send(i%len(w.gateways), one)
			if g.status == http.StatusOK {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			rejected = append(rejected, rejection{
				response: g,
				took:     time.Since(began),
			})
		})
	}
	callers.Wait()
	return rejected
}

// assertRefusedPromptly checks that requests were refused at once, with a time to come back.
func assertRefusedPromptly(t *testing.T, rejected []rejection) {
	t.Helper()
	for _, r := range rejected {
		assertRefused(t, r.response)
		is.New(t).True(r.took < refuseWithin)
	}
}
