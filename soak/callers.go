// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// Exchange is one request with its outcome, as the caller saw it.
type Exchange struct {
	// ID is the request ID.
	ID string
	// Path is the request path, which selects the route.
	Path string
	// Key is the key that the caller sent.
	Key string
	// Body is the request body.
	Body string
	// Instance is the index of the instance that received the request.
	Instance int
	// Sent is when the caller began to send the request.
	Sent time.Time
	// Ended is when the caller had read the whole response, canceled the request or got an error.
	Ended time.Time
	// Status is the HTTP status; zero if there was no response.
	Status int
	// Answer is the body of the response as far as it was received.
	Answer string
	// Whole is true if the body was read to its end without an error.
	Whole bool
	// Signed is true if the response carried an endpoint's proof of origin.
	Signed bool
	// Parts has the ids of the parts of the prompt; nil if the caller names none.
	Parts []string
	// CancelsEarly is true if the caller was set to cancel the request early. The answer may
	// have come before.
	CancelsEarly bool
}

// callers sends requests to all instances and records the exchanges.
type callers struct {
	deployment *Deployment

	mu      sync.Mutex
	history []Exchange
}

// Parameters of the load.
const (
	// callersPerInstance is the number of callers, each with its own connection, per instance.
	callersPerInstance = 4
	// maxCallers bounds the callers of all instances together, so that the engines do not run out
	// of slots with many instances. Each instance has at least one caller, even if the bound is
	// exceeded. With 64 callers all slots of the engines are in use, and 0.3 of the requests are
	// refused after all faults have ended.
	maxCallers = 40
	// cancelShare is the share of requests that the caller cancels early.
	cancelShare = 0.05
	// pauseMean is the mean pause between two requests of a caller.
	pauseMean = 60 * time.Millisecond
	// maxBodyLength is the exclusive upper bound of the length of bodies, in bytes.
	maxBodyLength = 3000
	// maxCancelDelay is the longest delay after which a caller cancels a request early. The
	// delay is random, so that cancellations hit requests in all stages.
	maxCancelDelay = time.Second
	// callerSlack is how much longer than requestTimeout a caller waits for the answer or
	// refusal.
	callerSlack = time.Second
	// teams is the number of the parts of which each prompt has one in the middle.
	teams = 3
	// outputTokens is the maximum length of the answer that callers name in their requests, in
	// tokens.
	outputTokens = 100
)

// Lengths of prompts, in tokens.
const (
	// longPrompt is long enough for a joint prefill by several engines. One in longOneIn
	// prompts, on average, has this length.
	longPrompt = 250_000
	longOneIn  = 20
	// minShortPrompt is the shortest length of other prompts, and shortSpread the range above
	// it.
	minShortPrompt = 500
	shortSpread    = 5000
)

// paths lists the routes that callers choose from.
var paths = [...]string{streamPath, oncePath, safePath, unsafePath}

// run starts the callers and waits until they stop after the end of ctx.
func (c *callers) run(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	each := max(min(callersPerInstance, maxCallers/len(c.deployment.processes)), 1)
	for i := range c.deployment.processes {
		for k := range each {
			r := rand.New(rand.NewPCG(seed, uint64(i*callersPerInstance+k)))
			all.Go(func() { c.runCaller(ctx, i, k, r) })
		}
	}
	all.Wait()
}

// runCaller sends requests to one instance, one after the other, until ctx ends.
func (c *callers) runCaller(ctx context.Context, instance, number int, r *rand.Rand) {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
			DisableCompression:  true,
		},
	}
	for n := 0; ctx.Err() == nil; n++ {
		x := Exchange{
			ID:       c.deployment.requestID(fmt.Sprintf("r%d-%d-%d", instance, number, n)),
			Path:     paths[r.IntN(len(paths))],
			Key:      steadyKey,
			Body:     strings.Repeat("b", r.IntN(maxBodyLength)),
			Instance: instance,
		}
		if c.deployment.namesParts {
			x.Parts = []string{"base", fmt.Sprint("team", number%teams), x.ID}
		}
		switch r.IntN(4) {
		case 0:
			x.Key = c.deployment.currentKey()
		case 1:
			x.Key = c.deployment.anyKey(r)
		}
		cancelAfter := time.Duration(0)
		if r.Float64() < cancelShare {
			cancelAfter = time.Duration(1 + r.Int64N(int64(maxCancelDelay)))
		}
		c.send(client, &x, cancelAfter, promptOf(r))
		c.mu.Lock()
		c.history = append(c.history, x)
		c.mu.Unlock()
		time.Sleep(time.Duration(r.ExpFloat64() * float64(pauseMean)))
	}
}

// promptOf draws the length of a prompt in tokens.
func promptOf(r *rand.Rand) int {
	if r.IntN(longOneIn) == 0 {
		return longPrompt
	}
	return minShortPrompt + r.IntN(shortSpread)
}

// send sends the request of x, with a prompt of the given length in tokens, and records the
// outcome in x. If cancelAfter is positive, the caller cancels the request after that time.
func (c *callers) send(client *http.Client, x *Exchange, cancelAfter time.Duration, prompt int) {
	timeout := requestTimeout + callerSlack
	if cancelAfter > 0 {
		timeout = cancelAfter
		x.CancelsEarly = true
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := x.request(ctx, c.deployment.processes[x.Instance].listen, prompt)
	if err != nil {
		return
	}
	x.Sent = time.Now()
	defer func() { x.Ended = time.Now() }()
	res, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	x.Status = res.StatusCode
	x.Signed = platformtest.Signed(res.Header)
	data, err := io.ReadAll(res.Body)
	x.Answer = string(data)
	x.Whole = err == nil
}

// request returns the HTTP request of an exchange to an address.
func (x *Exchange) request(ctx context.Context, address string, prompt int) (*http.Request, error) {
	// The client cannot rewind a MultiReader and therefore never resends the request.
	body := io.MultiReader(strings.NewReader(x.Body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+x.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(x.Body))
	req.Host = host
	platformtest.Caller{
		ID:     x.ID,
		Key:    x.Key,
		Wait:   requestTimeout,
		Prompt: prompt,
		Output: outputTokens,
		Parts:  x.Parts,
	}.Set(req.Header)
	return req, nil
}

// all returns a copy of the exchanges recorded so far.
func (c *callers) all() []Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Exchange(nil), c.history...)
}
