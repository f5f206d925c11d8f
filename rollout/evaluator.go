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

// Stream is the name of the configuration's stream.
const Stream = "config"

// Outcome is what became of a record.
type Outcome string

// The outcomes of records.
const (
	// Accepted records are in force until a newer one is.
	Accepted Outcome = "accepted"
	// Repeated records carry a generation that was accepted before.
	Repeated Outcome = "repeated"
	// Stale records repeat a generation that is no longer in force.
	Stale Outcome = "stale"
	// Overtaken records replace a generation that was not in force.
	Overtaken Outcome = "overtaken"
	// Invalid records hold no valid file.
	Invalid Outcome = "invalid"
	// Unjudged records depend on records that are no longer kept, or have a
	// format that this version does not know.
	Unjudged Outcome = "unjudged"
)

// Verdict is the outcome of one record.
type Verdict struct {
	// Offset is the record's place.
	Offset int64
	// ID names the publication.
	ID string
	// Operator is who published.
	Operator string
	// Outcome is what became of the record.
	Outcome Outcome
	// Reason explains a refusal.
	Reason string
}

// State is the configuration in force.
type State struct {
	// Generation is the offset of the accepted record; zero means none yet.
	Generation int64
	// Text is the file.
	Text []byte
	// File is the file as read.
	File *config.File
	// Written is when the file was last written to the log.
	Written time.Time
}

// Evaluator follows the configuration's stream. The zero value starts before the
// first record.
type Evaluator struct {
	// InForce is the configuration in force.
	InForce State
	// Next is the offset to read next; zero means from the start.
	Next int64

	// uncertain is true when records were missed.
	uncertain bool
	// pending are publications that depend on missed records.
	pending []pending
}

// pending is a publication that can't be judged yet.
type pending struct {
	offset   int64
	replaces int64
	state    State
}

// Certain states whether every record up to Next was judged.
func (e *Evaluator) Certain() bool {
	return !e.uncertain
}

// Adopt takes over what a peer has judged up to an offset.
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

// Apply judges the records of a batch that are due, in order.
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

// evaluate judges evaluate record.
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

func (v Verdict) with(o Outcome, reason string) Verdict {
	v.Outcome = o
	v.Reason = reason
	return v
}

// evaluateRepeat judges a record that carries an accepted generation.
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

// resolvePending judges what had to wait for a record that names the generation in
// force.
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

// evaluatePublication judges a new file.
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

// decode reads the file of a record; base is the file that a delta is against.
func decode(rec *rolloutpb.Record, base []byte) (State, error) {
	text, err := zdelta.Unpack(rec.Body, base)
	if err != nil {
		return State{}, errors.Wrap(err, "unpack")
	}
	return parse(text, rec.Sha256, rec.WrittenMs)
}

// parse checks the hash and reads the file.
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
