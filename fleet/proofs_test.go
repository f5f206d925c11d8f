// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/entry"
	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/standin"
)

// The bounds that docs/proofs.md states.
const (
	// memoryBound is how long the memory of an attempt takes to come back
	// after its holder died.
	memoryBound = 15 * time.Second
	// answerSlack is how much later than its deadline an answer may come.
	answerSlack = 100 * time.Millisecond
)

// completion returns the body of a completion.
func completion(prompt string, tokens int, stream bool) string {
	data, _ := json.Marshal(map[string]any{
		"model":      Model,
		"prompt":     prompt,
		"max_tokens": tokens,
		"stream":     stream,
	})
	return string(data)
}

// asked is one request with its answer.
type asked struct {
	vanswer
	prompt string
	tokens int
	stream bool
}

// wholeAnswer states whether the caller got the whole of its own answer, and
// whether it got something that passes for whole.
func (a *asked) wholeAnswer(t testing.TB) (own, seemsWhole bool) {
	t.Helper()
	if a.status != http.StatusOK || a.broken {
		return false, false
	}
	want := standin.Answer(a.prompt, a.tokens)
	if !a.stream {
		return textOf(t, []byte(a.body)) == want, true
	}
	text, seemsWhole := streamOf(t, []byte(a.body))
	return seemsWhole && text == want, seemsWhole
}

// burst sends n requests spread over the nodes and a second, and calls strike
// when half of them are out. It returns when all are answered.
func (v *virtual) burst(t *testing.T, n, promptTokens, tokens int, deadline time.Duration, strike func()) []*asked {
	t.Helper()
	var all sync.WaitGroup
	out := make([]*asked, n)
	for i := range n {
		a := &asked{
			prompt: prompt(fmt.Sprintf("burst %d ", i), promptTokens),
			tokens: tokens,
			stream: i%2 == 0,
		}
		out[i] = a
		all.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(n))
			a.vanswer = v.send(context.Background(), fmt.Sprintf("n%d", i%len(v.nodes)+1), "/v1/completions",
				completion(a.prompt, a.tokens, a.stream), map[string]string{
					entry.HeaderDeadline: deadline.String(),
				})
		})
	}
	time.Sleep(500 * time.Millisecond)
	strike()
	all.Wait()
	return out
}

// wantTruth fails unless every answer is whole and its own or an error in time,
// and no request that was said not to have run did.
func wantTruth(t testing.TB, v *virtual, answers []*asked, deadline time.Duration) (whole int) {
	t.Helper()
	for _, a := range answers {
		own, seems := a.wholeAnswer(t)
		if seems && !own {
			t.Errorf("request %s got an answer that is not its own", a.id)
		}
		if a.took > deadline+answerSlack {
			t.Errorf("request %s was answered after %s, its deadline is %s", a.id, a.took, deadline)
		}
		if !own && !a.broken && a.ran == "" {
			t.Errorf("request %s got neither its answer nor an error: %d %q", a.id, a.status, a.body)
		}
		if a.ran == "not_run" && v.starts(a.prompt) > 0 {
			t.Errorf("request %s ran, but was said not to have: %s", a.id, a.body)
		}
		if own {
			whole++
		}
	}
	return whole
}

// starts returns how often a prompt was started at all engines.
func (v *virtual) starts(prompt string) int {
	n := 0
	for _, e := range v.engines {
		n += e.Started(prompt)
	}
	return n
}

// wantFree fails unless all memory comes back within the bound.
func wantFree(t testing.TB, v *virtual) {
	t.Helper()
	for range int(memoryBound / time.Second) {
		if v.held() == 0 {
			return
		}
		time.Sleep(time.Second)
	}
	t.Errorf("%d bytes are still held after %s", v.held(), memoryBound)
}

func small() vsettings {
	return vsettings{
		nodes:    3,
		engines:  4,
		services: 2,
	}
}

