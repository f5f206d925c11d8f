// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package claim

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/claim/claimpb"
)

// Service writes claims. It is this instance's Writer, or a Client of another instance's.
type Service interface {
	// Claim writes a claim and returns the claim that holds its key.
	Claim(ctx context.Context, c Claim) (Claim, error)
	// Free frees a claim whose request has not been dispatched and never will be.
	Free(ctx context.Context, c Claim) error
}

// Route returns the services that may write to a partition, the preferred one first.
type Route func(partition int) []Service

// freeRetryInterval is the interval of attempts to free abandoned claims.
const freeRetryInterval = time.Second

// writerTimeout bounds a call to claim a key at one writer, so that time remains for another one.
const writerTimeout = 1200 * time.Millisecond

// freeTimeout bounds one attempt to free a claim, including all writers that it tries.
const freeTimeout = 3 * time.Second

// Claimer claims keys for the requests of an instance, and frees abandoned claims. Close must be
// called to stop it.
type Claimer struct {
	// Done is closed when the claimer has stopped.
	Done chan struct{}

	route  Route
	cancel context.CancelFunc

	mu     sync.Mutex
	toFree map[string]Claim
}

// NewClaimer starts a claimer, which Close stops.
func NewClaimer(route Route) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claimer{
		Done:   make(chan struct{}),
		route:  route,
		cancel: cancel,
		toFree: make(map[string]Claim),
	}
	go c.loop(ctx)
	return c
}

// Close stops the claimer and waits for it.
func (c *Claimer) Close() {
	c.cancel()
	<-c.Done
}

// Claim writes a claim and returns the claim that holds its key. After an error the caller must not
// dispatch the request; its claim, which may have been written, will be freed.
func (c *Claimer) Claim(ctx context.Context, claim Claim) (Claim, error) {
	var last error
	for _, w := range c.route(claim.Key.Partition(Partitions)) {
		try, cancel := context.WithTimeout(ctx, writerTimeout)
		winner, err := w.Claim(try, claim)
		cancel()
		if err == nil {
			return winner, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	c.FreeLater(claim)
	if last == nil {
		last = errors.Wrap(ErrLog, "no instance writes claims")
	}
	return Claim{}, last
}

// FreeLater frees a claim in the background. It retries until that succeeds or the key expires. The
// claim's request must not have been dispatched, and must never be.
func (c *Claimer) FreeLater(claim Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.toFree[claim.Request] = claim
}

// Pending returns the number of claims that are still to be freed.
func (c *Claimer) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.toFree)
}

func (c *Claimer) loop(ctx context.Context) {
	defer close(c.Done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(freeRetryInterval):
		}
		c.freeAll(ctx)
	}
}

// freeAll attempts to free each abandoned claim, and drops those whose keys have expired.
func (c *Claimer) freeAll(ctx context.Context) {
	c.mu.Lock()
	waiting := make([]Claim, 0, len(c.toFree))
	for _, claim := range c.toFree {
		waiting = append(waiting, claim)
	}
	c.mu.Unlock()
	var all sync.WaitGroup
	for _, claim := range waiting {
		all.Go(func() {
			if !claim.ValidUntil.After(time.Now()) || c.free(ctx, claim) {
				c.mu.Lock()
				delete(c.toFree, claim.Request)
				c.mu.Unlock()
			}
		})
	}
	all.Wait()
}

func (c *Claimer) free(ctx context.Context, claim Claim) bool {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	for _, w := range c.route(claim.Key.Partition(Partitions)) {
		if err := w.Free(ctx, claim); err == nil {
			return true
		}
	}
	return false
}

// Client calls the writer of another instance. It implements Service.
type Client struct {
	rpc claimpb.ClaimsClient
}

// NewClient returns a client that uses a connection.
func NewClient(conn grpc.ClientConnInterface) *Client {
	return &Client{
		rpc: claimpb.NewClaimsClient(conn),
	}
}

// Claim implements Service.
func (c *Client) Claim(ctx context.Context, claim Claim) (Claim, error) {
	reply, err := c.rpc.Claim(ctx, &claimpb.ClaimRequest{
		Entry: encode(claim, false),
	})
	if err != nil {
		return Claim{}, errors.Wrap(ErrLog, err.Error())
	}
	if reply.Winner == nil || len(reply.Winner.Key) != len(claim.Key) {
		return Claim{}, errors.Wrap(ErrLog, "reply contains no claim")
	}
	return decode(reply.Winner), nil
}

// Free implements Service.
func (c *Client) Free(ctx context.Context, claim Claim) error {
	_, err := c.rpc.Free(ctx, &claimpb.FreeRequest{
		Entry: encode(claim, true),
	})
	return err
}

// Server serves a Writer to other instances.
type Server struct {
	claimpb.UnimplementedClaimsServer

	writer *Writer
}

// NewServer returns a server for a writer.
func NewServer(w *Writer) *Server {
	return &Server{
		writer: w,
	}
}

var errMalformed = errors.New("entry is malformed")

// Claim implements claimpb.ClaimsServer.
func (s *Server) Claim(ctx context.Context, in *claimpb.ClaimRequest) (*claimpb.ClaimReply, error) {
	if in.Entry == nil || len(in.Entry.Key) != len(Key{}) {
		return nil, errMalformed
	}
	winner, err := s.writer.Claim(ctx, decode(in.Entry))
	if err != nil {
		return nil, err
	}
	return &claimpb.ClaimReply{
		Winner: encode(winner, false),
	}, nil
}

// Free implements claimpb.ClaimsServer.
func (s *Server) Free(ctx context.Context, in *claimpb.FreeRequest) (*claimpb.FreeReply, error) {
	if in.Entry == nil || len(in.Entry.Key) != len(Key{}) {
		return nil, errMalformed
	}
	return &claimpb.FreeReply{}, s.writer.Free(ctx, decode(in.Entry))
}
