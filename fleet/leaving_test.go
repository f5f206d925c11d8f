// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/entry"
	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/standin"
)

// TestLeavingEndpoint lists an endpoint as leaving. It checks that a few seconds
// later the endpoint gets no new requests, even if the list lags, and that the
// streams on it are completed.
func TestLeavingEndpoint(t *testing.T) {
	for _, lag := range []time.Duration{0, 2 * time.Second} {
		t.Run("lag "+lag.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newVirtualFleet(t, smallFleet())
				defer v.stop()
				v.platform.Instances.SetFaults(standin.Faults{Lag: lag})
				long := make(chan response, 4)
				for i := range 4 {
					go func() {
						long <- v.send(context.Background(), "n1", "/v1/completions",
							completionBody(fmt.Sprintf("long %d", i), 1000, true), nil)
					}()
				}
				time.Sleep(time.Second)
				v.platform.Instances.Put(instances.Instance{
					ID:            "e1-1",
					Kind:          instances.KindEndpoint,
					Address:       "e1:1",
					FailureDomain: "d1",
					Region:        Region,
					State:         instances.Leaving,
				})
				time.Sleep(lag + 3*time.Second)
				for i := range 40 {
					p := fmt.Sprintf("after %d", i)
					a := v.send(t.Context(), fmt.Sprintf("n%d", i%3+1), "/v1/completions", completionBody(p, 2, true), nil)
					is.Equal(a.status, http.StatusOK)
					is.Equal(v.engines["e1:1"].Started(p), 0)
				}
				for range 4 {
					a := <-long
					_, complete := streamedText(t, []byte(a.body))
					is.True(complete)
				}
			})
		})
	}
}

// TestReplacedEndpoint guards against running a request on an engine that replaced the
// leased endpoint instance at the same address.
func TestReplacedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVirtualFleet(t, smallFleet())
		defer v.stop()
		// Another instance replaces each engine before the list shows it.
		for i := range 4 {
			id := fmt.Sprintf("e%d", i+1)
			v.engines[id+":1"].Rename(id + "-2")
		}
		a := v.send(t.Context(), "n1", "/v1/completions", completionBody("replaced", 2, true), map[string]string{
			entry.HeaderDeadline: "5s",
		})
		is.True(a.status != http.StatusOK)
		is.Equal(a.ran, "not_run")
		is.Equal(v.startCount("replaced"), 0)
		for i := range 4 {
			id := fmt.Sprintf("e%d", i+1)
			v.platform.Instances.Remove(id + "-1")
			v.addToList(id+"-2", id+":1", instances.KindEndpoint, "d1")
		}
		time.Sleep(3 * time.Second)
		a = v.send(t.Context(), "n1", "/v1/completions", completionBody("replaced", 2, true), nil)
		is.Equal(a.status, http.StatusOK)
	})
}
