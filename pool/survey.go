// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/quarantine"
)

// maxSurveyed bounds the endpoints that one survey connects to. It is enough to find one of those
// that ended together, unless these are few of many.
const maxSurveyed = 32

// EndedBeside returns the endpoints that have ended since a given time, of the same service as the one
// at the given address: those that checks have excluded since then, and those that were taken for usable
// and accept no connection now. It connects to at most maxSurveyed endpoints.
func (s *Scheduler) EndedBeside(address string, since time.Time) []quarantine.EndedEndpoint {
	ended, usable := s.surveyed(address, since)
	if s.settings.Check == nil {
		return ended
	}
	addresses := make(map[string]string)
	for endpoint, e := range usable {
		addresses[endpoint] = e.Address
	}
	for endpoint := range s.runChecks(addresses) {
		ended = append(ended, usable[endpoint])
	}
	return ended
}

// surveyed returns the endpoints that checks have excluded since a given time, and those to connect to,
// by name.
func (s *Scheduler) surveyed(address string, since time.Time) (ended []quarantine.EndedEndpoint, usable map[string]quarantine.EndedEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Now()
	usable = make(map[string]quarantine.EndedEndpoint)
	for _, p := range s.pools {
		if !p.hasAddress(address) {
			continue
		}
		// The order of a map is random, and so is the choice.
		for _, e := range p.engines {
			h := p.health[e.Instance]
			found := quarantine.EndedEndpoint{
				Address:     e.Address,
				Incarnation: quarantine.IdentifyIncarnation(e.Instance, h.startedAt),
			}
			switch {
			case e.Address == address || !p.acceptsRequests(e):
			case h.absentSince.After(since):
				ended = append(ended, found)
			case h.usable(now) && len(usable) < maxSurveyed:
				usable[e.Instance] = found
			}
		}
		p.checks.checked += len(usable)
	}
	return ended, usable
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
