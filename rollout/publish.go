// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package rollout

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/internal/zdelta"
	"github.com/linkmast/linkmast/logsvc"
	"github.com/linkmast/linkmast/rollout/rolloutpb"
)

// Publication is a configuration file to be published.
type Publication struct {
	// ID names the publication. It must be unique.
	ID string
	// Operator is the name of the publisher.
	Operator string
	// Replaces is the generation that must be in force for the publication to be accepted. Zero
	// means any generation.
	Replaces int64
	// Text is the configuration file in TOML.
	Text []byte
	// Base is the file of generation Replaces. It may be empty. If it is set, the record is a
	// delta against it, so that readers of the log need not receive a whole file for a small
	// change.
	Base []byte
}

// rereadDelay is the delay before the log is read again after a failed read.
const rereadDelay = 200 * time.Millisecond

// Publish checks a file, appends it to the log, and then reads the verdict from the log. It also
// looks for the verdict if the answer to the append was lost.
//
// An error that starts with "not published" means that the append failed, or that its answer was
// lost and the log doesn't hold the record. An error that starts with "outcome unknown" means that
// the reads failed until ctx ended, or that the append succeeded but the log doesn't hold the
// record. After failed reads, Find can look up the verdict later.
func Publish(ctx context.Context, log logsvc.Log, p Publication) (Verdict, error) {
	if _, err := config.Parse(p.Text); err != nil {
		return Verdict{}, err
	}
	data, err := encode(p.Text, p.Base, &rolloutpb.Record{
		Id:       p.ID,
		Operator: p.Operator,
		Replaces: p.Replaces,
		Delta:    len(p.Base) > 0,
	})
	if err != nil {
		return Verdict{}, err
	}
	_, err = log.Append(ctx, Stream, [][]byte{data})
	if err != nil && !logsvc.IsUnknown(err) {
		return Verdict{}, errors.Wrap(err, "not published")
	}
	lost := err != nil
	for {
		v, found, err := Find(ctx, log, p.ID)
		switch {
		case err == nil && found:
			return v, nil
		case err == nil && lost:
			return Verdict{}, errors.New("not published: the append was lost")
		case err == nil:
			return Verdict{}, errors.New("outcome unknown: the record is not in the log")
		}
		select {
		case <-ctx.Done():
			return Verdict{}, errors.Wrap(err, "outcome unknown, look up publication "+p.ID)
		case <-time.After(rereadDelay):
		}
	}
}

// Find reads the stream and returns the verdict on the publication with an ID, or false if the log
// holds no such publication.
func Find(ctx context.Context, log logsvc.Log, id string) (Verdict, bool, error) {
	_, verdicts, err := Replay(ctx, log)
	if err != nil {
		return Verdict{}, false, err
	}
	for _, v := range verdicts {
		if v.ID == id {
			return v, true, nil
		}
	}
	return Verdict{}, false, nil
}

// Replay evaluates all records that the log still holds. It returns the evaluator after the last
// record and all verdicts in order.
func Replay(ctx context.Context, log logsvc.Log) (*Evaluator, []Verdict, error) {
	e := &Evaluator{}
	var all []Verdict
	for {
		b, err := log.Read(ctx, Stream, max(e.Next, 1), 0)
		if err != nil {
			return nil, nil, err
		}
		all = append(all, e.Apply(b)...)
		if e.Next >= b.Next {
			return e, all, nil
		}
	}
}

// encode sets the format, hash, body and time of a record that carries text, and returns it
// marshalled. The body is a delta against base unless base is empty. The caller sets rec.Delta.
func encode(text, base []byte, rec *rolloutpb.Record) ([]byte, error) {
	body, err := zdelta.Pack(text, base)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(text)
	rec.Format = config.Format
	rec.Sha256 = sum[:]
	rec.Body = body
	rec.WrittenMs = time.Now().UnixMilli()
	data, err := proto.Marshal(rec)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	return data, nil
}
