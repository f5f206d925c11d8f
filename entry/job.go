// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"time"

	"github.com/linkmast/linkmast/claim"
	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/policy"
	"github.com/linkmast/linkmast/quarantine"
)

// job is one request of a caller on its way.
type job struct {
	// id is the request's id.
	id       string
	view     *config.View
	customer *config.Customer
	tier     *config.Tier
	model    *config.Model
	adapter  string
	// service is set for calls of plain services.
	service string
	prompt  string
	output  int
	arrived time.Time
	// deadline is when the answer must be whole.
	deadline time.Time
	// once is true when the request must not be repeated.
	once bool
	// keyClaim is set when the caller gave a key.
	keyClaim *claim.Claim
	// hitRate is the part of the prompt expected to be cached.
	hitRate float64
	// prefix is a hash of the prompt's beginning.
	prefix       uint64
	promptTokens int
	// history has its identity, which is the same for all tries of the request, at any instance,
	// and what its attempts showed.
	history quarantine.RequestHistory
	// singleAttempt states that it may run at one endpoint only, as its ban is just over.
	singleAttempt bool
	// dispatches counts the attempts that may have reached an endpoint.
	dispatches int
}

// group returns the name that the candidates for the job go by.
func (j *job) group() string {
	if j.service != "" {
		return servicePrefix + j.service
	}
	return j.model.ID
}

// servicePrefix tells the names of services from those of models.
const servicePrefix = "service:"

// work returns what an endpoint needs to hold one of n parts of the job.
func (j *job) work(n int) policy.Work {
	w := policy.Work{
		ID:       j.id,
		Customer: j.customer.ID,
		Rank:     j.tier.Rank,
		MaxWait:  time.Duration(j.tier.MaxWait),
		Prompt:   (j.promptTokens + n - 1) / n,
		Output:   j.output,
		Prefix:   j.prefix,
		Arrived:  j.arrived,
		Deadline: j.deadline,
	}
	if j.model != nil {
		w.Bytes = int64(w.Prompt+j.output) * j.model.KVBytesPerToken
	}
	return w
}

// modelName returns the name that the caller used.
func (j *job) modelName() string {
	if j.adapter != "" {
		return j.adapter
	}
	return j.model.ID
}

// class returns the class of the whole prompt.
func (j *job) class() policy.Class {
	return policy.ClassOf(j.promptTokens)
}
