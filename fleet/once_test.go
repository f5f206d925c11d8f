// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/entry"
	"github.com/linkmast/linkmast/standin"
)

// sendKeyed sends a call of the plain service with an idempotency key and the given
// further headers. The deadline is 10 s unless these headers set another one.
func (v *virtualFleet) sendKeyed(node, key, body string, header map[string]string) response {
	h := map[string]string{
		entry.HeaderKey:      key,
		entry.HeaderDeadline: "10s",
	}
	for k, val := range header {
		h[k] = val
	}
	return v.send(context.Background(), node, "/services/lots/bids", body, h)
}

// callCount returns how often calls with a body took effect on all endpoints together.
func (v *virtualFleet) callCount(body string) int {
	n := 0
	for _, s := range v.services {
		n += s.Calls([]byte(body))
	}
	return n
}

// tookEffect reports whether the call of the request with an id took effect.
func (v *virtualFleet) tookEffect(request string) bool {
	for _, s := range v.services {
		if s.Ran(request) {
			return true
		}
	}
	return false
}

// TestAtMostOnce checks under each fault that a call with an idempotency key takes
// effect at most once, and that calls reported as not run have not taken effect.
func TestAtMostOnce(t *testing.T) {
	all := func(f standin.Faults) func(*virtualFleet) {
		return func(v *virtualFleet) {
			for _, s := range v.services {
				s.SetFaults(f)
			}
		}
	}
	log := func(f standin.Faults) func(*virtualFleet) {
		return func(v *virtualFleet) { v.platform.Log.SetFaults(f) }
	}
	for _, c := range []struct {
		name   string
		inject func(v *virtualFleet)
		// answered is how many of the three callers must get an answer.
		answered int
	}{
		{"no fault", func(*virtualFleet) {}, 3},
		{"answer of the service lost", all(standin.Faults{LoseAnswer: 1}), 0},
		{"refused after the start", all(standin.Faults{RefuseAfter: 1}), 0},
		{"refused before the start", all(standin.Faults{RefuseBefore: 1}), 1},
		{"answer of the log lost", log(standin.Faults{LoseAnswer: 1}), 3},
		{"all answers of the log lost", log(standin.Faults{LoseAnswer: -1}), 3},
		{"log down", log(standin.Faults{Outage: true}), 0},
		{"log down after the first claim", func(v *virtualFleet) {
			go func() {
				time.Sleep(20 * time.Millisecond)
				v.platform.Log.SetFaults(standin.Faults{Outage: true})
			}()
		}, 0},
		{"services frozen", all(standin.Faults{Frozen: true}), 0},
		{"a node dies at once", func(v *virtualFleet) { v.kill("n1") }, 0},
		{"a node dies after the claim", func(v *virtualFleet) {
			go func() {
				time.Sleep(3 * time.Millisecond)
				v.kill("n1")
			}()
		}, 0},
		{"a node freezes and thaws after the deadline", func(v *virtualFleet) {
			go func() {
				time.Sleep(3 * time.Millisecond)
				v.freeze("n1")
				time.Sleep(12 * time.Second)
				v.thaw("n1")
			}()
		}, 0},
		{"nodes disconnected from each other", func(v *virtualFleet) {
			v.setCut("n1|n2", true)
			v.setCut("n1|n3", true)
			v.setCut("n2|n3", true)
		}, 0},
		{"nodes disconnected from each other for 15 s", func(v *virtualFleet) {
			v.setCut("n1|n2", true)
			v.setCut("n1|n3", true)
			v.setCut("n2|n3", true)
			time.Sleep(15 * time.Second)
		}, 1},
		{"answer of the log lost and a node dies", func(v *virtualFleet) {
			v.platform.Log.SetFaults(standin.Faults{LoseAnswer: 1})
			v.kill("n2")
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtualFleet(t, smallFleet())
				defer v.stop()
				c.inject(v)
				body := `{"bid":1}`
				answers := make([]response, 3)
				var wait sync.WaitGroup
				for i := range answers {
					wait.Go(func() { answers[i] = v.sendKeyed(fmt.Sprintf("n%d", i+1), "k1", body, nil) })
				}
				wait.Wait()
				time.Sleep(15 * time.Second)
				ok := 0
				for _, a := range answers {
					if a.status == http.StatusOK {
						ok++
					}
				}
				if n := v.callCount(body); n > 1 || n == 0 && ok > 0 {
					t.Errorf("the call took effect %d times", n)
				}
				if ok < c.answered {
					t.Errorf("%d of 3 callers got an answer, want at least %d: %+v", ok, c.answered, answers)
				}
				for _, a := range answers {
					if a.ran == "not_run" && v.tookEffect(a.id) {
						t.Errorf("the caller was told that its call did not run, but it did: %s", a.body)
					}
				}
				// Without faults, a repetition of the call must not take effect a
				// second time.
				all(standin.Faults{})(v)
				v.platform.Log.SetFaults(standin.Faults{})
				again := v.sendKeyed("n3", "k1", body, nil)
				if n := v.callCount(body); n > 1 {
					t.Errorf("after it was sent again, the call took effect %d times: %+v", n, again)
				}
			})
		})
	}
}

