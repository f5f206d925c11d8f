// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/claim/claimpb"
	"github.com/linkmast/linkmast/internal/steady"
)

// maxAnswerBytes bounds the size of an answer that is kept.
const maxAnswerBytes = 4 << 20

// maxKeptAnswers is the number of answers from which a new one replaces the oldest that has
// ended.
const maxKeptAnswers = 4096

// errRefusedBeforeRun is the outcome of a request that was refused before it ran. Its key
// becomes free for another request.
var errRefusedBeforeRun = errors.New("the request with this key was refused before it ran")

// errNoAnswer is the outcome of a request that failed or whose answer is too large to keep, and
// the error for an answer that is not kept.
var errNoAnswer = errors.New("the answer is not there")

// Attacher fetches answers from other instances.
type Attacher interface {
	// Attach fetches the answer to a request from the instance that runs it or keeps its answer,
	// and writes it to out. It returns nil when the answer is complete.
	Attach(ctx context.Context, instance, request string, out Writer) error
}

// AnswerChunk is a message of the stream in which an instance sends an answer to another.
type AnswerChunk = claimpb.AttachChunk

// Writer receives an answer that is written piece by piece.
type Writer interface {
	// Head sets the status and content type. It is called once, before Write.
	Head(status int, contentType string) error
	// Write takes the next piece of the body. A Writer that sends it does so at once.
	Write(data []byte) error
}

// Answers keeps the answers to requests with an idempotency key, so that a repeated request
// gets the same answer.
type Answers struct {
	claimpb.UnimplementedAnswersServer

	// keep is how long answers are kept after their end.
	keep time.Duration

	mu   sync.Mutex
	kept map[string]*keptAnswer
}

