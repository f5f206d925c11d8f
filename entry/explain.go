// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"sync"
	"time"
)

// maxTraces is the number of requests whose traces are kept.
const maxTraces = 4096

// Event is one entry of a Trace.
type Event struct {
	// At is the time of the event.
	At time.Time `json:"at"`
	// What names the event, for example "route" or "lease refused".
	What string `json:"what"`
	// Attempt is the attempt's id; empty if the event belongs to none.
	Attempt string `json:"attempt,omitempty"`
	// Endpoint is the id of the endpoint involved, if any.
	Endpoint string `json:"endpoint,omitempty"`
	// Owner is the id of the instance from which a lease is requested, if any.
	Owner string `json:"owner,omitempty"`
	// Reason explains the event.
	Reason string `json:"reason,omitempty"`
	// Candidates holds the estimates of the chosen endpoint and of a few others, if the event is
	// a routing decision.
	Candidates []CandidateEstimate `json:"candidates,omitempty"`
}

// Trace records the handling of a request.
type Trace struct {
	// Request is the request's id.
	Request string `json:"request"`
	// Customer is the customer's id.
	Customer string `json:"customer"`
	// Tier is the id of the tier that the request was served in.
	Tier string `json:"tier"`
	// Class is the class of the prompt's length, or "plain" for a plain service.
	Class string `json:"class"`
	// Model is the id of the model, or "service:" and the name of the plain service.
	Model string `json:"model"`
	// Tokens is the length of the prompt in tokens.
	Tokens int `json:"tokens"`
	// Events holds the events in order.
	Events []Event `json:"events"`
}

// traces keeps the traces of the latest requests. Order is a ring of their ids.
type traces struct {
	mu    sync.Mutex
	byID  map[string]*Trace
	order []string
	next  int
}

func newTraces() *traces {
	return &traces{
		byID:  make(map[string]*Trace),
		order: make([]string, maxTraces),
	}
}

// begin adds a trace, which replaces the oldest.
func (s *traces) begin(j *job) {
	st := &Trace{
		Request:  j.id,
		Customer: j.customer.ID,
		Tier:     j.tier.ID,
		Class:    className(j),
		Model:    j.group(),
		Tokens:   j.promptTokens,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, s.order[s.next])
	s.order[s.next] = j.id
	s.next = (s.next + 1) % len(s.order)
	s.byID[j.id] = st
}

// add appends an event to the trace of a request, with the current time.
func (s *traces) add(id string, e Event) {
	e.At = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.byID[id]; st != nil {
		st.Events = append(st.Events, e)
	}
}

// get returns a copy of the trace of a request, and false if it is not kept.
func (s *traces) get(id string) (Trace, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.byID[id]
	if st == nil {
		return Trace{}, false
	}
	out := *st
	out.Events = append([]Event{}, st.Events...)
	return out, true
}

// className returns the class of a job's prompt, or "plain" for a plain service.
func className(j *job) string {
	if j.service != "" {
		return "plain"
	}
	return j.class().String()
}