// TestFaultsOfTheFleet proves, for each fault, that every request finishes or
// fails within its time with the whole of its own answer or the truth about
// what ran, and that all memory comes back.
func TestFaultsOfTheFleet(t *testing.T) {
	for _, c := range []struct {
		name   string
		strike func(v *virtual)
		heal   func(v *virtual)
		// least is how many of the 24 requests must be answered.
		least int
	}{
		{"nothing", func(*virtual) {}, nil, 24},
		{"engine killed", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{Dead: true})
		}, nil, 14},
		{"engine frozen", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{Frozen: true})
		}, func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{})
		}, 14},
		{"node killed", func(v *virtual) { v.kill("n1") }, nil, 14},
		{"node frozen, then awake", func(v *virtual) { v.freeze("n1") }, func(v *virtual) { v.thaw("n1") }, 12},
		{"node cut from the others", func(v *virtual) {
			v.separate("n1|n2", true)
			v.separate("n1|n3", true)
		}, func(v *virtual) {
			v.separate("n1|n2", false)
			v.separate("n1|n3", false)
		}, 12},
		{"node cut from an engine", func(v *virtual) { v.separate("n1|e1:1", true) }, nil, 20},
		{"platform down", func(v *virtual) { v.separate("platform", true) }, func(v *virtual) {
			v.separate("platform", false)
		}, 24},
		{"cancels lost", func(v *virtual) {
			for _, e := range v.engines {
				e.SetFaults(standin.Faults{LoseCancel: 2})
			}
			v.kill("n2")
		}, nil, 12},
		{"node and engine killed together", func(v *virtual) {
			v.kill("n1")
			v.engines["e2:1"].SetFaults(standin.Faults{Dead: true})
		}, nil, 8},
		{"two nodes killed", func(v *virtual) {
			v.kill("n1")
			v.kill("n2")
		}, nil, 4},
		{"node killed during an outage of the platform", func(v *virtual) {
			v.separate("platform", true)
			v.kill("n3")
		}, nil, 12},
		{"streams cut", func(v *virtual) {
			for _, e := range v.engines {
				e.SetFaults(standin.Faults{CutAfter: 7})
			}
		}, nil, 0},
		{"chunks crossed", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{CrossChunks: 3})
		}, nil, 20},
		{"chunks doubled", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{DoubleChunks: 10})
		}, nil, 24},
		{"chunks missing", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{DropChunks: 3})
		}, nil, 20},
		{"ends missing", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{DropEnd: 3})
		}, nil, 20},
		{"refused before the start", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{RefuseBefore: 3})
		}, nil, 24},
		{"refused after the start", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{RefuseAfter: 3})
		}, nil, 22},
		{"answers lost", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{LoseAnswer: 3})
		}, nil, 22},
		{"slow engines", func(v *virtual) {
			for _, e := range v.engines {
				e.SetFaults(standin.Faults{Slow: 20})
			}
		}, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, small())
				defer v.stop()
				const deadline = 20 * time.Second
				answers := v.burst(t, 24, 4_000, 50, deadline, func() { c.strike(v) })
				if whole := wantTruth(t, v, answers, deadline); whole < c.least {
					t.Errorf("%d of 24 requests were answered, want %d", whole, c.least)
					for _, a := range answers {
						if own, _ := a.wholeAnswer(t); !own {
							t.Logf("%s %d %v %s", a.id, a.status, a.broken, a.body[:min(len(a.body), 300)])
						}
					}
				}
				if c.heal != nil {
					c.heal(v)
				}
				wantFree(t, v)
			})
		})
	}
}

// TestStreamsOutliveOwners proves that long streams run to their end whatever
// happens to the nodes that own their endpoints, as long as the node that
// dispatched them is there.
func TestStreamsOutliveOwners(t *testing.T) {
	for _, c := range []struct {
		name   string
		strike func(v *virtual)
	}{
		{"nothing", func(*virtual) {}},
		{"one killed", func(v *virtual) { v.kill("n2") }},
		{"both killed", func(v *virtual) {
			v.kill("n2")
			v.kill("n3")
		}},
		{"one frozen", func(v *virtual) { v.freeze("n3") }},
		{"cut from the dispatcher", func(v *virtual) {
			v.separate("n1|n2", true)
			time.Sleep(2 * time.Second)
			v.separate("n1|n2", false)
		}},
		{"one after the other stops", func(v *virtual) {
			v.nodes["n2"].member.Stop()
			time.Sleep(3 * time.Second)
			v.nodes["n3"].member.Stop()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, small())
				defer v.stop()
				var all sync.WaitGroup
				for i := range 8 {
					all.Go(func() {
						a := &asked{
							prompt: fmt.Sprintf("long %d", i),
							tokens: 1000,
							stream: true,
						}
						a.vanswer = v.send(context.Background(), "n1", "/v1/completions", completion(a.prompt, a.tokens, true), nil)
						if own, _ := a.wholeAnswer(t); !own {
							t.Errorf("not whole: %d, broken %v, ...%s", a.status, a.broken, a.body[max(0, len(a.body)-200):])
						}
					})
				}
				time.Sleep(2 * time.Second)
				c.strike(v)
				all.Wait()
				wantFree(t, v)
			})
		})
	}
}

