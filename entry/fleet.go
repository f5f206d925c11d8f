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

// maxSummaryAge is the age above which a summary is ignored and its endpoint counts as
// unknown.
const maxSummaryAge = 3 * time.Second

// fleet holds the candidates for requests, with the latest summaries from their owners.
type fleet struct {
	strategy policy.Strategy
	region   string
	domain   string

	mu        sync.Mutex
	groups    map[string]*group
	positions map[string]position
}

// group holds the endpoints of one model or plain service. updatedAt has the arrival times of
// the candidates' summaries; zero if none has arrived.
type group struct {
	candidates []policy.Candidate
	updatedAt  []time.Time
}

// position locates an endpoint in its group.
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

// otherDomainDelay and otherRegionDelay are the assumed network delays to endpoints in other
// failure domains of the region and in other regions.
const (
	otherDomainDelay = 500 * time.Microsecond
	otherRegionDelay = 50 * time.Millisecond
)

// rebuild applies the configuration and the list of instances. It keeps the summaries of
// endpoints that remain.
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

// carryOver returns the candidate of an endpoint with its latest summary, and the arrival time
// of the summary; zero if none has arrived.
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

// isLeaving reports whether the platform's list of instances has the endpoint at an address in
// a state other than live.
func isLeaving(m *member.View, address string) bool {
	i, ok := m.Endpoint(address)
	return ok && i.State != instances.Live
}

// updateSummaries replaces the summaries of endpoints and resets what was added to them for
// requests since.
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

// choice is a decision with the details to act on it and to log it.
type choice struct {
	policy.Decision
	// endpoint is the id of the chosen endpoint.
	endpoint string
	// usable is the number of endpoints in the group less those that were excluded for this
	// request only.
	usable int
	// estimates holds the estimates of the chosen endpoint and of a few others, for the log.
	estimates []CandidateEstimate
}

// CandidateEstimate is a candidate and its estimate at the time of a decision.
type CandidateEstimate struct {
	// Endpoint is the endpoint's id.
	Endpoint string `json:"endpoint"`
	// EstimateMs is the estimated time to first token, in milliseconds, if no part of the prompt
	// is cached.
	EstimateMs int64 `json:"estimate_ms"`
}

// maxEstimates bounds the number of estimates per decision in the log.
const maxEstimates = 3

// choose picks an endpoint for w from the named group and counts w as pending there. Hit is the
// fraction of the prompt that is expected to be cached. It never picks an endpoint in exclude.
// The Index of the result is -1 if no endpoint is usable.
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

// exclude marks the candidates in endpoints as excluded and returns the indexes of those that
// were not marked before. It also marks candidates whose summary is too old as unknown.
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

// candidateEstimates returns at most maxEstimates estimates: that of the chosen candidate, and
// those of the next ones in cs that may get requests. After the end of cs it continues at the
// start.
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

// memories returns the KV memory of the endpoints of a group that are not excluded, in bytes,
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

// size returns the number of endpoints in a group.
func (f *fleet) size(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.groups[name]
	if g == nil {
		return 0
	}
	return len(g.candidates)
}
