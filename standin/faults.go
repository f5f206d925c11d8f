// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package standin

import (
	"strings"
	"time"
)

// Faults configures the faults of a stand-in. The zero value means no faults. An int field
// other than CutAfter and EventGap counts how many more times the fault occurs; a negative
// count never runs out.
type Faults struct {
	// Dead makes an Engine or a Service refuse everything new, as if its process had ended. An
	// Engine also breaks its streams. Other stand-ins ignore it.
	Dead bool `json:"dead"`
	// CrashOn is the prefix of the prompts and bodies that make an endpoint Dead when it
	// starts to process them; empty means none.
	CrashOn string `json:"crash_on"`
	// Frozen makes an Engine stop responding and making progress, and makes new calls and probes
	// of a Service wait. Other stand-ins ignore it.
	Frozen bool `json:"frozen"`
	// Slowdown is the factor by which the duration of every step of an Engine is multiplied; zero
	// counts as one.
	Slowdown float64 `json:"slow"`
	// RefuseBefore refuses attempts and calls before they start, with an error that says so. It
	// also refuses reservations, as if the memory were taken.
	RefuseBefore int `json:"refuse_before"`
	// RefuseAfter refuses attempts and calls after they have started.
	RefuseAfter int `json:"refuse_after"`
	// LoseAnswer breaks the connection after an attempt, reservation, order, call or append took
	// effect.
	LoseAnswer int `json:"lose_answer"`
	// CutAfter breaks streams after this number of chunks; zero means never.
	CutAfter int `json:"cut_after"`
	// CrossChunks inserts a chunk with the ID of another attempt.
	CrossChunks int `json:"cross_chunks"`
	// DoubleChunks sends a chunk twice.
	DoubleChunks int `json:"double_chunks"`
	// DropChunks omits a chunk.
	DropChunks int `json:"drop_chunks"`
	// DropEnd omits the final chunk of an answer.
	DropEnd int `json:"drop_end"`
	// LoseCancel makes an Engine ignore a cancellation and report success.
	LoseCancel int `json:"lose_cancel"`
	// EventGap omits the cache events whose sequence number is a multiple of it; zero means
	// none.
	EventGap int `json:"event_gap"`
	// Lag is the age of the lists of instances that are returned.
	Lag time.Duration `json:"lag"`
	// ReadOutage makes reads of the log fail.
	ReadOutage bool `json:"read_outage"`
	// Outage makes every operation of a Log, of Instances and of Weights fail.
	Outage bool `json:"outage"`
}

// consume reports whether a counted fault occurs now, and decrements a positive count.
func consume(n *int) bool {
	switch {
	case *n == 0:
		return false
	case *n > 0:
		*n--
	}
	return true
}

// crashesOn reports whether a prompt or body crashes the endpoint.
func (f *Faults) crashesOn(what string) bool {
	return f.CrashOn != "" && strings.HasPrefix(what, f.CrashOn)
}
