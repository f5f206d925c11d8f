// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"github.com/linkmast/linkmast/standin"
)

// PrefillRate returns the configured prefill rate of all engines together, in
// tokens per second.
func (f *Fleet) PrefillRate() float64 {
	return float64(len(f.Engines)) * f.settings.Engine.PrefillTokensPerSecond
}

// The names of the faults that InjectFault can inject.
const (
	EngineKilled = "engine-killed"
	EngineFrozen = "engine-frozen"
	NodeKilled   = "node-killed"
)

// InjectFault injects the named fault into the first engine or the first node.
// It does nothing for other names.
func (f *Fleet) InjectFault(fault string) {
	switch fault {
	case EngineKilled:
		f.Engines[0].Kill()
	case EngineFrozen:
		f.Engines[0].Engine.SetFaults(standin.Faults{
			Frozen: true,
		})
	case NodeKilled:
		f.Nodes[0].Close()
	}
}

// RepeatedCalls returns the number of calls of the plain service that took effect
// more than once. Calls with equal bodies count as the same call.
func (f *Fleet) RepeatedCalls() int {
	n := 0
	for body, calls := range f.callsByBody() {
		if body != "" && calls > 1 {
			n++
		}
	}
	return n
}

// callsByBody returns how many calls with each body took effect on all endpoints
// together. The keys are the SHA-256 hashes of the bodies in hexadecimal.
func (f *Fleet) callsByBody() map[string]int {
	total := make(map[string]int)
	for _, h := range f.Services {
		for body, n := range h.Service.AllCalls() {
			total[body] += n
		}
	}
	return total
}
