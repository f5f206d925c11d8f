// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"github.com/linkmast/linkmast/standin"
)

// Capacity returns the prefill rate of all engines, in tokens a second.
func (f *Fleet) Capacity() float64 {
	return float64(len(f.Engines)) * f.settings.Engine.PrefillTokensPerSecond
}

// The faults that Strike knows.
const (
	EngineKilled = "engine-killed"
	EngineFrozen = "engine-frozen"
	NodeKilled   = "node-killed"
)

// Strike brings about a fault at the first engine or node. Any other name is
// no fault.
func (f *Fleet) Strike(fault string) {
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

// Doubled returns how many calls of plain services took effect more than once.
func (f *Fleet) Doubled() int {
	n := 0
	for body, calls := range f.calls() {
		if body != "" && calls > 1 {
			n++
		}
	}
	return n
}

// calls returns how often each body took effect at all endpoints together.
func (f *Fleet) calls() map[string]int {
	total := make(map[string]int)
	for _, h := range f.Services {
		for body, n := range h.Service.AllCalls() {
			total[body] += n
		}
	}
	return total
}
