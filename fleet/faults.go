// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"github.com/linkmast/linkmast/standin"
)

// PrefillRate returns the prefill rate of all engines, in tokens a second.
func (f *Fleet) PrefillRate() float64 {
	return float64(len(f.Engines)) * f.settings.Engine.PrefillTokensPerSecond
}

// The faults that Strike knows.
const (
	EngineKilled = "engine-killed"
	EngineFrozen = "engine-frozen"
	NodeKilled   = "node-killed"
)

// InjectFault brings about a fault at the first engine or node. Any other name is
// no fault.
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

// RepeatedCalls returns how many calls of plain services took effect more than once.
func (f *Fleet) RepeatedCalls() int {
	n := 0
	for body, calls := range f.callsByBody() {
		if body != "" && calls > 1 {
			n++
		}
	}
	return n
}

// callsByBody returns how often each body took effect at all endpoints together.
func (f *Fleet) callsByBody() map[string]int {
	total := make(map[string]int)
	for _, h := range f.Services {
		for body, n := range h.Service.AllCalls() {
			total[body] += n
		}
	}
	return total
}
