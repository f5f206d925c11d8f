// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package reach

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/connectivity"

	"github.com/linkmast/linkmast/reach/reachpb"
)

// Parameters of requests for forwarded connections.
const (
	// maxPeersAsked is the number of instances that one dial asks.
	maxPeersAsked = 4
	// askDelay is how long an instance may take to answer before the next one is asked as well. One
	// that reaches the endpoint answers after two round trips.
	askDelay = 40 * time.Millisecond
)

// verdict is what the asked instances say about an endpoint that they didn't connect to.
type verdict int

const (
	// unknown means that none of them answered, or none could say.
	unknown verdict = iota
	// noPath means that those that answered reach no endpoint of the service.
	noPath
	// unreachable means that one of them reaches others of the service but not this one.
	unreachable
)

// forwardResult is the result of a dial through other instances.
type forwardResult struct {
	conn net.Conn
	// peer is the instance that forwards the connection.
	peer Peer
	// verdict and err are set if there is no connection.
	verdict verdict
	err     error
}

// errNobody is the error of a forwarded dial without an instance to ask.
var errNobody = errors.New("no other instance is known")

// forward dials through other instances until one connects or maxPeersAsked have been asked. The
// verdict is that of the one that knows most, as several may be cut off together. It asks none if
// their last answer still holds. The channel receives the result.
func (d *Dialer) forward(ctx context.Context, address string) chan forwardResult {
	out := make(chan forwardResult, 1)
	if r, ok := d.peers.recent(address); ok {
		out <- r
		return out
	}
	go func() {
		r := d.askPeers(ctx, address)
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.peers.concluded(address, d.parts.ServiceOf(address), r)
		}
		out <- r
	}()
	return out
}

// askPeers implements forward.
func (d *Dialer) askPeers(ctx context.Context, address string) forwardResult {
	peers := d.peers.choose(d.parts.Peers(), maxPeersAsked)
	answers := make(chan forwardResult, len(peers))
	// A connection that was opened doesn't end with this context.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	final := forwardResult{
		err: errNobody,
	}
	asked, pending := 0, 0
	began := d.settings.Now()
	defer func() {
		// Connections that come too late are closed.
		go func(n int) {
			for range n {
				if r := <-answers; r.err == nil {
					_ = r.conn.Close()
				}
			}
		}(pending)
	}()
	next := time.NewTimer(0)
	defer next.Stop()
	for asked < len(peers) || pending > 0 {
		select {
		case <-ctx.Done():
			final.err = ctx.Err()
			if d.settings.Now().Sub(began) >= peerDialTimeout && d.connectedToAny(peers[:asked]) {
				// They had the time to find out, so their own paths are broken or slow.
				final.verdict = noPath
			}
			return final
		case <-next.C:
			switch {
			case asked < len(peers):
				p := peers[asked]
				go func() { answers <- d.ask(ctx, p, address) }()
				asked++
				pending++
				next.Reset(askDelay)
			case final.verdict == unreachable:
				return final
			}
		case r := <-answers:
			pending--
			d.peers.record(r)
			if r.err == nil {
				final = r
				return final
			}
			if r.verdict >= final.verdict {
				final = r
			}
			if asked < len(peers) {
				next.Reset(0)
			} else {
				next.Reset(askDelay)
			}
		}
	}
	return final
}

// connectedToAny reports whether there is an open connection to one of the instances.
func (d *Dialer) connectedToAny(peers []Peer) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool {
		g, err := d.parts.Connector.Conn(p.Address)
		return err == nil && g.GetState() == connectivity.Ready
	})
}

// ask requests a connection from one instance.
func (d *Dialer) ask(ctx context.Context, p Peer, address string) forwardResult {
	fail := func(v verdict, err error) forwardResult {
		return forwardResult{
			peer:    p,
			verdict: v,
			err:     errors.Wrap(err, "through "+p.ID),
		}
	}
	g, err := d.parts.Connector.Conn(p.Address)
	if err != nil {
		return fail(unknown, err)
	}
	// The connection outlives the dial.
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	stream, err := reachpb.NewForwardingClient(g).Forward(life)
	if err != nil {
		cancel()
		return fail(unknown, err)
	}
	opened, err := openForwarded(stream, address)
	if err != nil {
		cancel()
		var refused *refusedError
		if errors.As(err, &refused) {
			return fail(refused.verdict, err)
		}
		return fail(unknown, err)
	}
	if !stop() {
		cancel()
		return fail(unknown, ctx.Err())
	}
	d.peers.opened(p.ID, opened.GetLoad())
	return forwardResult{
		peer: p,
		conn: d.newForwarded(stream, cancel, p, address),
	}
}

// refusedError is an instance's refusal to connect to an endpoint.
type refusedError struct {
	verdict verdict
	detail  string
}

// Error implements error.
func (e *refusedError) Error() string {
	return e.detail
}

// openForwarded requests the connection on a new stream.
func openForwarded(s reachpb.Forwarding_ForwardClient, address string) (*reachpb.Opened, error) {
	err := s.Send(&reachpb.ToEndpoint{
		Kind: &reachpb.ToEndpoint_Open{
			Open: &reachpb.Open{
				Address:   address,
				TimeoutMs: peerDialTimeout.Milliseconds(),
			},
		},
	})
	if err != nil {
		return nil, err
	}
	m, err := s.Recv()
	if err != nil {
		return nil, err
	}
	switch k := m.GetKind().(type) {
	case *reachpb.FromEndpoint_Opened:
		return k.Opened, nil
	case *reachpb.FromEndpoint_Refused:
		return nil, &refusedError{
			verdict: verdictOf(k.Refused.GetCause()),
			detail:  k.Refused.GetDetail(),
		}
	}
	return nil, errors.New("unexpected first message")
}

// peerDialTimeout is the time that another instance has to connect to an endpoint.
const peerDialTimeout = 250 * time.Millisecond

// verdictOf decodes the cause of a refusal.
func verdictOf(c reachpb.Refused_Cause) verdict {
	switch c {
	case reachpb.Refused_UNREACHABLE:
		return unreachable
	case reachpb.Refused_NO_PATH:
		return noPath
	case reachpb.Refused_UNAVAILABLE:
	}
	return unknown
}
