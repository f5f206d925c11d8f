// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package reach

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/linkmast/linkmast/reach/reachpb"
)

const (
	// maxForwarded bounds the connections that an instance forwards, for its memory and file
	// descriptors.
	maxForwarded = 512
	// maxPeerTimeout bounds a dial for another instance.
	maxPeerTimeout = time.Second
	// proofDelay is how long a dial for another instance may take before this one checks whether
	// it reaches endpoints at all.
	proofDelay = 30 * time.Millisecond
	// proofTimeout bounds that check.
	proofTimeout = 100 * time.Millisecond
	// proofEndpoints is the number of endpoints that it dials to find out. One of them must accept.
	proofEndpoints = 3
)

// Endpoints are the endpoints that an instance forwards to.
type Endpoints interface {
	// Known reports whether an endpoint with the address is known.
	Known(address string) bool
	// Others returns the service of the endpoint at the address, and the addresses of up to n other
	// endpoints of it, in random order.
	Others(address string, n int) (service string, others []string)
}

// Server forwards connections of other instances to endpoints. It implements
// reachpb.ForwardingServer.
type Server struct {
	reachpb.UnimplementedForwardingServer

	dialer    *Dialer
	endpoints Endpoints
	// stopping is closed when the instance begins to stop.
	stopping <-chan struct{}

	proofs proofs
	active atomic.Int64
	// served counts the connections since the start.
	served atomic.Int64
}

// NewServer returns a server that dials by the direct paths of a Dialer. After stopping is closed it
// accepts no further connections.
func NewServer(d *Dialer, e Endpoints, stopping <-chan struct{}) *Server {
	return &Server{
		dialer:    d,
		endpoints: e,
		stopping:  stopping,
	}
}

// Active returns the number of connections that are being forwarded, and Served their number since
// the start.
func (s *Server) Active() int64 {
	return s.active.Load()
}

// Served returns the number of connections that were forwarded since the start.
func (s *Server) Served() int64 {
	return s.served.Load()
}

// Forward implements reachpb.ForwardingServer.
func (s *Server) Forward(stream reachpb.Forwarding_ForwardServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	open, ok := first.GetKind().(*reachpb.ToEndpoint_Open)
	if !ok {
		return status.Error(codes.InvalidArgument, "first message is not open")
	}
	n := s.active.Add(1)
	defer s.active.Add(-1)
	conn, refused := s.open(stream.Context(), open.Open, n)
	if refused != nil {
		return stream.Send(&reachpb.FromEndpoint{
			Kind: &reachpb.FromEndpoint_Refused{
				Refused: refused,
			},
		})
	}
	s.served.Add(1)
	defer func() { _ = conn.Close() }()
	err = stream.Send(&reachpb.FromEndpoint{
		Kind: &reachpb.FromEndpoint_Opened{
			Opened: &reachpb.Opened{
				Load: n,
			},
		},
	})
	if err != nil {
		return err
	}
	return s.copy(stream, conn)
}

