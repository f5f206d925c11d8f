// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/owner/ownerpb"
	"github.com/linkmast/linkmast/policy"
)

// The units of summaries on the wire.
const (
	backlogUnit = 100 // hundredths of a second
	mebibyte    = 1 << 20
)

// heartbeatInterval is the interval of messages to a queued request. A client gives up on an owner
// after heartbeatTimeout without a message.
const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 3 * heartbeatInterval
)

// Server serves an Owner to other instances.
type Server struct {
	ownerpb.UnimplementedOwnerServer

	owner *Owner
	// closing ends the streams of Watch when it is closed.
	closing <-chan struct{}
}

// NewServer returns a server for an owner. The streams of Watch end when closing is closed.
func NewServer(o *Owner, closing <-chan struct{}) *Server {
	return &Server{
		owner:   o,
		closing: closing,
	}
}

// Acquire implements ownerpb.OwnerServer.
func (s *Server) Acquire(in *ownerpb.AcquireRequest, out grpc.ServerStreamingServer[ownerpb.AcquireUpdate]) error {
	now := steady.Now()
	r := Request{
		Attempt:  in.Attempt,
		Holder:   in.Holder,
		Endpoint: in.Endpoint,
		Work: policy.Work{
			ID:       in.Attempt,
			Customer: in.Customer,
			Rank:     int(in.Rank),
			MaxWait:  time.Duration(in.MaxWaitMs) * time.Millisecond,
			Prompt:   int(in.PromptTokens),
			Output:   int(in.OutputTokens),
			Bytes:    in.Bytes,
			Prefix:   in.Prefix,
			Arrived:  now.Add(-time.Duration(in.AgeMs) * time.Millisecond),
			Deadline: now.Add(time.Duration(in.DeadlineMs) * time.Millisecond),
		},
		Patience: time.Duration(in.PatienceMs) * time.Millisecond,
	}
	done := make(chan *ownerpb.AcquireUpdate, 1)
	estimates := make(chan time.Duration, 1)
	go func() {
		g, err := s.owner.Acquire(out.Context(), r, func(d time.Duration) { estimates <- d })
		done <- update(g, err)
	}()
	return s.awaitOutcome(out, done, estimates, r)
}

// awaitOutcome sends heartbeats until the outcome is known, and then the outcome.
func (s *Server) awaitOutcome(out grpc.ServerStreamingServer[ownerpb.AcquireUpdate], done <-chan *ownerpb.AcquireUpdate, estimates <-chan time.Duration, r Request) error {
	var estimate time.Duration
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case u := <-done:
			if err := out.Send(u); err != nil {
				s.owner.Withdraw(r.Endpoint, r.Attempt)
				return err
			}
			return nil
		case estimate = <-estimates:
		case <-heartbeat.C:
		}
		queued := &ownerpb.AcquireUpdate{
			Update: &ownerpb.AcquireUpdate_Queued{
				Queued: &ownerpb.Queued{
					EstimateMs: msOf(estimate),
				},
			},
		}
		if err := out.Send(queued); err != nil {
			return err
		}
	}
}

// Withdraw ends a lease whose grant could not be delivered.
func (o *Owner) Withdraw(endpoint, attempt string) {
	// Releasing an unknown lease is not an error.
	_ = o.Release(context.Background(), Release{
		Attempt:  attempt,
		Endpoint: endpoint,
		Outcome:  NotStarted,
	})
}

// update returns the message for the outcome of Acquire.
func update(g Grant, err error) *ownerpb.AcquireUpdate {
	if err == nil {
		return &ownerpb.AcquireUpdate{
			Update: &ownerpb.AcquireUpdate_Granted{
				Granted: &ownerpb.Granted{
					Address:       g.Address,
					Instance:      g.Instance,
					Priority:      int32(g.Priority),
					StartWithinMs: msOf(g.StartWithin),
				},
			},
		}
	}
	var r *Refusal
	if !errors.As(err, &r) {
		r = refuse(RefusedNotOwner, err.Error(), 0)
	}
	return &ownerpb.AcquireUpdate{
		Update: &ownerpb.AcquireUpdate_Refused{
			Refused: &ownerpb.Refused{
				Code:         string(r.Code),
				Detail:       r.Detail,
				RetryAfterMs: msOf(r.RetryAfter),
			},
		},
	}
}

// Release implements ownerpb.OwnerServer.
func (s *Server) Release(ctx context.Context, in *ownerpb.ReleaseRequest) (*ownerpb.ReleaseReply, error) {
	err := s.owner.Release(ctx, Release{
		Attempt:  in.Attempt,
		Endpoint: in.Endpoint,
		Outcome:  Outcome(in.Outcome),
		Step:     time.Duration(in.StepUs) * time.Microsecond,
	})
	if err != nil {
		return nil, err
	}
	out := &ownerpb.ReleaseReply{}
	if summaries := s.owner.Summaries(); len(summaries) <= maxPiggyback {
		out.Summaries = Encode(summaries).Summaries
	}
	return out, nil
}

// maxPiggyback bounds the summaries in the reply to a release. If there are more, none are sent.
const maxPiggyback = 32

// Watch implements ownerpb.OwnerServer. It sends unchanged summaries only once per
// unchangedInterval, which tells the watcher that they are still valid.
func (s *Server) Watch(in *ownerpb.WatchRequest, out grpc.ServerStreamingServer[ownerpb.Summaries]) error {
	interval := max(time.Duration(in.IntervalMs)*time.Millisecond, minWatchInterval)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var last *ownerpb.Summaries
	var sent time.Time
	for {
		now := steady.Now()
		next := Encode(s.owner.Summaries())
		if now.Sub(sent) >= unchangedInterval || !proto.Equal(next, last) {
			if err := out.Send(next); err != nil {
				return err
			}
			last, sent = next, now
		}
		select {
		case <-tick.C:
		case <-s.closing:
			return nil
		case <-out.Context().Done():
			return out.Context().Err()
		}
	}
}