// TestCutOffForLong proves that nodes that reach the endpoints but no other
// node serve every request, each on its own.
func TestCutOffForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, small())
		defer v.stop()
		v.separate("n1|n2", true)
		v.separate("n1|n3", true)
		v.separate("n2|n3", true)
		time.Sleep(20 * time.Second)
		answers := v.burst(t, 24, 4_000, 50, 20*time.Second, func() {})
		if whole := wantTruth(t, v, answers, 20*time.Second); whole < 24 {
			t.Errorf("%d of 24 requests were answered", whole)
		}
		wantFree(t, v)
	})
}

// TestCallerGone proves that an attempt whose caller has gone is cancelled at
// its engine.
func TestCallerGone(t *testing.T) {
	for _, lost := range []int{0, 1, 5} {
		t.Run(fmt.Sprintf("%d cancels lost", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newVirtual(t, small())
				defer v.stop()
				for _, e := range v.engines {
					e.SetFaults(standin.Faults{LoseCancel: lost})
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan vanswer, 1)
				go func() {
					done <- v.send(ctx, "n1", "/v1/completions", completion("gone", 1000, true), nil)
				}()
				time.Sleep(time.Second)
				is.True(v.held() > 0)
				cancel()
				<-done
				wantFree(t, v)
			})
		})
	}
}

// TestHolderLost proves that the memory of a stream that would go on for long
// is back soon after the node that holds it was lost.
func TestHolderLost(t *testing.T) {
	for _, c := range []struct {
		name   string
		strike func(v *virtual)
	}{
		{"killed", func(v *virtual) { v.kill("n1") }},
		{"frozen", func(v *virtual) { v.freeze("n1") }},
		{"cut from everything", func(v *virtual) { v.separate("n1", true) }},
		{"killed, and another after it", func(v *virtual) {
			v.kill("n1")
			time.Sleep(time.Second)
			v.kill("n2")
		}},
		{"killed, and cancels are lost", func(v *virtual) {
			for _, e := range v.engines {
				e.SetFaults(standin.Faults{LoseCancel: 3})
			}
			v.kill("n1")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newVirtual(t, small())
				defer v.stop()
				ctx, cancel := context.WithCancel(t.Context())
				var all sync.WaitGroup
				for i := range 6 {
					all.Go(func() {
						v.send(ctx, "n1", "/v1/completions", completion(fmt.Sprintf("endless %d", i), 4_000, true), nil)
					})
				}
				time.Sleep(2 * time.Second)
				is.True(v.held() > 0)
				c.strike(v)
				wantFree(t, v)
				cancel()
				all.Wait()
			})
		})
	}
}

// TestTooLate proves that a request whose deadline can't be met is answered at
// once, with a time to come back.
func TestTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVirtual(t, small())
		defer v.stop()
		a := v.send(t.Context(), "n1", "/v1/completions", completion(prompt("late", 200_000), 50, true), map[string]string{
			entry.HeaderDeadline: "3s", // the prefill alone takes 5 s
		})
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.Equal(a.ran, "not_run")
		is.True(strings.Contains(a.body, "deadline_unreachable"))
		is.True(strings.Contains(a.body, "retry_after_seconds"))
		is.True(a.took < 50*time.Millisecond)
	})
}

// TestNeverFits proves that a request that no group of engines can ever hold
// is refused at once.
func TestNeverFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := small()
		s.engines = 2
		v := newVirtual(t, s)
		defer v.stop()
		a := v.send(t.Context(), "n1", "/v1/completions", completion(prompt("huge", 1_000_000), 50, false), nil)
		is.Equal(a.status, http.StatusUnprocessableEntity)
		is.True(strings.Contains(a.body, "never_fits"))
		is.Equal(a.took, time.Duration(0))
	})
}

