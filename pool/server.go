// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/quarantine"
)

// orphanTimeout is how long the attempts of an entry instance whose session has ended still count
// as running, so that the instance can reconnect.
const orphanTimeout = 2 * time.Second

// Server makes a Scheduler available to other instances, as owner or standby of its pools.
type Server struct {
	poolpb.UnimplementedPoolServer

	scheduler *Scheduler
	// ready is closed once the scheduler knows the endpoints.
	ready <-chan struct{}
	// closing is closed to end all sessions.
	closing <-chan struct{}

	mu sync.Mutex
	// sessions has the newest session of each entry instance by name. orphans has the attempts of
	// sessions that ended, until the instance is back or orphanTimeout has passed.
	sessions map[string]*session
	orphans  map[string][]orphanSet
}

// NewServer returns a server for s. Sessions wait until ready is closed, and end when closing is
// closed.
func NewServer(s *Scheduler, ready, closing <-chan struct{}) *Server {
	return &Server{
		scheduler: s,
		ready:     ready,
		closing:   closing,
		sessions:  make(map[string]*session),
		orphans:   make(map[string][]orphanSet),
	}
}

// session is the owner's end of a session with an entry instance.
type session struct {
	server *Server
	stream grpc.BidiStreamingServer[poolpb.FromEntry, poolpb.FromOwner]
	// entry is the name of the entry instance, and stopMigrations ends the sending of migrations to
	// it. Both are unset until Hello arrives.
	entry          string
	stopMigrations func()
	// process is the process of the entry instance, unset until Hello arrives.
	process process
	// stopNotifying ends the sending of verdicts and notices; nil until Hello arrives.
	stopNotifying func()

	// replaced is closed by replace when the entry instance has opened another session.
	replaced chan struct{}
	replace  func()

	// sending serializes the sends on the stream.
	sending sync.Mutex

	mu sync.Mutex
	// ending is set when the session ends. Hello and placement requests that arrive later are
	// ignored.
	ending bool
	// pending has the functions that cancel the waiting placement requests, by attempt ID.
	pending map[string]context.CancelFunc
	// attempts has the service of each running attempt of the entry instance, by attempt ID; nil
	// once the session has ended.
	attempts map[string]string
	// wait waits for the placements that have been started.
	wait sync.WaitGroup
}

// Session implements poolpb.PoolServer.
func (s *Server) Session(stream grpc.BidiStreamingServer[poolpb.FromEntry, poolpb.FromOwner]) error {
	// When instances start together, others may connect before this one knows the endpoints.
	select {
	case <-s.ready:
	case <-stream.Context().Done():
		return stream.Context().Err()
	case <-s.closing:
		return status.Error(codes.Unavailable, "stopping")
	}
	x := &session{
		server:   s,
		stream:   stream,
		replaced: make(chan struct{}),
		pending:  make(map[string]context.CancelFunc),
		attempts: make(map[string]string),
	}
	x.replace = sync.OnceFunc(func() { close(x.replaced) })
	ctx, cancel := context.WithCancel(stream.Context())
	defer x.end()
	defer cancel()
	received := make(chan error, 1)
	go func() { received <- x.receive(ctx) }()
	select {
	case err := <-received:
		return err
	case <-x.replaced:
		return status.Error(codes.Unavailable, "another session of the entry has begun")
	case <-s.closing:
		return status.Error(codes.Unavailable, "stopping")
	}
}

// end cancels the waiting placement requests and unregisters the session, whose running attempts
// become orphans.
func (x *session) end() {
	x.mu.Lock()
	x.ending = true
	for _, cancel := range x.pending {
		cancel()
	}
	x.mu.Unlock()
	x.wait.Wait()
	x.server.unregisterSession(x)
}

// receive handles the entry instance's messages until the session ends.
func (x *session) receive(ctx context.Context) error {
	for {
		m, err := x.stream.Recv()
		if err != nil {
			return err
		}
		if err := x.handle(ctx, m); err != nil {
			return err
		}
	}
}