// unchangedInterval is the interval of sending unchanged summaries. It is well below the age at
// which entry instances stop using them.
const unchangedInterval = time.Second

// minWatchInterval is the least interval of Watch, also for a watcher that asks for a shorter one.
const minWatchInterval = 20 * time.Millisecond

// Encode returns the message for summaries.
func Encode(summaries []policy.Summary) *ownerpb.Summaries {
	out := &ownerpb.Summaries{
		Summaries: make([]*ownerpb.Summary, 0, len(summaries)),
	}
	for i := range summaries {
		s := &summaries[i]
		m := &ownerpb.Summary{
			Endpoint:    s.Endpoint,
			FreeMib:     s.Free / mebibyte,
			TurnoverMib: uint64(s.Turnover) / mebibyte,
			Slots:       int32(s.Slots),
			Aside:       s.Aside,
		}
		last := 0
		for p, b := range s.Backlog {
			if b > 0 {
				last = p + 1
			}
		}
		for _, b := range s.Backlog[:last] {
			m.Backlog = append(m.Backlog, uint32(b*backlogUnit+0.5))
		}
		out.Summaries = append(out.Summaries, m)
	}
	return out
}

// Decode returns the summaries of a message.
func Decode(in *ownerpb.Summaries) []policy.Summary {
	return decodeAll(in.Summaries)
}

func decodeAll(in []*ownerpb.Summary) []policy.Summary {
	out := make([]policy.Summary, 0, len(in))
	for _, m := range in {
		s := policy.Summary{
			Endpoint: m.Endpoint,
			Free:     m.FreeMib * mebibyte,
			Turnover: float64(m.TurnoverMib) * mebibyte,
			Slots:    int(m.Slots),
			Aside:    m.Aside,
		}
		for p, b := range m.Backlog {
			if p < policy.Priorities {
				s.Backlog[p] = float32(b) / backlogUnit
			}
		}
		out = append(out, s)
	}
	return out
}

// Client calls the owner at another instance. It implements Leaser.
type Client struct {
	rpc         ownerpb.OwnerClient
	onSummaries func([]policy.Summary)
}

// NewClient returns a client that uses a connection. It calls onSummaries with the summaries in
// replies.
func NewClient(conn grpc.ClientConnInterface, onSummaries func([]policy.Summary)) *Client {
	return &Client{
		rpc:         ownerpb.NewOwnerClient(conn),
		onSummaries: onSummaries,
	}
}

// Acquire implements Leaser. It returns a refusal with RefusedSilent if the call fails or the owner
// sends no message for heartbeatTimeout. That time includes suspensions of the host, during which
// timers stop, because a grant that arrives after a suspension may have expired.
func (c *Client) Acquire(ctx context.Context, r Request, queued func(time.Duration)) (Grant, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(heartbeatTimeout, cancel)
	defer watchdog.Stop()
	now := steady.Now()
	stream, err := c.rpc.Acquire(ctx, &ownerpb.AcquireRequest{
		Attempt:      r.Attempt,
		Holder:       r.Holder,
		Endpoint:     r.Endpoint,
		Customer:     r.Work.Customer,
		Rank:         int32(r.Work.Rank),
		MaxWaitMs:    r.Work.MaxWait.Milliseconds(),
		PromptTokens: int64(r.Work.Prompt),
		OutputTokens: int64(r.Work.Output),
		Bytes:        r.Work.Bytes,
		Prefix:       r.Work.Prefix,
		AgeMs:        now.Sub(r.Work.Arrived).Milliseconds(),
		DeadlineMs:   r.Work.Deadline.Sub(now).Milliseconds(),
		PatienceMs:   msOf(r.Patience),
	})
	lastMessage := now
	for err == nil {
		var u *ownerpb.AcquireUpdate
		if u, err = stream.Recv(); err != nil {
			break
		}
		if steady.Since(lastMessage) > heartbeatTimeout {
			err = errSuspended
			break
		}
		lastMessage = steady.Now()
		watchdog.Reset(heartbeatTimeout)
		switch v := u.Update.(type) {
		case *ownerpb.AcquireUpdate_Granted:
			return Grant{
				Address:     v.Granted.Address,
				Instance:    v.Granted.Instance,
				Priority:    int(v.Granted.Priority),
				StartWithin: time.Duration(v.Granted.StartWithinMs) * time.Millisecond,
			}, nil
		case *ownerpb.AcquireUpdate_Refused:
			after := time.Duration(v.Refused.RetryAfterMs) * time.Millisecond
			return Grant{}, refuse(Code(v.Refused.Code), v.Refused.Detail, after)
		case *ownerpb.AcquireUpdate_Queued:
			if queued != nil {
				queued(time.Duration(v.Queued.EstimateMs) * time.Millisecond)
			}
		}
	}
	return Grant{}, refuse(RefusedSilent, err.Error(), 0)
}

// errSuspended means that the host was suspended while a request waited for a lease.
var errSuspended = errors.New("host was suspended while the request waited for a lease")

// Release implements Leaser.
func (c *Client) Release(ctx context.Context, r Release) error {
	reply, err := c.rpc.Release(ctx, &ownerpb.ReleaseRequest{
		Attempt:  r.Attempt,
		Endpoint: r.Endpoint,
		Outcome:  string(r.Outcome),
		StepUs:   r.Step.Microseconds(),
	})
	if err != nil {
		return err
	}
	c.onSummaries(decodeAll(reply.Summaries))
	return nil
}