// TestTeams proves that prompts larger than one engine get all the engines
// that they need or none, also when two of them want the same at once and when
// a member refuses.
func TestTeams(t *testing.T) {
	for _, c := range []struct {
		name   string
		strike func(v *virtual)
		least  int
	}{
		{"two at once", func(*virtual) {}, 2},
		{"a member refuses", func(v *virtual) {
			for _, e := range v.engines {
				e.SetFaults(standin.Faults{RefuseBefore: 1})
			}
		}, 0},
		{"the answer to a reservation is lost", func(v *virtual) {
			v.engines["e3:1"].SetFaults(standin.Faults{LoseAnswer: 1})
		}, 1},
		{"the entry dies half-way", func(v *virtual) {
			go func() {
				time.Sleep(500 * time.Millisecond)
				v.kill("n1")
			}()
		}, 1},
		{"a member dies", func(v *virtual) {
			go func() {
				time.Sleep(4 * time.Second)
				v.engines["e2:1"].SetFaults(standin.Faults{Dead: true})
			}()
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, small())
				defer v.stop()
				c.strike(v)
				var all sync.WaitGroup
				answers := make([]*asked, 2)
				for i := range answers {
					a := &asked{
						prompt: prompt(fmt.Sprintf("team %d", i), 700_000),
						tokens: 30,
					}
					answers[i] = a
					all.Go(func() {
						a.vanswer = v.send(context.Background(), fmt.Sprintf("n%d", i+1), "/v1/completions",
							completion(a.prompt, a.tokens, false), map[string]string{
								entry.HeaderDeadline: "2m",
							})
					})
				}
				all.Wait()
				if whole := wantTruth(t, v, answers, 2*time.Minute); whole < c.least {
					t.Errorf("%d answered, want %d: %.200s | %.200s", whole, c.least, answers[0].body, answers[1].body)
				}
				wantFree(t, v)
			})
		})
	}
}

// once sends the same call with a key.
func (v *virtual) once(node, key, body string, header map[string]string) vanswer {
	h := map[string]string{
		entry.HeaderKey:      key,
		entry.HeaderDeadline: "10s",
	}
	for k, val := range header {
		h[k] = val
	}
	return v.send(context.Background(), node, "/services/lots/bids", body, h)
}

// calls returns how often a body took effect.
func (v *virtual) calls(body string) int {
	n := 0
	for _, s := range v.services {
		n += s.Calls([]byte(body))
	}
	return n
}

// TestAtMostOnce proves that a call with a key takes effect at most once,
// whatever fails, and that what is said not to have run has not.
func TestAtMostOnce(t *testing.T) {
	all := func(f standin.Faults) func(*virtual) {
		return func(v *virtual) {
			for _, s := range v.services {
				s.SetFaults(f)
			}
		}
	}
	log := func(f standin.Faults) func(*virtual) {
		return func(v *virtual) { v.platform.Log.SetFaults(f) }
	}
	for _, c := range []struct {
		name   string
		strike func(v *virtual)
		// answered is how many of the three callers must be answered.
		answered int
	}{
		{"nothing", func(*virtual) {}, 3},
		{"answer of the service lost", all(standin.Faults{LoseAnswer: 1}), 0},
		{"refused after the start", all(standin.Faults{RefuseAfter: 1}), 0},
		{"refused before the start", all(standin.Faults{RefuseBefore: 1}), 1},
		{"answer of the log lost", log(standin.Faults{LoseAnswer: 1}), 3},
		{"answers of the log lost for long", log(standin.Faults{LoseAnswer: -1}), 3},
		{"log down", log(standin.Faults{Outage: true}), 0},
		{"log down after the first claim", func(v *virtual) {
			go func() {
				time.Sleep(20 * time.Millisecond)
				v.platform.Log.SetFaults(standin.Faults{Outage: true})
			}()
		}, 0},
		{"services frozen", all(standin.Faults{Frozen: true}), 0},
		{"a node dies at once", func(v *virtual) { v.kill("n1") }, 0},
		{"a node dies after the claim", func(v *virtual) {
			go func() {
				time.Sleep(3 * time.Millisecond)
				v.kill("n1")
			}()
		}, 0},
		{"a node freezes and wakes after the deadline", func(v *virtual) {
			go func() {
				time.Sleep(3 * time.Millisecond)
				v.freeze("n1")
				time.Sleep(12 * time.Second)
				v.thaw("n1")
			}()
		}, 0},
		{"nodes cut from each other", func(v *virtual) {
			v.separate("n1|n2", true)
			v.separate("n1|n3", true)
			v.separate("n2|n3", true)
		}, 0},
		{"nodes cut from each other for long", func(v *virtual) {
			v.separate("n1|n2", true)
			v.separate("n1|n3", true)
			v.separate("n2|n3", true)
			time.Sleep(15 * time.Second)
		}, 1},
		{"log's answer lost and a node dies", func(v *virtual) {
			v.platform.Log.SetFaults(standin.Faults{LoseAnswer: 1})
			v.kill("n2")
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, small())
				defer v.stop()
				c.strike(v)
				body := `{"bid":1}`
				answers := make([]vanswer, 3)
				var wait sync.WaitGroup
				for i := range answers {
					wait.Go(func() { answers[i] = v.once(fmt.Sprintf("n%d", i+1), "k1", body, nil) })
				}
				wait.Wait()
				time.Sleep(15 * time.Second)
				ok := 0
				for _, a := range answers {
					if a.status == http.StatusOK {
						ok++
					}
				}
				if n := v.calls(body); n > 1 || n == 0 && ok > 0 {
					t.Errorf("the call took effect %d times", n)
				}
				if ok < c.answered {
					t.Errorf("%d answered, want %d: %+v", ok, c.answered, answers)
				}
				for _, a := range answers {
					if a.ran == "not_run" && ok > 0 && strings.Contains(a.body, "key_used") {
						t.Errorf("said not to have run, but a request with the key did: %s", a.body)
					}
				}
				// Sent again when all is well, the call must not take effect a
				// second time.
				all(standin.Faults{})(v)
				v.platform.Log.SetFaults(standin.Faults{})
				again := v.once("n3", "k1", body, nil)
				if n := v.calls(body); n > 1 {
					t.Errorf("after it was sent again the call took effect %d times: %+v", n, again)
				}
			})
		})
	}
}

