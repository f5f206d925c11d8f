// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"
)

// maxSurveyed bounds the endpoints that one survey connects to. It is enough to find one of those
// that ended together, unless these are few of many.
const maxSurveyed = 32

// EndedBeside returns the addresses of endpoints that have ended since a given time, of the same
// service as the one at the given address: those that checks have excluded since then, and those that
// were taken for usable and accept no connection now. It connects to at most maxSurveyed endpoints.
func (s *Scheduler) EndedBeside(address string, since time.Time) []string {
	ended, addresses := s.surveyed(address, since)
	if s.settings.Check == nil {
		return ended
	}
	for endpoint := range s.runChecks(addresses) {
		ended = append(ended, addresses[endpoint])
	}
	return ended
}

// surveyed returns the addresses of the endpoints that checks have excluded since a given time, and
// those to connect to, by name.
func (s *Scheduler) surveyed(address string, since time.Time) (ended []string, addresses map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Now()
	addresses = make(map[string]string)
	for _, p := range s.pools {
		if !p.hasAddress(address) {
			continue
		}
		// The order of a map is random, and so is the choice.
		for _, e := range p.engines {
			h := p.health[e.Instance]
			switch {
			case e.Address == address || !p.acceptsRequests(e):
			case h.absentSince.After(since):
				ended = append(ended, e.Address)
			case h.usable(now) && len(addresses) < maxSurveyed:
				addresses[e.Instance] = e.Address
			}
		}
		p.checks.checked += len(addresses)
	}
	return ended, addresses
}

// hasAddress reports whether one of the endpoints has the address.
func (p *poolState) hasAddress(address string) bool {
	for _, e := range p.list {
		if e.Address == address {
			return true
		}
	}
	return false
}