// open dials an endpoint, or returns why it doesn't. Active is the number of connections including
// the requested one.
func (s *Server) open(ctx context.Context, o *reachpb.Open, active int64) (net.Conn, *reachpb.Refused) {
	refuse := func(c reachpb.Refused_Cause, detail string) (net.Conn, *reachpb.Refused) {
		return nil, &reachpb.Refused{
			Cause:  c,
			Detail: detail,
		}
	}
	select {
	case <-s.stopping:
		return refuse(reachpb.Refused_UNAVAILABLE, "instance is stopping")
	default:
	}
	if active > maxForwarded {
		return refuse(reachpb.Refused_UNAVAILABLE, "too many forwarded connections")
	}
	if !s.endpoints.Known(o.GetAddress()) {
		return refuse(reachpb.Refused_UNAVAILABLE, "unknown endpoint")
	}
	if !s.dialer.links.allowDirect(o.GetAddress()) {
		return refuse(reachpb.Refused_NO_PATH, "own path is broken")
	}
	timeout := min(time.Duration(o.GetTimeoutMs())*time.Millisecond, maxPeerTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, reaches, err := s.dial(ctx, o.GetAddress())
	switch {
	case err == nil:
		return conn, nil
	case reaches:
		return refuse(reachpb.Refused_UNREACHABLE, err.Error())
	}
	return refuse(reachpb.Refused_NO_PATH, err.Error())
}

// dial dials an endpoint directly. If that fails, reaches reports whether this instance reaches
// others.
func (s *Server) dial(ctx context.Context, address string) (conn net.Conn, reaches bool, err error) {
	direct := s.dialer.dialDirect(ctx, "tcp", address)
	select {
	case r := <-direct:
		if r.err == nil {
			return r.conn, true, nil
		}
		return nil, s.reaches(ctx, address), r.err
	case <-time.After(proofDelay):
	case <-ctx.Done():
	}
	proof := make(chan bool, 1)
	go func() { proof <- s.reaches(ctx, address) }()
	t := &dial{
		direct: direct,
	}
	defer t.discardDirect()
	for {
		select {
		case r := <-t.direct:
			t.direct = nil
			if r.err == nil {
				return r.conn, true, nil
			}
			return nil, reaches || <-proof, r.err
		case reaches = <-proof:
			if !reaches {
				return nil, false, errors.New("no endpoint answers")
			}
			proof = nil
		case <-ctx.Done():
			return nil, reaches, ctx.Err()
		}
	}
}

// reaches reports whether this instance has a direct path to other endpoints of the service to which
// the endpoint at the address belongs. Without others it is assumed to. The answer holds for a while.
func (s *Server) reaches(ctx context.Context, address string) bool {
	service, others := s.endpoints.Others(address, proofEndpoints)
	if len(others) == 0 {
		return true
	}
	if ok, known := s.proofs.get(service, s.dialer.settings.Now()); known {
		return ok
	}
	ok := s.reachesOne(ctx, others)
	s.proofs.set(service, ok, s.dialer.settings.Now())
	return ok
}

// reachesOne reports whether a direct dial to one of the addresses succeeds within proofTimeout.
func (s *Server) reachesOne(ctx context.Context, others []string) bool {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	results := make(chan bool, len(others))
	for _, other := range others {
		go func() {
			r := <-s.dialer.dialDirect(ctx, "tcp", other)
			if r.err == nil {
				_ = r.conn.Close()
			}
			results <- r.err == nil
		}()
	}
	for range others {
		select {
		case ok := <-results:
			if ok {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// proofs remembers for which services this instance has direct paths. The zero value is empty.
type proofs struct {
	mu   sync.Mutex
	last map[string]proof
}

// proof is whether an instance had a direct path to a service at some time.
type proof struct {
	at time.Time
	ok bool
}

// get returns the last proof of a service unless it is older than verdictFor.
func (p *proofs) get(service string, now time.Time) (ok, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.last[service]
	return last.ok, !last.at.IsZero() && now.Sub(last.at) <= verdictFor
}

// set records a proof.
func (p *proofs) set(service string, ok bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		p.last = make(map[string]proof)
	}
	p.last[service] = proof{
		at: now,
		ok: ok,
	}
}

// copy forwards bytes in both directions until one side ends.
func (s *Server) copy(stream reachpb.Forwarding_ForwardServer, conn net.Conn) error {
	go func() {
		// The end of the stream closes the connection, which ends the loop below.
		defer func() { _ = conn.Close() }()
		for {
			m, err := stream.Recv()
			if err != nil {
				return
			}
			if _, err := conn.Write(m.GetData()); err != nil {
				return
			}
		}
	}()
	var sending sync.Mutex
	ended := make(chan struct{})
	defer func() {
		sending.Lock()
		defer sending.Unlock()
		close(ended)
	}()
	go func() {
		select {
		case <-ended:
		case <-s.stopping:
			sending.Lock()
			defer sending.Unlock()
			select {
			case <-ended:
				// A stream must not be used after its handler has returned.
			default:
				// If this fails, the stream has ended.
				_ = stream.Send(&reachpb.FromEndpoint{
					Kind: &reachpb.FromEndpoint_Leaving{
						Leaving: &reachpb.Leaving{},
					},
				})
			}
		}
	}()
	buf := make([]byte, maxFrame)
	for {
		n, err := conn.Read(buf)
		if n > 0 {
			sending.Lock()
			sendErr := stream.Send(&reachpb.FromEndpoint{
				Kind: &reachpb.FromEndpoint_Data{
					Data: buf[:n],
				},
			})
			sending.Unlock()
			if sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return status.Error(codes.Aborted, err.Error())
		}
	}
}

// Wait returns when no connections are forwarded any more, or ctx ends.
func (s *Server) Wait(ctx context.Context) {
	tick := time.NewTicker(waitInterval)
	defer tick.Stop()
	for s.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// waitInterval is the interval at which Wait checks the connections.
const waitInterval = 50 * time.Millisecond
