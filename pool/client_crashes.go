// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/quarantine"
)

// noEnginesPool stands in for the common pool in a fleet without engines, so that its instances
// agree on who counts crashes. No service has this name.
const noEnginesPool = ""

// Limits on the crashes that an instance reports again to a new owner.
const (
	// Crashes older than maxCrashAge are dropped when the next one is recorded. The age covers
	// callers that retry after minutes. maxKeptCrashes bounds the number of crashes that are kept;
	// the oldest one is dropped first. It covers an instance with some tens of streams that lost
	// most of its engines.
	maxCrashAge    = 10 * time.Minute
	maxKeptCrashes = 64
)

// pickCommon returns the service whose owners count the crashes of all services and send the
// verdicts to all instances: the first one by name that has engines, as every instance has sessions
// with its owners anyway. If no service has engines, it adds noEnginesPool to c.ownerOrder and
// returns that. The caller must hold c.mu, and c.ownerOrder must have only the services with
// engines.
func (c *Client) pickCommon(snap *catalog.Snapshot) string {
	if len(c.ownerOrder) == 0 {
		c.ownerOrder[noEnginesPool] = c.rankOwners(noEnginesPool, snap)
		return noEnginesPool
	}
	return slices.Min(slices.Collect(maps.Keys(c.ownerOrder)))
}

// commonPool returns the service that pickCommon chose.
func (c *Client) commonPool() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.common
}

// CountsCrashes reports whether this instance decides on bans, according to its view of the common
// pool.
func (c *Client) CountsCrashes() bool {
	return c.decidingInstance(c.commonPool()) == c.self.ID
}

// ReportCrash records a crash of an endpoint during an attempt and reports it to the owners of the
// common pool. This instance counts the parts of the prompt itself only if it is one of these owners,
// or reaches none: it knows too little of the answers that others have received.
func (c *Client) ReportCrash(crash quarantine.Crash) {
	local := crash
	if !c.countsParts() {
		local.Parts = nil
	}
	c.local.settings.Quarantine.ReportCrash(local)
	now := c.local.settings.Now()
	c.mu.Lock()
	c.crashes = slices.DeleteFunc(c.crashes, func(old quarantine.Crash) bool { return now.Sub(old.EndedAt) > maxCrashAge })
	if len(c.crashes) >= maxKeptCrashes {
		c.crashes = slices.Delete(c.crashes, 0, 1)
	}
	c.crashes = append(c.crashes, crash)
	c.mu.Unlock()
	c.broadcast(c.commonPool(), crashMessage(crash, now), nil)
}

// countsParts reports whether this instance counts the ends of endpoints under the parts of prompts:
// it is one of the followed owners of the common pool, or reaches none of them.
func (c *Client) countsParts() bool {
	reached := false
	for _, l := range c.owners(c.commonPool()) {
		if l == nil {
			return true
		}
		reached = reached || l.usable()
	}
	return !reached
}

// ReportAnswered records that a request got a whole answer. If that concerns a suspected or banned
// request or part, the owners of the common pool are notified.
func (c *Client) ReportAnswered(k quarantine.Keys, startedAt time.Time) {
	c.reportVerdicts(c.local.settings.Quarantine.ReportAnswered(k, startedAt))
}

// ReportProgress records that an answer has got so far that it clears the parts of its prompt. If that
// concerns a suspected or banned part, the owners of the common pool are notified.
func (c *Client) ReportProgress(parts []quarantine.Identity, startedAt time.Time) {
	c.reportVerdicts(c.local.settings.Quarantine.ReportProgress(parts, startedAt))
}

// reportVerdicts sends verdicts to the owners of the common pool.
func (c *Client) reportVerdicts(verdicts []quarantine.Verdict) {
	for _, v := range verdicts {
		c.broadcast(c.commonPool(), ownerVerdictMessage(v), nil)
	}
}

// Admit decides by the local registry whether a request may run now. See quarantine.Registry.Admit
// for the results.
func (c *Client) Admit(k quarantine.Keys) (quarantine.Admission, *quarantine.Ban) {
	return c.local.settings.Quarantine.Admit(k)
}

// Suspected reports whether a request or a part of its prompt is suspected of crashing endpoints.
func (c *Client) Suspected(k quarantine.Keys) bool {
	return c.local.settings.Quarantine.Suspected(k)
}

// BanOf returns the ban in force for a request, or nil.
func (c *Client) BanOf(k quarantine.Keys) *quarantine.Ban {
	return c.local.settings.Quarantine.BanOf(k)
}

// learnVerdict applies a verdict that an owner sent. It answers the suspicion of a part with the last
// answer to a request with it, which may show that the part is not the cause. The caller holds the lock
// of a link, so c.mu must not be taken here.
func (c *Client) learnVerdict(v quarantine.Verdict) {
	registry := c.local.settings.Quarantine
	registry.ApplyVerdict(v)
	if v.State != quarantine.Suspected || !v.Part {
		return
	}
	if answer, ok := registry.LastAnswer(v.Identity); ok {
		go c.reportVerdicts([]quarantine.Verdict{answer})
	}
}

// crashMessages returns the messages that bring an owner up to date: the recent crashes that this
// instance saw, since a new owner counts from zero, and the bans. The caller must hold c.mu.
func (c *Client) crashMessages() []*poolpb.FromEntry {
	now := c.local.settings.Now()
	var out []*poolpb.FromEntry
	registry := c.local.settings.Quarantine
	for _, crash := range c.crashes {
		// Requests that are banned or were cleared are not counted, and neither are banned parts.
		if registry.HasSuspect(crash.Identity) || len(crash.Parts) > 0 {
			out = append(out, crashMessage(crash, now))
		}
	}
	for _, v := range registry.Verdicts() {
		if v.State == quarantine.Banned {
			out = append(out, ownerVerdictMessage(v))
		}
	}
	return out
}
