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
	// memoryReleaseBound is how long the memory of an attempt takes to come back
	// after its holder died.
	memoryReleaseBound = 15 * time.Second
	// answerSlack is how much later than its deadline an answer may come.
	answerSlack = 100 * time.Millisecond
)

// completionBody returns the body of a completionBody.
func completionBody(prompt string, tokens int, stream bool) string {
	data, _ := json.Marshal(map[string]any{
		"model":      Model,
		"prompt":     prompt,
		"max_tokens": tokens,
		"stream":     stream,
	})
	return string(data)
}

// exchange is one request with its answer.
type exchange struct {
	response
	prompt string
	tokens int
	stream bool
}

// checkBody states whether the caller got the whole of its own answer, and
// whether it got something that passes for whole.
func (a *exchange) checkBody(t testing.TB) (own, seemsWhole bool) {
	t.Helper()
	if a.status != http.StatusOK || a.broken {
		return false, false
	}
	want := standin.Answer(a.prompt, a.tokens)
	if !a.stream {
		return answerText(t, []byte(a.body)) == want, true
	}
	text, seemsWhole := streamedText(t, []byte(a.body))
	return seemsWhole && text == want, seemsWhole
}

// sendBurst sends n requests spread over the nodes and a second, and calls strike
// when half of them are out. It returns when all are answered.
func (v *virtualFleet) sendBurst(t *testing.T, n, promptTokens, tokens int, deadline time.Duration, strike func()) []*exchange {
	t.Helper()
	var all sync.WaitGroup
	out := make([]*exchange, n)
	for i := range n {
		a := &exchange{
			prompt: prompt(fmt.Sprintf("burst %d ", i), promptTokens),
			tokens: tokens,
			stream: i%2 == 0,
		}
		out[i] = a
		all.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(n))
			a.response = v.send(context.Background(), fmt.Sprintf("n%d", i%len(v.nodes)+1), "/v1/completions",
				completionBody(a.prompt, a.tokens, a.stream), map[string]string{
					entry.HeaderDeadline: deadline.String(),
				})
		})
	}
	time.Sleep(500 * time.Millisecond)
	strike()
	all.Wait()
	return out
}

// checkAnswers fails unless every answer is whole and its own or an error in time,
// and no request that was said not to have run did.
func checkAnswers(t testing.TB, v *virtualFleet, answers []*exchange, deadline time.Duration) (whole int) {
	t.Helper()
	for _, a := range answers {
		own, seems := a.checkBody(t)
		if seems && !own {
			t.Errorf("request %s got an answer that is not its own", a.id)
		}
		if a.took > deadline+answerSlack {
			t.Errorf("request %s was answered after %s, its deadline is %s", a.id, a.took, deadline)
		}
		if !own && !a.broken && a.ran == "" {
			t.Errorf("request %s got neither its answer nor an error: %d %q", a.id, a.status, a.body)
		}
		if a.ran == "not_run" && v.startCount(a.prompt) > 0 {
			t.Errorf("request %s ran, but was said not to have: %s", a.id, a.body)
		}
		if own {
			whole++
		}
	}
	return whole
}

// startCount returns how often a prompt was started at all engines.
func (v *virtualFleet) startCount(prompt string) int {
	n := 0
	for _, e := range v.engines {
		n += e.Started(prompt)
	}
	return n
}

// checkMemoryReleased fails unless all memory comes back within the bound.
func checkMemoryReleased(t testing.TB, v *virtualFleet) {
	t.Helper()
	for range int(memoryReleaseBound / time.Second) {
		if v.heldBytes() == 0 {
			return
		}
		time.Sleep(time.Second)
	}
	t.Errorf("%d bytes are still held after %s", v.heldBytes(), memoryReleaseBound)
}

func smallFleet() virtualSettings {
	return virtualSettings{
		nodes:    3,
		engines:  4,
		services: 2,
	}
}
