// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/pool"
)

// RequestHead is what a caller's request says of itself.
type RequestHead struct {
	// ID names the request; endpoints repeat it in their answers.
	ID string
	// Key is the caller's key; empty without one.
	Key string
	// Wait is how long the caller waits for the answer; zero when it does not
	// say.
	Wait time.Duration
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Content is a hash of the parts that the prompt consists of; zero when the caller
	// does not name them.
	Content uint64
	// OutputTokens bounds the answer.
	OutputTokens int
	// LikelyOutput is the caller's own estimate of the answer's length; zero
	// without one.
	LikelyOutput int
	// LastEvent is the last event that the caller has of a stream that it
	// continues.
	LastEvent string
}

// OutgoingHead is what an endpoint is told of a request beyond what its caller sent.
type OutgoingHead struct {
	// Instance is the endpoint that is meant; any other refuses the request.
	Instance string
	// Customer is who pays; empty on public routes.
	Customer string
	// Wait is the time that is left.
	Wait time.Duration
	// LastEvent is the last event that the caller has of a stream that is
	// continued; empty otherwise.
	LastEvent string
	// Rank is the request's priority; 0 goes first.
	Rank int
	// Shares are the endpoints that read the prompt together with this one.
	Shares []pool.PrefillShare
}

// AnswerHead is what an endpoint's answer says of itself.
type AnswerHead struct {
	// ID names the request that the answer belongs to.
	ID string
	// NotRun states that the request did not run and will not.
	NotRun bool
	// Culprit is the address of the endpoint at fault; empty when it is not
	// said.
	Culprit string
	// Signed states that the answer carries the endpoint's proof of origin.
	Signed bool
	// Notice is what the endpoint says of itself.
	Notice notice.Statements
}

// Wire is how callers and endpoints write what the types of this package hold.
type Wire interface {
	// Head reads the head of a caller's request.
	Head(r *http.Request) RequestHead
	// Outgoing sets what an endpoint is told; h holds the caller's header.
	Outgoing(h http.Header, c OutgoingHead)
	// Answer reads the head of an endpoint's answer.
	Answer(res *http.Response) AnswerHead
	// Refusal sets when a caller may come back.
	Refusal(h http.Header, id string, after time.Duration)
}

// Memory reserves memory on engines.
type Memory interface {
	// Reserve sets memory aside, or renews what is set aside under the name.
	Reserve(ctx context.Context, address, name string, tokens int, hold time.Duration) error
	// Free gives it back.
	Free(ctx context.Context, address, name string) error
}
