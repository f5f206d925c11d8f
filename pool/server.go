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

// orphanTimeout is how long the attempts of an entry whose session broke off are
// counted as running: an entry that lives is back by then.
const orphanTimeout = 2 * time.Second

// Server serves a Scheduler to other instances.
type Server struct {
	poolpb.UnimplementedPoolServer

	scheduler *Scheduler
	// ready is closed once the endpoints are ready.
	ready <-chan struct{}
	// closing ends all sessions.
	closing <-chan struct{}

	mu sync.Mutex
	// sessions are the newest ones, by entry, and cut what the ended ones had running.
	sessions map[string]*session
	orphans  map[string][]orphanSet
}

// NewServer returns a server. Sessions begin once known is closed, and end when closing
// is.
func NewServer(s *Scheduler, known, closing <-chan struct{}) *Server {
	return &Server{
		scheduler: s,
		ready:     known,
		closing:   closing,
		sessions:  make(map[string]*session),
		orphans:   make(map[string][]orphanSet),
	}
}

// session is one entry's session at the owner.
type session struct {
	server *Server
	stream grpc.BidiStreamingServer[poolpb.FromEntry, poolpb.FromOwner]
	// entry names the instance at the other end, and stopMoves ends telling it of attempts
	// that are to move; nil until it has said its name.
	entry          string
	stopMigrations func()
	// stopNotifying ends telling it what all instances hear; nil until it has said its name.
	stopNotifying func()

	// replaced is closed, by replace, when another session of the entry has begun.
	replaced chan struct{}
	replace  func()

	// sending guards the stream, which takes one message at a time.
	sending sync.Mutex

	mu sync.Mutex
	// ending states that the session ends: its entry may say its name at that moment.
	ending bool
	// pending are the asks that wait for a place, by attempt, with what ends them.
	pending map[string]context.CancelFunc
	// attempts are what the entry has running, by id with their service.
	attempts map[string]string
	wait     sync.WaitGroup
}

// Session implements poolpb.PoolServer.
func (s *Server) Session(stream grpc.BidiStreamingServer[poolpb.FromEntry, poolpb.FromOwner]) error {
	// Instances that start together come before the endpoints are known.
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

// end waits for what was asked, and forgets what runs unless the entry is back
// in time.
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

// receive takes the entry's messages.
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

// handle takes over a message of the entry. An error ends the session.
func (x *session) handle(ctx context.Context, m *poolpb.FromEntry) error {
	s := x.server.scheduler
	switch k := m.GetKind().(type) {
	case *poolpb.FromEntry_Hello:
		x.register(k.Hello.GetEntry())
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
		s.settings.Quarantine.ApplyVerdict(quarantine.DecodeVerdict(k.Verdict))
	case *poolpb.FromEntry_Notice:
		s.settings.Notices.ApplyNotice(decodeNotice(k.Notice))
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

// send sends the entry a message.
func (x *session) send(m *poolpb.FromOwner) error {
	x.sending.Lock()
	defer x.sending.Unlock()
	return x.stream.Send(m)
}

// addAttempt adds to what the entry has running. It returns false when the session has ended.
func (x *session) addAttempt(id, service string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.attempts == nil {
		return false
	}
	x.attempts[id] = service
	return true
}

// removeAttempt takes from what the entry has running.
func (x *session) removeAttempt(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.attempts, id)
}

// withdraw ends an ask that waits.
func (x *session) withdraw(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if cancel := x.pending[id]; cancel != nil {
		cancel()
	}
}

// place answers an ask as soon as there is a place or a refusal.
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

// reply tells the entry what became of its ask.
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
		// The ask was withdrawn.
		return
	}
	if err != nil {
		x.server.scheduler.log.V(1).Info("answer to an entry lost", "entry", x.entry, "attempt", a.ID, "cause", err.Error())
	}
}
