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

// noEnginesPool is the name under which the instances of a fleet without engines choose who
// counts crashes. No service has it.
const noEnginesPool = ""

// The measures of the crashes that an instance tells a new owner of.
const (
	// maxCrashAge is how old they may be: callers that come back after minutes are no reason
	// to count from the start.
	maxCrashAge = 10 * time.Minute
	// maxKeptCrashes bounds them: those of an instance with some tens of streams that lost most of
	// its engines.
	maxKeptCrashes = 64
)

// pickCommon returns the pool whose owners count the crashes of all services and tell all
// instances what concerns them, so that no further links are needed: the first one with
// engines. The caller holds the lock.
func (c *Client) pickCommon(snap *catalog.Snapshot) string {
	if len(c.ownerOrder) == 0 {
		c.ownerOrder[noEnginesPool] = c.rankOwners(noEnginesPool, snap)
		return noEnginesPool
	}
	return slices.Min(slices.Collect(maps.Keys(c.ownerOrder)))
}

// commonPool names the pool with whose owners all instances have sessions.
func (c *Client) commonPool() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.common
}

// CountsCrashes states whether this instance is the first of those that count crashes.
func (c *Client) CountsCrashes() bool {
	return c.decidingInstance(c.commonPool()) == c.self.ID
}

// ReportCrash reports an attempt whose endpoint has ended.
func (c *Client) ReportCrash(one quarantine.Crash) {
	c.local.settings.Quarantine.ReportCrash(one)
	now := c.local.settings.Now()
	c.mu.Lock()
	c.crashes = slices.DeleteFunc(c.crashes, func(old quarantine.Crash) bool { return now.Sub(old.EndedAt) > maxCrashAge })
	if len(c.crashes) >= maxKeptCrashes {
		c.crashes = slices.Delete(c.crashes, 0, 1)
	}
	c.crashes = append(c.crashes, one)
	c.mu.Unlock()
	c.broadcast(c.commonPool(), crashMessage(one, now), nil)
}

// ReportAnswered notes that a request was answered whole.
func (c *Client) ReportAnswered(id quarantine.Identity) {
	if !c.local.settings.Quarantine.ReportAnswered(id) {
		return
	}
	c.broadcast(c.commonPool(), ownerVerdictMessage(quarantine.Verdict{
		Identity: id,
		State:    quarantine.Cleared,
	}), nil)
}

// Admit gives a request leave to run, as the instance's book does.
func (c *Client) Admit(id quarantine.Identity) (quarantine.Admission, time.Duration, bool) {
	return c.local.settings.Quarantine.Admit(id)
}

// Suspected states whether attempts of an identity have ended with their endpoints of late.
func (c *Client) Suspected(id quarantine.Identity) bool {
	return c.local.settings.Quarantine.Suspected(id)
}

// BanRemaining states whether requests of an identity must not run, and for how much longer.
func (c *Client) BanRemaining(id quarantine.Identity) (time.Duration, bool) {
	return c.local.settings.Quarantine.BanRemaining(id)
}

// learnVerdict takes over a verdict of an owner.
func (c *Client) learnVerdict(v quarantine.Verdict) {
	c.local.settings.Quarantine.ApplyVerdict(v)
}

// crashMessages returns the messages that tell an owner of bans, and of the crashes that this
// instance saw: an owner that is new counts them anew. The caller holds the lock.
func (c *Client) crashMessages() []*poolpb.FromEntry {
	now := c.local.settings.Now()
	var out []*poolpb.FromEntry
	book := c.local.settings.Quarantine
	for _, one := range c.crashes {
		// What is banned or was cleared is counted no more.
		if book.HasSuspect(one.Identity) {
			out = append(out, crashMessage(one, now))
		}
	}
	for _, v := range book.Verdicts() {
		if v.State == quarantine.Banned {
			out = append(out, ownerVerdictMessage(v))
		}
	}
	return out
}
