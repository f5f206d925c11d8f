// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/pool"
)

// RequestHead holds what the relay reads from the header of a caller's request.
type RequestHead struct {
	// ID identifies the request. Endpoints repeat it in their answers.
	ID string
	// Key is the caller's API key; empty if the request has none.
	Key string
	// Wait is how long the caller waits for the answer; zero if it does not say.
	Wait time.Duration
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// Content is a hash of the list of parts that make up the prompt; zero if the caller sends
	// no such list.
	Content uint64
	// Parts has the ids of the parts of the prompt that other requests may share, in order; nil if
	// the caller names none.
	Parts []string
	// OutputTokens is the upper bound of the answer's length in tokens.
	OutputTokens int
	// LikelyOutput is the caller's estimate of the answer's length in tokens; zero if it sends
	// none.
	LikelyOutput int
	// LastEvent is the id of the last event that the caller has received of a stream that it
	// resumes; empty otherwise.
	LastEvent string
}

// OutgoingHead holds what the relay adds to the header of a request for an endpoint.
type OutgoingHead struct {
	// Instance is the id of the endpoint that the request is for. An endpoint with another id
	// refuses the request.
	Instance string
	// Customer is the id of the customer; empty on public routes.
	Customer string
	// Wait is the time left until the request's deadline.
	Wait time.Duration
	// LastEvent is the id of the last event that the caller has received of a resumed stream;
	// empty otherwise.
	LastEvent string
	// Rank is the request's priority; 0 is the highest.
	Rank int
	// Shares lists the other endpoints of a joint prefill, with the memory reserved on each.
	Shares []pool.PrefillShare
}

// AnswerHead holds what the relay reads from the header of an endpoint's answer.
type AnswerHead struct {
	// ID identifies the request that the answer is for.
	ID string
	// NotRun states that the request did not run and will not run.
	NotRun bool
	// Culprit is the address of the endpoint that caused the failure; empty if the answer names
	// none.
	Culprit string
	// Signed states that the answer carries the endpoint's proof of origin.
	Signed bool
	// Notice holds the endpoint's statements about itself, such as a back-off or that it is
	// leaving.
	Notice notice.Statements
}

// Wire converts between HTTP headers and the types of this package.
type Wire interface {
	// Head reads the header of a caller's request.
	Head(r *http.Request) RequestHead
	// Outgoing adds c to h, which holds the caller's header.
	Outgoing(h http.Header, c OutgoingHead)
	// Answer reads the header of an endpoint's answer.
	Answer(res *http.Response) AnswerHead
	// Refusal sets the request's id and when the caller may retry; zero sets no time.
	Refusal(h http.Header, id string, after time.Duration)
}

// Memory reserves memory on engines.
type Memory interface {
	// Reserve reserves memory for a number of tokens on the engine at an address. A reservation
	// of the same name is renewed. It expires after hold.
	Reserve(ctx context.Context, address, name string, tokens int, hold time.Duration) error
	// Free releases the reservation of a name.
	Free(ctx context.Context, address, name string) error
}
