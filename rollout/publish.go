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

// Publication is a file on its way into the log.
type Publication struct {
	// ID names the publication; it must be unique.
	ID string
	// Operator is who publishes.
	Operator string
	// Replaces is the generation that must be in force; zero for whichever.
	Replaces int64
	// Text is the file.
	Text []byte
	// Base is the file of generation Replaces, if it is at hand. The record is
	// then a delta, so that readers of the log need not receive a whole file
	// for a small change.
	Base []byte
}

// rereadDelay is how long to wait before reading again when the effect of an
// append is unknown.
const rereadDelay = 200 * time.Millisecond

// Publish checks a file, appends it, and returns its verdict. An answer that
// was lost is settled by reading; when that fails too, the error says that the
// outcome is unknown, and Find tells later.
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

// Find reads the stream and returns the verdict on a publication.
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

// Replay judges the whole stream as it is kept now.
func Replay(ctx context.Context, log logsvc.Log) (*Evaluator, []Verdict, error) {
	j := &Evaluator{}
	var all []Verdict
	for {
		b, err := log.Read(ctx, Stream, max(j.Next, 1), 0)
		if err != nil {
			return nil, nil, err
		}
		all = append(all, j.Apply(b)...)
		if j.Next >= b.Next {
			return j, all, nil
		}
	}
}

// encode returns a record that carries text, as a delta against base if there
// is one.
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