// TestKeyFreedAfterRefusal guards against an idempotency key that stays taken after its
// request was refused as not run, and against a refusal that comes close to the deadline.
func TestKeyFreedAfterRefusal(t *testing.T) {
	for _, c := range []struct {
		name           string
		inject, repair func(v *virtualFleet)
	}{
		{"log down", func(v *virtualFleet) {
			v.platform.Log.SetFaults(standin.Faults{Outage: true})
		}, nil},
		{"log silent", func(v *virtualFleet) { v.freeze("platform") }, func(v *virtualFleet) { v.thaw("platform") }},
		{"append took effect, answers lost, reads fail", func(v *virtualFleet) {
			v.platform.Log.SetFaults(standin.Faults{LoseAnswer: -1, ReadOutage: true})
		}, nil},
		{"append took effect, reads fail", func(v *virtualFleet) {
			v.platform.Log.SetFaults(standin.Faults{ReadOutage: true})
		}, nil},
		{"claimed, then refused by every endpoint", func(v *virtualFleet) {
			for _, s := range v.services {
				s.SetFaults(standin.Faults{RefuseBefore: 2})
			}
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newVirtualFleet(t, smallFleet())
				defer v.stop()
				c.inject(v)
				first := v.sendKeyed("n1", "k2", `{"bid":2}`, nil)
				is.Equal(first.status, http.StatusServiceUnavailable)
				is.Equal(first.ran, "not_run")
				is.True(first.took < 4*time.Second)
				is.True(strings.Contains(first.body, "retry_after_seconds"))
				v.platform.Log.SetFaults(standin.Faults{})
				if c.repair != nil {
					c.repair(v)
				}
				time.Sleep(10 * time.Second)
				again := v.sendKeyed("n2", "k2", `{"bid":2}`, nil)
				is.Equal(again.status, http.StatusOK)
				is.Equal(v.callCount(`{"bid":2}`), 1)
			})
		})
	}
}

// TestCompletionAtMostOnce guards against a completion with the header Linkmast-Once that
// is started twice, or that is started and reported as not run.
func TestCompletionAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
	}{
		{"refused before the start", standin.Faults{RefuseBefore: 1}},
		{"refused after the start", standin.Faults{RefuseAfter: -1}},
		{"answer lost", standin.Faults{LoseAnswer: -1}},
		{"stream broken off", standin.Faults{CutAfter: 3}},
		{"end marker missing", standin.Faults{DropEnd: -1}},
		{"frozen", standin.Faults{Frozen: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtualFleet(t, smallFleet())
				defer v.stop()
				for _, e := range v.engines {
					e.SetFaults(c.faults)
				}
				for i := range 6 {
					p := fmt.Sprintf("once %d", i)
					a := v.send(t.Context(), "n1", "/v1/completions", completionBody(p, 10, i%2 == 0), map[string]string{
						entry.HeaderOnce:     "true",
						entry.HeaderDeadline: "10s",
					})
					n := v.startCount(p)
					if n > 1 {
						t.Errorf("the completion was started %d times", n)
					}
					if n > 0 && a.ran == "not_run" {
						t.Errorf("started, but reported as not run: %s", a.body)
					}
				}
			})
		})
	}
}

// TestRepeatedKeyAttachesToAnswer guards against a completion that runs again, or gets another
// answer, when it is repeated with the same idempotency key during the first run or after it.
func TestRepeatedKeyAttachesToAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVirtualFleet(t, smallFleet())
		defer v.stop()
		h := map[string]string{
			entry.HeaderKey: "k3",
		}
		body := completionBody("attach", 100, true)
		answers := make([]response, 3)
		var wait sync.WaitGroup
		for i := range answers {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 400 * time.Millisecond)
				answers[i] = v.send(context.Background(), fmt.Sprintf("n%d", i+1), "/v1/completions", body, h)
			})
		}
		wait.Wait()
		time.Sleep(10 * time.Second)
		late := v.send(t.Context(), "n2", "/v1/completions", body, h)
		for _, a := range append(answers, late) {
			is.Equal(a.status, http.StatusOK)
			text, complete := streamedText(t, []byte(a.body))
			is.True(complete)
			is.Equal(text, standin.Answer("attach", 100))
		}
		is.Equal(v.startCount("attach"), 1)
	})
}

// TestExpiredKey guards against the use of a key whose validity has ended, ends within the
// bound on clock differences, or ends too far in the future.
func TestExpiredKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtualFleet(t, smallFleet())
		defer v.stop()
		for _, c := range []struct {
			valid  time.Duration
			status int
		}{
			{-time.Minute, http.StatusGone},
			{time.Second, http.StatusGone},
			{time.Minute, http.StatusOK},
			{3 * time.Hour, http.StatusBadRequest},
		} {
			a := v.sendKeyed("n1", "k4"+c.valid.String(), `{"bid":4}`, map[string]string{
				entry.HeaderKeyValid: time.Now().Add(c.valid).Format(time.RFC3339),
			})
			if a.status != c.status {
				t.Errorf("valid for %s: status %d, want %d: %s", c.valid, a.status, c.status, a.body)
			}
		}
	})
}
