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

// forgetAfter is how long the attempts of an entry whose session broke off are
// counted as running: an entry that lives is back by then.
const forgetAfter = 2 * time.Second

// Server serves a Scheduler to other instances.
type Server struct {
	poolpb.UnimplementedPoolServer

	scheduler *Scheduler
	// known is closed once the endpoints are known.
	known <-chan struct{}
	// closing ends all sessions.
	closing <-chan struct{}

	mu sync.Mutex
	// sessions are the newest ones, by entry, and cut what the ended ones had running.
	sessions map[string]*session
	cut      map[string][]cutSession
}

// NewServer returns a server. Sessions begin once known is closed, and end when closing
// is.
func NewServer(s *Scheduler, known, closing <-chan struct{}) *Server {
	return &Server{
		scheduler: s,
		known:     known,
		closing:   closing,
		sessions:  make(map[string]*session),
		cut:       make(map[string][]cutSession),
	}
}

// session is one entry's session at the owner.
type session struct {
	server *Server
	stream grpc.BidiStreamingServer[poolpb.FromEntry, poolpb.FromOwner]
	// entry names the instance at the other end, and stopMoves ends telling it of attempts
	// that are to move; nil until it has said its name.
	entry     string
	stopMoves func()
	// stopTelling ends telling it what all instances hear; nil until it has said its name.
	stopTelling func()

	// replaced is closed, by replace, when another session of the entry has begun.
	replaced chan struct{}
	replace  func()

	// sending guards the stream, which takes one message at a time.
	sending sync.Mutex

	mu sync.Mutex
	// over states that the session ends: its entry may say its name at that moment.
	over bool
	// asked are the asks that wait for a place, by attempt, with what ends them.
	asked map[string]context.CancelFunc
	// attempts are what the entry has running, by id with their service.
	attempts map[string]string
	wait     sync.WaitGroup
}

// Session implements poolpb.PoolServer.
func (s *Server) Session(stream grpc.BidiStreamingServer[poolpb.FromEntry, poolpb.FromOwner]) error {
	// Instances that start together come before the endpoints are known.
	select {
	case <-s.known:
	case <-stream.Context().Done():
		return stream.Context().Err()
	case <-s.closing:
		return status.Error(codes.Unavailable, "stopping")
	}
	x := &session{
		server:   s,
		stream:   stream,
		replaced: make(chan struct{}),
		asked:    make(map[string]context.CancelFunc),
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
	x.over = true
	for _, cancel := range x.asked {
		cancel()
	}
	x.mu.Unlock()
	x.wait.Wait()
	x.server.ended(x)
}

// receive takes the entry's messages.
func (x *session) receive(ctx context.Context) error {
	for {
		m, err := x.stream.Recv()
		if err != nil {
			return err
		}
		if err := x.take(ctx, m); err != nil {
			return err
		}
	}
}

// take takes over a message of the entry. An error ends the session.
func (x *session) take(ctx context.Context, m *poolpb.FromEntry) error {
	s := x.server.scheduler
	switch k := m.GetKind().(type) {
	case *poolpb.FromEntry_Hello:
		x.begin(k.Hello.GetEntry())
	case *poolpb.FromEntry_Ask:
		x.place(ctx, decodeAsk(k.Ask))
	case *poolpb.FromEntry_Withdraw:
		x.withdraw(k.Withdraw.GetId())
	case *poolpb.FromEntry_Running:
		a := decodeAsk(k.Running.GetAsk())
		if x.note(a.ID, a.Service) {
			s.adoptFor(a, decodeGrant(k.Running.GetGrant()), x.entry, k.Running.GetBegun())
		}
	case *poolpb.FromEntry_First:
		s.FirstEventFrom(k.First.GetId(), k.First.GetService(), x.entry)
	case *poolpb.FromEntry_End:
		x.drop(k.End.GetId())
		s.EndFrom(k.End.GetId(), k.End.GetService(), Outcome(k.End.GetOutcome()), k.End.GetCulprit(), x.entry)
	case *poolpb.FromEntry_Suspicion:
		s.Suspect(k.Suspicion.GetId(), k.Suspicion.GetService(), microseconds(k.Suspicion.GetSilenceUs()))
	case *poolpb.FromEntry_Crashed:
		s.settings.Quarantine.ReportCrash(quarantine.DecodeCrash(k.Crashed, s.settings.Now()))
	case *poolpb.FromEntry_Verdict:
		s.settings.Quarantine.ApplyVerdict(quarantine.DecodeVerdict(k.Verdict))
	case *poolpb.FromEntry_Notice:
		s.settings.Notices.ApplyNotice(decodeNotice(k.Notice))
	case *poolpb.FromEntry_Ping:
		if k.Ping.GetSeq() == greetingEnd {
			x.server.greeted(x)
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

// note adds to what the entry has running. It returns false when the session has ended.
func (x *session) note(id, service string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.attempts == nil {
		return false
	}
	x.attempts[id] = service
	return true
}

// drop takes from what the entry has running.
func (x *session) drop(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.attempts, id)
}

// withdraw ends an ask that waits.
func (x *session) withdraw(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if cancel := x.asked[id]; cancel != nil {
		cancel()
	}
}

// place answers an ask as soon as there is a place or a refusal.
func (x *session) place(ctx context.Context, a Ask) {
	ctx, cancel := context.WithCancel(ctx)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over {
		cancel()
		return
	}
	x.asked[a.ID] = cancel
	x.wait.Go(func() {
		defer cancel()
		g, err := x.server.scheduler.placeFor(ctx, a, x.entry, false)
		x.mu.Lock()
		delete(x.asked, a.ID)
		x.mu.Unlock()
		x.reply(a, g, err)
	})
}

// reply tells the entry what became of its ask.
func (x *session) reply(a Ask, g Grant, err error) {
	var r *Refusal
	switch {
	case err == nil:
		if !x.note(a.ID, a.Service) {
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
					AfterUs: r.After.Microseconds(),
					Kept:    r.Kept,
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
