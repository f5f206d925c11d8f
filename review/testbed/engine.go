// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package testbed

import (
	"time"

	"github.com/linkmast/linkmast/batch"
)

// Events is the number of events in a stream of an engine.
const Events = 60

// EngineModel returns the cost model of the engines, with the figures of the site.
func EngineModel() *batch.Model {
	return &batch.Model{
		Slots:              16,
		Capacity:           232_000,
		StepsPerPass:       43,
		Chunk:              2048,
		Step:               1020 * time.Microsecond,
		PerSequence:        2260 * time.Nanosecond,
		PerThousandContext: 4310 * time.Nanosecond,
		PrefillPerSecond:   206_000,
	}
}
