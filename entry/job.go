// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"time"

	"github.com/linkmast/linkmast/claim"
	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/policy"
	"github.com/linkmast/linkmast/quarantine"
)

// job holds the state of one request while the entry serves it.
type job struct {
	// id is the request's id.
	id       string
	view     *config.View
	customer *config.Customer
	tier     *config.Tier
	model    *config.Model
	adapter  string
	// service is the name of a plain service; empty for a completion.
	service string
	prompt  string
	// output is the maximum number of output tokens.
	output  int
	arrived time.Time
	// deadline is when the answer must be complete.
	deadline time.Time
	// once states that the request must not be retried after it may have run.
	once bool
	// keyClaim claims the caller's idempotency key; nil without a key.
	keyClaim *claim.Claim
	// hitRate is the fraction of the prompt that is expected to be cached.
	hitRate float64
	// prefix is a hash of the prompt's leading blocks; zero if it has no complete block.
	prefix       uint64
	promptTokens int
	// history holds the request's identity, which is the same for all its tries at any
	// instance, and its failed attempts.
	history quarantine.RequestHistory
	// singleEndpoint states that only one endpoint may run the request, because its identity was
	// banned and may still crash endpoints.
	singleEndpoint bool
	// dispatches counts the attempts that may have reached an endpoint.
	dispatches int
}

// group returns the key of the job's model or plain service in fleet.groups.
func (j *job) group() string {
	if j.service != "" {
		return servicePrefix + j.service
	}
	return j.model.ID
}

// servicePrefix distinguishes the names of plain services from those of models.
const servicePrefix = "service:"

// work returns the demand on each endpoint if the job is split into n shares.
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

// modelName returns the name of the adapter or model that the caller requested.
func (j *job) modelName() string {
	if j.adapter != "" {
		return j.adapter
	}
	return j.model.ID
}

// class returns the length class of the whole prompt.
func (j *job) class() policy.Class {
	return policy.ClassOf(j.promptTokens)
}
