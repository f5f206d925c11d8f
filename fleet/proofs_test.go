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
