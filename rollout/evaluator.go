// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package rollout

import (
	"bytes"
	"crypto/sha256"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/internal/zdelta"
	"github.com/linkmast/linkmast/logsvc"
	"github.com/linkmast/linkmast/rollout/rolloutpb"
)

// Stream is the name of the log stream that holds the configurations.
const Stream = "config"

// Outcome says whether a record was accepted, and if not, why.
type Outcome string

// The outcomes of records.
const (
	// Accepted is a publication that came into force.
	Accepted Outcome = "accepted"
	// Repeated is a repeat of the generation in force. While the evaluator is not certain which one
	// that is, a repeat of a newer generation than the known one is Repeated as well.
	Repeated Outcome = "repeated"
	// Stale is a repeat of a generation older than the one in force.
	Stale Outcome = "stale"
	// Overtaken is a publication that replaces another generation than the one in force, or a
	// repeat that carries a delta.
	Overtaken Outcome = "overtaken"
	// Invalid is a malformed record, a record without a valid file, or a repeat of a generation
	// that was not accepted.
	Invalid Outcome = "invalid"
	// Unjudged is a record that can't be evaluated because its format is unknown, or because it
	// depends on records that are missing or have an unknown format. In the second case, a
	// publication that isn't a delta may still come into force after the next repeat.
	Unjudged Outcome = "unjudged"
)

// Verdict is the result of evaluating one record.
type Verdict struct {
	// Offset is the record's offset in the stream.
	Offset int64
	// ID names the publication. It is empty if the record is malformed.
	ID string
	// Operator is the name of the publisher.
	Operator string
	// Outcome says whether the record was accepted.
	Outcome Outcome
	// Reason says why the record was not accepted. It is empty for accepted and repeated records.
	Reason string
}

// State is a configuration and its generation.
type State struct {
	// Generation is the offset of the accepted record; zero means none yet.
	Generation int64
	// Text is the configuration file in TOML.
	Text []byte
	// File is the parsed file.
	File *config.File
	// Written is when the file was last written to the log, by the writer's clock.
	Written time.Time
}

// Evaluator evaluates the records of the configuration stream in order. The zero value starts
// before the first record.
type Evaluator struct {
	// InForce is the newest configuration that is known to have been accepted.
	InForce State
	// Next is the offset to read next; zero means from the start.
	Next int64

	// uncertain is true if InForce may be outdated, because a record was missed or has an unknown
	// format.
	uncertain bool
	// pending are publications that were read while uncertain was true. Each of them replaces a
	// particular generation and carries a whole file.
	pending []pending
}

// pending is a publication whose acceptance depends on which generation was in force before it.
type pending struct {
	offset   int64
	replaces int64
	state    State
}

// Certain reports whether InForce is known to be the configuration in force before offset Next.
func (e *Evaluator) Certain() bool {
	return !e.uncertain
}

// Adopt applies the state of a peer: its configuration s, the offset next that it reads next, and
// sure, the result of its Certain. Adopt replaces InForce only if s is newer. It replaces Next and
// the certainty of e only if next is greater than Next, and then drops the pending publications.
func (e *Evaluator) Adopt(s State, next int64, sure bool) {
	if s.Generation > e.InForce.Generation {
		e.InForce = s
	}
	if next > e.Next {
		e.Next = next
		e.uncertain = !sure
		e.pending = nil
	}
}

// Apply evaluates the records of a batch in order, starting with the one at offset Next, and
// returns their verdicts. If the log no longer holds that record, Apply continues with the
// earliest one that it holds.
func (e *Evaluator) Apply(b logsvc.Batch) []Verdict {
	if e.Next == 0 {
		e.Next = 1
	}
	if b.Earliest > e.Next {
		e.uncertain = true
		e.pending = nil
		e.Next = b.Earliest
	}
	var out []Verdict
	for _, r := range b.Records {
		if r.Offset != e.Next {
			continue
		}
		out = append(out, e.evaluate(r))
		e.Next++
	}
	return out
}