// TestKeyFreedAfterRefusal proves that a request with a key that can't be
// decided is refused as not run, at once and not near its deadline, and that
// its key can be used again when all is well.
func TestKeyFreedAfterRefusal(t *testing.T) {
	for _, c := range []struct {
		name         string
		strike, heal func(v *virtual)
	}{
		{"log down", func(v *virtual) {
			v.platform.Log.SetFaults(standin.Faults{Outage: true})
		}, nil},
		{"log silent", func(v *virtual) { v.freeze("platform") }, func(v *virtual) { v.thaw("platform") }},
		{"append took effect, answer lost, then down", func(v *virtual) {
			v.platform.Log.SetFaults(standin.Faults{LoseAnswer: -1, ReadOutage: true})
		}, nil},
		{"append took effect, then down", func(v *virtual) {
			v.platform.Log.SetFaults(standin.Faults{ReadOutage: true})
		}, nil},
		{"claimed, then refused by every endpoint", func(v *virtual) {
			for _, s := range v.services {
				s.SetFaults(standin.Faults{RefuseBefore: 2})
			}
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newVirtual(t, small())
				defer v.stop()
				c.strike(v)
				first := v.once("n1", "k2", `{"bid":2}`, nil)
				is.Equal(first.status, http.StatusServiceUnavailable)
				is.Equal(first.ran, "not_run")
				is.True(first.took < 4*time.Second)
				is.True(strings.Contains(first.body, "retry_after_seconds"))
				v.platform.Log.SetFaults(standin.Faults{})
				if c.heal != nil {
					c.heal(v)
				}
				time.Sleep(10 * time.Second)
				again := v.once("n2", "k2", `{"bid":2}`, nil)
				is.Equal(again.status, http.StatusOK)
				is.Equal(v.calls(`{"bid":2}`), 1)
			})
		})
	}
}

// TestOnceCompletion proves that a completion that must not be repeated is
// started at most once, and that it is told the truth about that.
func TestOnceCompletion(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
	}{
		{"refused before the start", standin.Faults{RefuseBefore: 1}},
		{"refused after the start", standin.Faults{RefuseAfter: -1}},
		{"answer lost", standin.Faults{LoseAnswer: -1}},
		{"stream cut", standin.Faults{CutAfter: 3}},
		{"end missing", standin.Faults{DropEnd: -1}},
		{"frozen", standin.Faults{Frozen: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, small())
				defer v.stop()
				for _, e := range v.engines {
					e.SetFaults(c.faults)
				}
				for i := range 6 {
					p := fmt.Sprintf("once %d", i)
					a := v.send(t.Context(), "n1", "/v1/completions", completion(p, 10, i%2 == 0), map[string]string{
						entry.HeaderOnce:     "true",
						entry.HeaderDeadline: "10s",
					})
					n := v.starts(p)
					if n > 1 {
						t.Errorf("started %d times", n)
					}
					if n > 0 && a.ran == "not_run" {
						t.Errorf("started, but said not to have run: %s", a.body)
					}
				}
			})
		})
	}
}

