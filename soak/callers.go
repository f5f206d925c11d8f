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

// Exchange is one request as its caller saw it.
type Exchange struct {
	// ID names the request.
	ID string
	// Path tells the route.
	Path string
	// Key is the key that was sent.
	Key string
	// Body is the body that was sent.
	Body string
	// Instance is who was asked.
	Instance int
	// Sent is when the caller began.
	Sent time.Time
	// Ended is when the caller had the answer, or gave up.
	Ended time.Time
	// Status is that of the answer; zero without one.
	Status int
	// Answer is the body as far as it came.
	Answer string
	// Whole states that the answer looked whole.
	Whole bool
	// Signed states that the answer carried a proof of origin.
	Signed bool
	// GaveUp states that the caller left on purpose.
	GaveUp bool
}

// callers send requests and keep what they saw.
type callers struct {
	world *World

	mu      sync.Mutex
	history []Exchange
}

// The measures of the load.
const (
	// callersPerInstance is how many callers, each with its own connection, ask
	// an instance.
	callersPerInstance = 4
	// maxCallers bounds them over all instances: with 64 callers of 16 instances all 48 slots of
	// the engines were in use, 0.7 of the requests were served after all faults had ended, and
	// the others refused for want of a slot.
	maxCallers = 40
	// giveUpShare is the part of requests whose caller leaves early.
	giveUpShare = 0.05
	// pauseMean is the mean pause between a caller's requests.
	pauseMean = 60 * time.Millisecond
	// maxBodyLength bounds the length of bodies, in bytes.
	maxBodyLength = 3000
	// maxLeaveDelay bounds when a caller leaves that leaves early: while its request is
	// read, waits, runs, or its answer comes.
	maxLeaveDelay = time.Second
	// callerSlack is how much longer than the request's time a caller waits, for
	// the refusal to arrive.
	callerSlack = time.Second
	// outputTokens is the length of answers that callers name.
	outputTokens = 100
)

// The lengths of prompts, in tokens.
const (
	// longPrompt takes several engines, and one in longOneIn is as long.
	longPrompt = 250_000
	longOneIn  = 20
	// minShortPrompt is the least, and shortSpread how much longer others are.
	minShortPrompt = 500
	shortSpread    = 5000
)

// paths are the routes that are called.
var paths = [...]string{streamPath, oncePath, safePath, unsafePath}

// run sends requests until ctx ends. Each caller keeps its connection for as
// long as the instance does.
func (c *callers) run(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	each := max(min(callersPerInstance, maxCallers/len(c.world.processes)), 1)
	for i := range c.world.processes {
		for k := range each {
			r := rand.New(rand.NewPCG(seed, uint64(i*callersPerInstance+k)))
			all.Go(func() { c.runCaller(ctx, i, k, r) })
		}
	}
	all.Wait()
}

// runCaller is a caller: it sends runCaller request after the other.
func (c *callers) runCaller(ctx context.Context, instance, number int, r *rand.Rand) {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
			DisableCompression:  true,
		},
	}
	for n := 0; ctx.Err() == nil; n++ {
		x := Exchange{
			ID:       fmt.Sprintf("r%d-%d-%d", instance, number, n),
			Path:     paths[r.IntN(len(paths))],
			Key:      steadyKey,
			Body:     strings.Repeat("b", r.IntN(maxBodyLength)),
			Instance: instance,
		}
		switch r.IntN(4) {
		case 0:
			x.Key = c.world.currentKey()
		case 1:
			x.Key = c.world.anyKey(r)
		}
		leave := time.Duration(0)
		if r.Float64() < giveUpShare {
			leave = time.Duration(1 + r.Int64N(int64(maxLeaveDelay)))
		}
		c.send(client, &x, leave, promptOf(r))
		c.mu.Lock()
		c.history = append(c.history, x)
		c.mu.Unlock()
		time.Sleep(time.Duration(r.ExpFloat64() * float64(pauseMean)))
	}
}

// promptOf draws the length of a prompt: most are short, some take several
// engines.
func promptOf(r *rand.Rand) int {
	if r.IntN(longOneIn) == 0 {
		return longPrompt
	}
	return minShortPrompt + r.IntN(shortSpread)
}

// send makes one exchange. The caller leaves after a time; zero means that it waits for
// the answer.
func (c *callers) send(client *http.Client, x *Exchange, leave time.Duration, prompt int) {
	timeout := requestTimeout + callerSlack
	if leave > 0 {
		timeout = leave
		x.GaveUp = true
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := x.request(ctx, c.world.processes[x.Instance].listen, prompt)
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
	// A body that can't be had again keeps the client from sending twice.
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
	}.Set(req.Header)
	return req, nil
}

// all returns what was seen so far.
func (c *callers) all() []Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Exchange(nil), c.history...)
}
