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

// The time bounds that the tests check.
const (
	// memoryReleaseBound bounds the time from the end of the last request, or from the
	// loss of its holder, until the engines have released all memory.
	memoryReleaseBound = 15 * time.Second
	// answerSlack is how long after its deadline a response may still arrive.
	answerSlack = 100 * time.Millisecond
)

// completionBody returns the JSON body of a completion request.
func completionBody(prompt string, tokens int, stream bool) string {
	data, _ := json.Marshal(map[string]any{
		"model":      Model,
		"prompt":     prompt,
		"max_tokens": tokens,
		"stream":     stream,
	})
	return string(data)
}

// exchange is a completion request and the response to it.
type exchange struct {
	response
	prompt string
	tokens int
	stream bool
}

// checkBody reports whether the caller got the expected answer to its prompt, and
// whether it got an answer that looks complete.
func (a *exchange) checkBody(t testing.TB) (correct, complete bool) {
	t.Helper()
	if a.status != http.StatusOK || a.broken {
		return false, false
	}
	want := standin.Answer(a.prompt, a.tokens)
	if !a.stream {
		return answerText(t, []byte(a.body)) == want, true
	}
	text, complete := streamedText(t, []byte(a.body))
	return complete && text == want, complete
}

// sendBurst sends n requests to all nodes in turn over one second, and calls inject
// after half a second. It returns when all requests have ended.
func (v *virtualFleet) sendBurst(t *testing.T, n, promptTokens, tokens int, deadline time.Duration, inject func()) []*exchange {
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
	inject()
	all.Wait()
	return out
}

// checkAnswers fails the test unless each request ended in time with its complete
// and correct answer, a valid error or an aborted connection. It also fails the
// test if a prompt was started although its request was reported as not run. It
// returns the number of complete and correct answers.
func checkAnswers(t testing.TB, v *virtualFleet, answers []*exchange, deadline time.Duration) (answered int) {
	t.Helper()
	for _, a := range answers {
		correct, complete := a.checkBody(t)
		if complete && !correct {
			t.Errorf("request %s got a complete answer with the wrong text", a.id)
		}
		if a.took > deadline+answerSlack {
			t.Errorf("request %s ended after %s, its deadline is %s", a.id, a.took, deadline)
		}
		if !correct && !a.broken && a.ran == "" {
			t.Errorf("request %s got neither its answer nor a valid error: status %d, body %q", a.id, a.status, a.body)
		}
		if a.ran == "not_run" && v.startCount(a.prompt) > 0 {
			t.Errorf("request %s was reported as not run, but its prompt was started: %s", a.id, a.body)
		}
		if correct {
			answered++
		}
	}
	return answered
}

// startCount returns how often all engines together have started a prompt.
func (v *virtualFleet) startCount(prompt string) int {
	n := 0
	for _, e := range v.engines {
		n += e.Started(prompt)
	}
	return n
}

// checkMemoryReleased fails the test unless the engines release all memory within
// memoryReleaseBound.
func checkMemoryReleased(t testing.TB, v *virtualFleet) {
	t.Helper()
	for range int(memoryReleaseBound / time.Second) {
		if v.heldBytes() == 0 {
			return
		}
		time.Sleep(time.Second)
	}
	t.Errorf("engines still hold %d bytes after %s", v.heldBytes(), memoryReleaseBound)
}

// smallFleet configures three nodes, four engines and two plain endpoints.
func smallFleet() virtualSettings {
	return virtualSettings{
		nodes:    3,
		engines:  4,
		services: 2,
	}
}
