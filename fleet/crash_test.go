// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/standin"
)

// Parameters of the tests with a request that crashes endpoints.
const (
	// crashPrompt is the prefix of the prompts and bodies that crash an endpoint.
	crashPrompt = "crash"
	// restartDelay is how long an endpoint is down after a crash.
	restartDelay = 2 * time.Second
	// sendCount is how often the request is sent.
	sendCount = 90
	// maxCrashes bounds the crashes. The request is banned after three; the test tolerates
	// three more.
	maxCrashes = 6
)

// crashable is an endpoint that can be made to crash on certain requests.
type crashable interface {
	SetFaults(standin.Faults)
	Faults() standin.Faults
	Crashes() int
}

// crashables returns all endpoints of the fleet.
func (v *virtualFleet) crashables() []crashable {
	var out []crashable
	for _, e := range v.engines {
		out = append(out, e)
	}
	for _, s := range v.services {
		out = append(out, s)
	}
	return out
}

// crashAndRestart makes all endpoints crash on requests that begin with crashPrompt, and
// restarts them after restartDelay, until ctx ends. stopped is closed after that.
func (v *virtualFleet) crashAndRestart(ctx context.Context) (stopped <-chan struct{}) {
	f := standin.Faults{
		CrashOn: crashPrompt,
	}
	var all sync.WaitGroup
	for _, c := range v.crashables() {
		c.SetFaults(f)
		all.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(10 * time.Millisecond)
				if c.Faults().Dead {
					time.Sleep(restartDelay)
					c.SetFaults(f)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		all.Wait()
		close(done)
	}()
	return done
}

// crashCount returns how often endpoints have crashed.
func (v *virtualFleet) crashCount() int {
	n := 0
	for _, c := range v.crashables() {
		n += c.Crashes()
	}
	return n
}

// TestCrashingRequest repeatedly sends a request that crashes every endpoint that
// starts it. It checks that the request is refused after a few crashes, and that
// other requests are served.
func TestCrashingRequest(t *testing.T) {
	for _, row := range []struct {
		name   string
		path   string
		body   string
		inject func(v *virtualFleet, try int)
	}{
		{"stream", "/v1/completions", completionBody(crashPrompt, 50, true), nil},
		{"whole answer", "/v1/completions", completionBody(crashPrompt, 50, false), nil},
		{"prompt for a group of engines", "/v1/completions", completionBody(prompt(crashPrompt, 700_000), 20, false), nil},
		{"call of a plain service", "/services/lots/bids", crashPrompt, nil},
		{"platform unreachable", "/v1/completions", completionBody(crashPrompt, 50, true), func(v *virtualFleet, try int) {
			v.setCut("platform", try < sendCount-1)
		}},
		{"a node dies", "/v1/completions", completionBody(crashPrompt, 50, true), func(v *virtualFleet, try int) {
			if try == 2 {
				v.kill("n3")
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newVirtualFleet(t, smallFleet())
				defer v.stop()
				ctx, cancel := context.WithCancel(t.Context())
				stopped := v.crashAndRestart(ctx)
				defer func() {
					cancel()
					<-stopped
				}()
				var last response
				for i := range sendCount {
					if row.inject != nil {
						row.inject(v, i)
					}
					last = v.send(t.Context(), fmt.Sprintf("n%d", 1+i%2), row.path, row.body, nil)
					time.Sleep(200 * time.Millisecond)
				}
				t.Logf("endpoints crashed %d times", v.crashCount())
				is.True(v.crashCount() <= maxCrashes)
				is.Equal(last.status, http.StatusServiceUnavailable)
				is.Equal(last.ran, "not_run")
				time.Sleep(restartDelay)
				other := v.send(t.Context(), "n1", "/v1/completions", completionBody("other", 10, false), nil)
				is.Equal(other.status, http.StatusOK)
			})
		})
	}
}
