// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/linkmast/linkmast/entry"
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

// TestStreamsOutliveOwners proves that long streams run to their end whatever

// happens to the nodes that own their endpoints, as long as the node that

// dispatched them is there.

// TestCutOffForLong proves that nodes that reach the endpoints but no other

// node serve every request, each on its own.

// TestCallerGone proves that an attempt whose caller has gone is cancelled at

// its engine.

// TestHolderLost proves that the memory of a stream that would go on for long

// is back soon after the node that holds it was lost.

// TestTooLate proves that a request whose deadline can't be met is answered at

// once, with a time to come back.

// TestNeverFits proves that a request that no group of engines can ever hold

// is refused at once.

// TestTeams proves that prompts larger than one engine get all the engines

// that they need or none, also when two of them want the same at once and when

// a member refuses.

// once sends the same call with a key.

// calls returns how often a body took effect.

// TestAtMostOnce proves that a call with a key takes effect at most once,

// whatever fails, and that what is said not to have run has not.

// TestKeyFreedAfterRefusal proves that a request with a key that can't be

// decided is refused as not run, at once and not near its deadline, and that

// its key can be used again when all is well.

// TestOnceCompletion proves that a completion that must not be repeated is

// started at most once, and that it is told the truth about that.

// TestStall proves that an endpoint that goes silent is noticed between tokens

// and before the first one, long before the deadline.

// TestAttach proves that a completion that is sent again with its key gets the

// answer of the first, while it runs and after.

// TestExpiredKey proves that a key whose validity has ended, or ends within

// the bound on clocks, is refused as not run.

// TestLeaving proves that an endpoint that is leaving gets nothing new a few

// seconds after the list says so, also when the list lags and requests wait

// for it, and that what runs there is not cut.

// TestReplacedEndpoint proves that a lease for an instance that was replaced at

// the same address does not run on its replacement.