// evaluate evaluates the record at offset Next.
func (e *Evaluator) evaluate(r logsvc.Record) Verdict {
	v := Verdict{
		Offset: r.Offset,
	}
	var rec rolloutpb.Record
	if err := proto.Unmarshal(r.Data, &rec); err != nil {
		return v.with(Invalid, "record is malformed")
	}
	v.ID = rec.Id
	v.Operator = rec.Operator
	if rec.Format != config.Format {
		e.uncertain = true
		return v.with(Unjudged, "format is not known to this version")
	}
	var base []byte
	if rec.Delta {
		switch {
		case e.uncertain:
			return v.with(Unjudged, "is a change of a file that is not known for sure")
		case rec.Replaces != e.InForce.Generation || rec.Repeats > 0:
			return v.with(Overtaken, "another generation is in force")
		}
		base = e.InForce.Text
	}
	state, err := decode(&rec, base)
	if err != nil {
		return v.with(Invalid, err.Error())
	}
	if rec.Repeats > 0 {
		return e.evaluateRepeat(v, &rec, state)
	}
	return e.evaluatePublication(v, &rec, state)
}

// with returns v with an outcome and the reason for it.
func (v Verdict) with(o Outcome, reason string) Verdict {
	v.Outcome = o
	v.Reason = reason
	return v
}

// evaluateRepeat evaluates a repeat. A repeat of the generation of InForce updates the time at which
// its file was last written. If the evaluator is uncertain, a repeat of that generation or of a newer
// one becomes InForce, the pending publications are evaluated, and the evaluator is then certain.
func (e *Evaluator) evaluateRepeat(v Verdict, rec *rolloutpb.Record, s State) Verdict {
	switch {
	case rec.Repeats >= v.Offset:
		return v.with(Invalid, "repeats a record that stands behind it")
	case rec.Repeats < e.InForce.Generation:
		return v.with(Stale, "a newer generation is in force")
	case !e.uncertain && rec.Repeats > e.InForce.Generation:
		return v.with(Invalid, "repeats a record that was not accepted")
	}
	s.Generation = rec.Repeats
	e.InForce = s
	if e.uncertain {
		e.resolvePending()
	}
	return v.with(Repeated, "")
}

// resolvePending evaluates the pending publications newer than InForce, after a repeat has set
// InForce.
func (e *Evaluator) resolvePending() {
	waiting := e.pending
	e.pending = nil
	e.uncertain = false
	for _, p := range waiting {
		if p.offset > e.InForce.Generation && p.replaces == e.InForce.Generation {
			e.InForce = p.state
		}
	}
}

// evaluatePublication evaluates a publication whose file is in s. The publication becomes pending if
// it replaces a particular generation and the evaluator is uncertain.
func (e *Evaluator) evaluatePublication(v Verdict, rec *rolloutpb.Record, s State) Verdict {
	s.Generation = v.Offset
	switch {
	case rec.Replaces == 0:
		e.uncertain = false
		e.pending = nil
	case e.uncertain:
		e.pending = append(e.pending, pending{
			offset:   v.Offset,
			replaces: rec.Replaces,
			state:    s,
		})
		return v.with(Unjudged, "depends on records that are no longer kept")
	case rec.Replaces != e.InForce.Generation:
		return v.with(Overtaken, "another generation is in force")
	}
	e.InForce = s
	return v.with(Accepted, "")
}

// decode returns the configuration that a record carries. base is the file that a delta refers to.
func decode(rec *rolloutpb.Record, base []byte) (State, error) {
	text, err := zdelta.Unpack(rec.Body, base)
	if err != nil {
		return State{}, errors.Wrap(err, "unpack")
	}
	return parse(text, rec.Sha256, rec.WrittenMs)
}

// parse checks the SHA-256 hash of a file and parses it. written is in milliseconds since 1970.
func parse(text, sum []byte, written int64) (State, error) {
	if have := sha256.Sum256(text); !bytes.Equal(have[:], sum) {
		return State{}, errors.New("hash does not match")
	}
	f, err := config.Parse(text)
	if err != nil {
		return State{}, err
	}
	return State{
		Text:    text,
		File:    f,
		Written: time.UnixMilli(written),
	}, nil
}
