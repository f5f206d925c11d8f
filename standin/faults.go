// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package standin

import (
	"strings"
	"time"
)

// Faults are what goes wrong at a stand-in. The zero value is no fault. A
// number counts how many times the fault still strikes; a negative one strikes
// for ever.
type Faults struct {
	// Dead refuses everything, as a process that has gone.
	Dead bool `json:"dead"`
	// CrashOn begins the prompts and bodies that make an endpoint Dead as it begins to run them;
	// empty means none.
	CrashOn string `json:"crash_on"`
	// Frozen answers nothing and makes no progress.
	Frozen bool `json:"frozen"`
	// Slow multiplies every step; zero means one.
	Slow float64 `json:"slow"`
	// RefuseBefore refuses attempts before they start, and says so.
	RefuseBefore int `json:"refuse_before"`
	// RefuseAfter answers 503 to attempts that it has started.
	RefuseAfter int `json:"refuse_after"`
	// LoseAnswer breaks the connection after the effect.
	LoseAnswer int `json:"lose_answer"`
	// CutAfter breaks streams after that many tokens; zero means never.
	CutAfter int `json:"cut_after"`
	// CrossChunks puts chunks of another attempt into answers.
	CrossChunks int `json:"cross_chunks"`
	// DoubleChunks sends chunks twice.
	DoubleChunks int `json:"double_chunks"`
	// DropChunks leaves chunks out.
	DropChunks int `json:"drop_chunks"`
	// DropEnd leaves out the end of answers.
	DropEnd int `json:"drop_end"`
	// LoseCancel ignores cancels, and answers them as if done.
	LoseCancel int `json:"lose_cancel"`
	// EventGap leaves out every so manieth cache event; zero means none.
	EventGap int `json:"event_gap"`
	// Lag is how old lists of instances are.
	Lag time.Duration `json:"lag"`
	// ReadOutage answers the reads of the log with an error.
	ReadOutage bool `json:"read_outage"`
	// Outage answers every call of the platform with an error.
	Outage bool `json:"outage"`
}

// consume uses up one strike of a counted fault. It states whether it strikes.
func consume(n *int) bool {
	switch {
	case *n == 0:
		return false
	case *n > 0:
		*n--
	}
	return true
}

// crashesOn states whether what an endpoint is to run makes it Dead.
func (f *Faults) crashesOn(what string) bool {
	return f.CrashOn != "" && strings.HasPrefix(what, f.CrashOn)
}
