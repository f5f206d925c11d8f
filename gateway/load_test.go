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

// refuseWithin is the maximum time until a caller receives a refusal.
const refuseWithin = 500 * time.Millisecond

// loadInterval is the time between two requests of load.
const loadInterval = 25 * time.Millisecond

// rejection is an unsuccessful answer and the time that it took.
type rejection struct {
	response response
	took     time.Duration
}

// load sends requests to all instances in turn for a time, and returns the answers without
// status 200.
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

// assertRefusedPromptly checks that all rejections are refusals that say when to retry, and took
// less than refuseWithin.
func assertRefusedPromptly(t *testing.T, rejected []rejection) {
	t.Helper()
	for _, r := range rejected {
		assertRefused(t, r.response)
		is.New(t).True(r.took < refuseWithin)
	}
}
