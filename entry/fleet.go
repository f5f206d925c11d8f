// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/member"
	"github.com/linkmast/linkmast/policy"
)

// maxSummaryAge is how old a summary may be before its endpoint counts as
// unknown.
const maxSummaryAge = 3 * time.Second

// fleet is what the entry knows of the endpoints.
type fleet struct {
	strategy policy.Strategy
	region   string
	domain   string

	mu        sync.Mutex
	groups    map[string]*group
	positions map[string]position
}

// group is the endpoints of one model or plain service.
type group struct {
	candidates []policy.Candidate
	updatedAt  []time.Time
}

// position is where an endpoint stands in its group.
type position struct {
	group *group
	index int
}

func newFleet(s policy.Strategy, region, domain string) *fleet {
	return &fleet{
		strategy:  s,
		region:    region,
		domain:    domain,
		groups:    make(map[string]*group),
		positions: make(map[string]position),
	}
}

// otherDomainDelay and otherRegionDelay are the delays that are assumed towards other
// failure domains and regions.
const (
	otherDomainDelay = 500 * time.Microsecond
	otherRegionDelay = 50 * time.Millisecond
)

// rebuild takes over the configuration and the list of instances. What was
// heard of endpoints that stay is kept.
func (f *fleet) rebuild(v *config.View, m *member.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	groups := make(map[string]*group)
	positions := make(map[string]position)
	for i := range v.File.Endpoints {
		e := &v.File.Endpoints[i]
		name := e.Model
		if e.Kind == config.KindPlain {
			name = servicePrefix + e.Service
		}
		g := groups[name]
		if g == nil {
			g = &group{}
			groups[name] = g
		}
		c, updatedAt := f.carryOver(e)
		c.Excluded = isLeaving(m, e.Address)
		c.Delay = f.delay(e.FailureDomain, v.Region(e.FailureDomain))
		positions[e.ID] = position{
			group: g,
			index: len(g.candidates),
		}
		g.candidates = append(g.candidates, c)
		g.updatedAt = append(g.updatedAt, updatedAt)
	}
	f.groups = groups
	f.positions = positions
}

// carryOver returns the candidate of an endpoint with what was heard of it.
func (f *fleet) carryOver(e *config.Endpoint) (policy.Candidate, time.Time) {
	c := policy.Candidate{
		Summary: policy.Summary{
			Endpoint: e.ID,
		},
		Hash: xxhash.Sum64String(e.ID),
	}
	var updatedAt time.Time
	if old, ok := f.positions[e.ID]; ok {
		c = old.group.candidates[old.index]
		updatedAt = old.group.updatedAt[old.index]
	}
	if updatedAt.IsZero() {
		c.Slots = e.MaxRunning
	}
	c.MaxRunning = e.MaxRunning
	c.Rate = e.PrefillTokensPerSecond
	c.Memory = e.MemoryBytes
	return c, updatedAt
}

func (f *fleet) delay(domain, region string) time.Duration {
	switch {
	case domain == f.domain:
		return 0
	case region == f.region:
		return otherDomainDelay
	}
	return otherRegionDelay
}

// isLeaving states whether the platform's list says that the endpoint instance
// at an address is isLeaving.
func isLeaving(m *member.View, address string) bool {
	i, ok := m.Endpoint(address)
	return ok && i.State != instances.Live
}

// updateSummaries takes over summaries.
func (f *fleet) updateSummaries(summaries []policy.Summary, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range summaries {
		s := &summaries[i]
		p, ok := f.positions[s.Endpoint]
		if !ok {
			continue
		}
		c := &p.group.candidates[p.index]
		c.Summary = *s
		c.Known = true
		c.Pending = [policy.Priorities]float32{}
		c.PendingBytes = 0
		c.PendingLeases = 0
		c.Update()
		p.group.updatedAt[p.index] = now
	}
}

// choice is a decision with what is needed to act on it.
type choice struct {
	policy.Decision
	// endpoint is the endpoint's id.
	endpoint string
	// usable is how many candidates there were.
	usable int
	// estimates are the estimates of the first candidates, for the log.
	estimates []CandidateEstimate
}

// CandidateEstimate is a candidate as a decision saw it.
type CandidateEstimate struct {
	// Endpoint is the endpoint's id.
	Endpoint string `json:"endpoint"`
	// EstimateMs is the estimated time to first token in milliseconds.
	EstimateMs int64 `json:"estimate_ms"`
}

// maxEstimates bounds the candidates that a decision line lists.
const maxEstimates = 3

// choose picks an endpoint for work and notes it as pending there. Those in
// skip are left out.
func (f *fleet) choose(name string, w *policy.Work, hit float64, exclude []string, now time.Time) choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.groups[name]
	if g == nil {
		return choice{
			Decision: policy.Decision{
				Index: -1,
			},
		}
	}
	excluded := g.exclude(exclude, now)
	d := policy.Choose(f.strategy, w, hit, g.candidates, now)
	c := choice{
		Decision: d,
		usable:   len(g.candidates) - len(excluded),
	}
	if d.Index >= 0 {
		c.estimates = candidateEstimates(w, d.Index, g.candidates, now)
		chosen := &g.candidates[d.Index]
		c.endpoint = chosen.Endpoint
		if chosen.Rate > 0 {
			p := policy.Priority(w.RankAt(now), w.Class())
			chosen.Pending[p] += float32(float64(w.Prompt) * (1 - hit) / chosen.Rate)
		}
		chosen.PendingBytes += w.Bytes
		chosen.PendingLeases++
		chosen.Update()
	}
	for _, i := range excluded {
		g.candidates[i].Excluded = false
	}
	return c
}

// exclude leaves out what is in skip, and marks as unknown what was not heard of
// for long. It returns what was barred here.
func (g *group) exclude(endpoints []string, now time.Time) []int {
	var excluded []int
	for i := range g.candidates {
		c := &g.candidates[i]
		if c.Known && now.Sub(g.updatedAt[i]) > maxSummaryAge {
			c.Known = false
			c.Summary = policy.Summary{
				Endpoint: c.Endpoint,
				Slots:    c.MaxRunning,
			}
			c.Update()
		}
		if !c.Excluded && slices.Contains(endpoints, c.Endpoint) {
			c.Excluded = true
			excluded = append(excluded, i)
		}
	}
	return excluded
}

// candidateEstimates returns the choice and the next candidates with their estimates.
func candidateEstimates(w *policy.Work, chosen int, cs []policy.Candidate, now time.Time) []CandidateEstimate {
	p := policy.Priority(w.RankAt(now), w.Class())
	out := make([]CandidateEstimate, 0, maxEstimates)
	for k := 0; k < len(cs) && len(out) < maxEstimates; k++ {
		c := &cs[(chosen+k)%len(cs)]
		if c.Excluded || c.Aside {
			continue
		}
		out = append(out, CandidateEstimate{
			Endpoint:   c.Endpoint,
			EstimateMs: policy.Estimate(w, p, 0, c).Milliseconds(),
		})
	}
	return out
}

// memories returns the memories of the endpoints of a group that may get work,
// largest first.
func (f *fleet) memories(name string) []int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.groups[name]
	if g == nil {
		return nil
	}
	var out []int64
	for i := range g.candidates {
		if c := &g.candidates[i]; !c.Excluded {
			out = append(out, c.Memory)
		}
	}
	slices.Sort(out)
	slices.Reverse(out)
	return out
}

// size returns how many endpoints a group has.
func (f *fleet) size(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.groups[name]
	if g == nil {
		return 0
	}
	return len(g.candidates)
}