// keptAnswer is an answer that may still be incomplete.
type keptAnswer struct {
	mu          sync.Mutex
	status      int
	contentType string
	data        []byte
	ended       bool
	// outcome is nil if the answer has ended and is complete.
	outcome error
	endedAt time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newAnswers(keep time.Duration) *Answers {
	return &Answers{
		keep: keep,
		kept: make(map[string]*keptAnswer),
	}
}

// open adds an empty answer for a request and removes expired ones.
func (a *Answers) open(request string) *keptAnswer {
	k := &keptAnswer{
		changed: make(chan struct{}),
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(steady.Now())
	a.kept[request] = k
	return k
}

// expire removes the answers that ended more than keep ago, and the oldest ended one if there
// are too many. The caller holds the lock.
func (a *Answers) expire(now time.Time) {
	var oldest string
	var at time.Time
	for id, k := range a.kept {
		k.mu.Lock()
		ended, endedAt := k.ended, k.endedAt
		k.mu.Unlock()
		switch {
		case !ended:
		case now.Sub(endedAt) > a.keep:
			delete(a.kept, id)
		case oldest == "" || endedAt.Before(at):
			oldest, at = id, endedAt
		}
	}
	if len(a.kept) >= maxKeptAnswers {
		delete(a.kept, oldest)
	}
}

// get returns the answer to a request, and false if there is none.
func (a *Answers) get(request string) (*keptAnswer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k, ok := a.kept[request]
	return k, ok
}

// Head implements Writer.
func (k *keptAnswer) Head(status int, contentType string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.status = status
	k.contentType = contentType
	k.notifyChanged()
	return nil
}

// Write implements Writer. If the answer exceeds maxAnswerBytes, repeated requests get only the
// part that was kept, followed by errNoAnswer. Write returns nil even then, because the caller
// of the original request still gets the whole answer.
func (k *keptAnswer) Write(data []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.data)+len(data) > maxAnswerBytes {
		k.close(errNoAnswer)
		return nil
	}
	k.data = append(k.data, data...)
	k.notifyChanged()
	return nil
}

// finish marks the answer as ended; outcome is nil if it is complete.
func (k *keptAnswer) finish(outcome error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.close(outcome)
}

func (k *keptAnswer) close(outcome error) {
	if k.ended {
		return
	}
	k.ended = true
	k.outcome = outcome
	k.endedAt = steady.Now()
	k.notifyChanged()
}

func (k *keptAnswer) notifyChanged() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// copyTo writes the answer from its start to out and follows it until it ends. It returns the
// answer's outcome, or an error of out or ctx.
func (k *keptAnswer) copyTo(ctx context.Context, out Writer) error {
	sent := 0
	headed := false
	for {
		k.mu.Lock()
		status, contentType, data := k.status, k.contentType, k.data
		ended, outcome, changed := k.ended, k.outcome, k.changed
		k.mu.Unlock()
		if status != 0 && !headed {
			if err := out.Head(status, contentType); err != nil {
				return err
			}
			headed = true
		}
		if sent < len(data) {
			if err := out.Write(data[sent:]); err != nil {
				return err
			}
			sent = len(data)
		}
		if ended {
			return outcome
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// CopyTo writes the answer to a request of this instance from its start to out and follows it
// until it ends. It returns an error if the answer is not kept, or incomplete when it ends.
func (a *Answers) CopyTo(ctx context.Context, request string, out Writer) error {
	k, ok := a.get(request)
	if !ok {
		return errNoAnswer
	}
	return k.copyTo(ctx, out)
}

// Attach implements claimpb.AnswersServer.
func (a *Answers) Attach(in *claimpb.AttachRequest, out grpc.ServerStreamingServer[claimpb.AttachChunk]) error {
	err := a.CopyTo(out.Context(), in.Request, &chunkWriter{
		out: out,
	})
	if errors.Is(err, errRefusedBeforeRun) {
		return out.Send(&AnswerChunk{
			GivenUp: true,
		})
	}
	if err != nil {
		return err
	}
	return out.Send(&AnswerChunk{
		End: true,
	})
}

// chunkWriter is a Writer that sends an answer to another instance.
type chunkWriter struct {
	out grpc.ServerStreamingServer[claimpb.AttachChunk]
}

func (p *chunkWriter) Head(status int, contentType string) error {
	return p.out.Send(&AnswerChunk{
		Status:      int32(status),
		ContentType: contentType,
	})
}

func (p *chunkWriter) Write(data []byte) error {
	return p.out.Send(&AnswerChunk{
		Data: data,
	})
}

// Instances provides connections to other instances.
type Instances interface {
	// ConnTo returns the connection to an instance.
	ConnTo(instance string) (*grpc.ClientConn, error)
}

// Remote fetches answers from other instances over gRPC. It implements Attacher.
type Remote struct {
	instances Instances
}

// NewRemote returns a Remote that uses the connections of i.
func NewRemote(i Instances) *Remote {
	return &Remote{
		instances: i,
	}
}

// Attach implements Attacher.
func (r *Remote) Attach(ctx context.Context, instance, request string, out Writer) error {
	conn, err := r.instances.ConnTo(instance)
	if err != nil {
		return err
	}
	stream, err := claimpb.NewAnswersClient(conn).Attach(ctx, &claimpb.AttachRequest{
		Request: request,
	})
	if err != nil {
		return err
	}
	for {
		p, err := stream.Recv()
		switch {
		case err != nil:
			return err
		case p.End:
			return nil
		case p.GivenUp:
			return errRefusedBeforeRun
		case p.Status != 0:
			err = out.Head(int(p.Status), p.ContentType)
		default:
			err = out.Write(p.Data)
		}
		if err != nil {
			return err
		}
	}
}

// callerWriter is a Writer that sends an answer to the caller.
type callerWriter struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	headSent bool
}

// writeTimeout bounds the time that a caller may take to accept a piece of its answer.
const writeTimeout = 30 * time.Second

func newCallerWriter(w http.ResponseWriter) *callerWriter {
	return &callerWriter{
		w:       w,
		control: http.NewResponseController(w),
	}
}

func (c *callerWriter) Head(status int, contentType string) error {
	c.headSent = true
	c.w.Header().Set("Content-Type", contentType)
	c.w.WriteHeader(status)
	return nil
}

func (c *callerWriter) Write(data []byte) error {
	if err := c.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if _, err := c.w.Write(data); err != nil {
		return err
	}
	return c.control.Flush()
}

// teeWriter is a Writer that sends an answer to the caller and keeps it. A failed write to the
// caller is no error.
type teeWriter struct {
	caller     *callerWriter
	kept       *keptAnswer
	callerGone bool
}

func (t *teeWriter) Head(status int, contentType string) error {
	if err := t.kept.Head(status, contentType); err != nil {
		return err
	}
	return t.caller.Head(status, contentType)
}

func (t *teeWriter) Write(data []byte) error {
	if err := t.kept.Write(data); err != nil {
		return err
	}
	if t.callerGone {
		return nil
	}
	if err := t.caller.Write(data); err != nil {
		t.callerGone = true
	}
	return nil
}