// handle processes one message of the entry instance. An error ends the session.
func (x *session) handle(ctx context.Context, m *poolpb.FromEntry) error {
	s := x.server.scheduler
	switch k := m.GetKind().(type) {
	case *poolpb.FromEntry_Hello:
		x.register(k.Hello)
	case *poolpb.FromEntry_Ask:
		x.place(ctx, decodePlacementRequest(k.Ask))
	case *poolpb.FromEntry_Withdraw:
		x.withdraw(k.Withdraw.GetId())
	case *poolpb.FromEntry_Running:
		a := decodePlacementRequest(k.Running.GetAsk())
		if x.addAttempt(a.ID, a.Service) {
			s.adoptFor(a, decodeGrant(k.Running.GetGrant()), x.entry, k.Running.GetBegun())
		}
	case *poolpb.FromEntry_First:
		s.FirstEventFrom(k.First.GetId(), k.First.GetService(), x.entry)
	case *poolpb.FromEntry_End:
		x.removeAttempt(k.End.GetId())
		s.EndFrom(k.End.GetId(), k.End.GetService(), Outcome(k.End.GetOutcome()), k.End.GetCulprit(), x.entry)
	case *poolpb.FromEntry_Suspicion:
		s.ReportSilence(k.Suspicion.GetId(), k.Suspicion.GetService(), microseconds(k.Suspicion.GetSilenceUs()))
	case *poolpb.FromEntry_Crashed:
		s.settings.Quarantine.ReportCrash(quarantine.DecodeCrash(k.Crashed, s.settings.Now()))
	case *poolpb.FromEntry_Verdict:
		s.settings.Quarantine.ApplyVerdict(quarantine.DecodeVerdict(k.Verdict, s.settings.Now()))
	case *poolpb.FromEntry_Notice:
		s.settings.Notices.ApplyNotice(decodeNotice(k.Notice))
	case *poolpb.FromEntry_Decider:
		s.setDecider(x.entry, k.Decider.GetService(), k.Decider.GetInstance())
	case *poolpb.FromEntry_Sends:
		s.applySends(x.entry, k.Sends)
	case *poolpb.FromEntry_Ping:
		if k.Ping.GetSeq() == greetingEnd {
			x.server.endMissingOrphans(x)
		}
		return x.send(&poolpb.FromOwner{
			Kind: &poolpb.FromOwner_Pong{
				Pong: &poolpb.Pong{
					Seq: k.Ping.GetSeq(),
				},
			},
		})
	}
	return nil
}

// send sends a message to the entry instance. It may be called concurrently.
func (x *session) send(m *poolpb.FromOwner) error {
	x.sending.Lock()
	defer x.sending.Unlock()
	return x.stream.Send(m)
}

// addAttempt adds a running attempt. It returns false if the session has ended.
func (x *session) addAttempt(id, service string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.attempts == nil {
		return false
	}
	x.attempts[id] = service
	return true
}

// removeAttempt removes an attempt that has ended.
func (x *session) removeAttempt(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.attempts, id)
}

// withdraw cancels a waiting placement request.
func (x *session) withdraw(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if cancel := x.pending[id]; cancel != nil {
		cancel()
	}
}

// place starts a placement, whose result is sent when the scheduler has decided.
func (x *session) place(ctx context.Context, a PlacementRequest) {
	ctx, cancel := context.WithCancel(ctx)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ending {
		cancel()
		return
	}
	x.pending[a.ID] = cancel
	x.wait.Go(func() {
		defer cancel()
		g, err := x.server.scheduler.placeFor(ctx, a, x.entry, false)
		x.mu.Lock()
		delete(x.pending, a.ID)
		x.mu.Unlock()
		x.reply(a, g, err)
	})
}

// reply sends the result of a placement to the entry instance.
func (x *session) reply(a PlacementRequest, g Grant, err error) {
	var r *Refusal
	switch {
	case err == nil:
		if !x.addAttempt(a.ID, a.Service) {
			x.server.scheduler.EndFrom(a.ID, a.Service, Abandoned, "", x.entry)
			return
		}
		err = x.send(&poolpb.FromOwner{
			Kind: &poolpb.FromOwner_Grant{
				Grant: encodeGrant(a.ID, &g),
			},
		})
	case errors.As(err, &r):
		err = x.send(&poolpb.FromOwner{
			Kind: &poolpb.FromOwner_Refusal{
				Refusal: &poolpb.Refusal{
					Id:      a.ID,
					Reason:  r.Reason,
					AfterUs: r.RetryAfter.Microseconds(),
					Kept:    r.KeepReplaced,
				},
			},
		})
	default:
		// The request was withdrawn, or the session is ending.
		return
	}
	if err != nil {
		x.server.scheduler.log.V(1).Info("answer to an entry instance lost", "entry", x.entry, "attempt", a.ID, "cause", err.Error())
	}
}
