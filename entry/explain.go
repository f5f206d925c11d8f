// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"sync"
	"time"
)

// maxTraces is how many requests can be explained.
const maxTraces = 4096

// Event is one step of a request's path.
type Event struct {
	// At is when it happened.
	At time.Time `json:"at"`
	// What names the step.
	What string `json:"what"`
	// Attempt is the attempt's id.
	Attempt string `json:"attempt,omitempty"`
	// Endpoint is where the step took place.
	Endpoint string `json:"endpoint,omitempty"`
	// Owner is the instance that owns the endpoint.
	Owner string `json:"owner,omitempty"`
	// Reason says why.
	Reason string `json:"reason,omitempty"`
	// Candidates are the choices with their estimates.
	Candidates []CandidateEstimate `json:"candidates,omitempty"`
}

// Trace is what happened to a request.
type Trace struct {
	// Request is the request's id.
	Request string `json:"request"`
	// Customer, Tier, Class and Model are what the request was.
	Customer string `json:"customer"`
	// Tier is the tier that held.
	Tier string `json:"tier"`
	// Class is the class of prompt length.
	Class string `json:"class"`
	// Model is the model or plain service.
	Model string `json:"model"`
	// Tokens is the length of the prompt.
	Tokens int `json:"tokens"`
	// Events are the steps in order.
	Events []Event `json:"events"`
}

// traces keeps the latest requests.
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

// begin starts a story, in the place of the oldest.
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

// add adds a step.
func (s *traces) add(id string, e Event) {
	e.At = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.byID[id]; st != nil {
		st.Events = append(st.Events, e)
	}
}

// get returns a copy of a story.
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

// className returns the class of a job's prompt; plain calls have their own.
func className(j *job) string {
	if j.service != "" {
		return "plain"
	}
	return j.class().String()
}