// TestStall proves that an endpoint that goes silent is noticed between tokens
// and before the first one, long before the deadline.
func TestStall(t *testing.T) {
	for _, tokens := range []int{100, 80_000} {
		t.Run(fmt.Sprintf("prompt of %d tokens", tokens), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, small())
				defer v.stop()
				answers := v.burst(t, 12, tokens, 200, 5*time.Minute, func() {
					v.engines["e1:1"].SetFaults(standin.Faults{Frozen: true})
				})
				wantTruth(t, v, answers, 40*time.Second)
				v.engines["e1:1"].SetFaults(standin.Faults{})
				wantFree(t, v)
			})
		})
	}
}

// TestAttach proves that a completion that is sent again with its key gets the
// answer of the first, while it runs and after.
func TestAttach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVirtual(t, small())
		defer v.stop()
		h := map[string]string{
			entry.HeaderKey: "k3",
		}
		body := completion("attach", 100, true)
		answers := make([]vanswer, 3)
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
			text, whole := streamOf(t, []byte(a.body))
			is.True(whole)
			is.Equal(text, standin.Answer("attach", 100))
		}
		is.Equal(v.starts("attach"), 1)
	})
}

// TestExpiredKey proves that a key whose validity has ended, or ends within
// the bound on clocks, is refused as not run.
func TestExpiredKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, small())
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
			a := v.once("n1", "k4"+c.valid.String(), `{"bid":4}`, map[string]string{
				entry.HeaderKeyValid: time.Now().Add(c.valid).Format(time.RFC3339),
			})
			if a.status != c.status {
				t.Errorf("valid for %s: status %d, want %d: %s", c.valid, a.status, c.status, a.body)
			}
		}
	})
}

// TestLeaving proves that an endpoint that is leaving gets nothing new a few
// seconds after the list says so, also when the list lags and requests wait
// for it, and that what runs there is not cut.
func TestLeaving(t *testing.T) {
	for _, lag := range []time.Duration{0, 2 * time.Second} {
		t.Run("lag "+lag.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newVirtual(t, small())
				defer v.stop()
				v.platform.Instances.SetFaults(standin.Faults{Lag: lag})
				long := make(chan vanswer, 4)
				for i := range 4 {
					go func() {
						long <- v.send(context.Background(), "n1", "/v1/completions",
							completion(fmt.Sprintf("long %d", i), 1000, true), nil)
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
					a := v.send(t.Context(), fmt.Sprintf("n%d", i%3+1), "/v1/completions", completion(p, 2, true), nil)
					is.Equal(a.status, http.StatusOK)
					is.Equal(v.engines["e1:1"].Started(p), 0)
				}
				for range 4 {
					a := <-long
					_, whole := streamOf(t, []byte(a.body))
					is.True(whole)
				}
			})
		})
	}
}

// TestReplacedEndpoint proves that a lease for an instance that was replaced at
// the same address does not run on its replacement.
func TestReplacedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVirtual(t, small())
		defer v.stop()
		// Every engine is replaced by another instance; the list lags.
		for i := range 4 {
			id := fmt.Sprintf("e%d", i+1)
			v.engines[id+":1"].Rename(id + "-2")
		}
		a := v.send(t.Context(), "n1", "/v1/completions", completion("replaced", 2, true), map[string]string{
			entry.HeaderDeadline: "5s",
		})
		is.True(a.status != http.StatusOK)
		is.Equal(a.ran, "not_run")
		is.Equal(v.starts("replaced"), 0)
		for i := range 4 {
			id := fmt.Sprintf("e%d", i+1)
			v.platform.Instances.Remove(id + "-1")
			v.list(id+"-2", id+":1", instances.KindEndpoint, "d1")
		}
		time.Sleep(3 * time.Second)
		a = v.send(t.Context(), "n1", "/v1/completions", completion("replaced", 2, true), nil)
		is.Equal(a.status, http.StatusOK)
	})
}
