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

// Service asks for claims: a Writer of this process or a Client of another.
type Service interface {
	// Claim returns the claim that holds the key.
	Claim(ctx context.Context, c Claim) (Claim, error)
	// Free gives up a claim that was not dispatched and never will be.
	Free(ctx context.Context, c Claim) error
}

// Route returns the instances that may write a partition, the usual one first.
type Route func(partition int) []Service

// freeRetryInterval is how often a claim that was given up is tried to be freed.
const freeRetryInterval = time.Second

// writerTimeout bounds the wait for one writer, so that there is time for another.
const writerTimeout = 1200 * time.Millisecond

// freeTimeout bounds one such try.
const freeTimeout = 3 * time.Second

// Claimer claims keys for the requests of an instance, and frees what was
// given up. Close ends it.
type Claimer struct {
	// Done is closed when the claimer has stopped.
	Done chan struct{}

	route  Route
	cancel context.CancelFunc

	mu     sync.Mutex
	toFree map[string]Claim
}

// NewClaimer starts a claimer.
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

// Claim returns the claim that holds the key. On an error the request was not
// dispatched, and its claim, if there is one, will be freed.
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

// FreeLater frees a claim that was not dispatched and never will be, as soon as
// the log allows.
func (c *Claimer) FreeLater(claim Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.toFree[claim.Request] = claim
}

// Pending returns how many claims wait to be freed.
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

// freeAll tries to free each claim that was given up.
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

// Client asks the writer of another instance. It implements Asker.
type Client struct {
	rpc claimpb.ClaimsClient
}

// NewClient returns a client over a connection.
func NewClient(conn grpc.ClientConnInterface) *Client {
	return &Client{
		rpc: claimpb.NewClaimsClient(conn),
	}
}

// Claim implements Asker.
func (c *Client) Claim(ctx context.Context, claim Claim) (Claim, error) {
	reply, err := c.rpc.Claim(ctx, &claimpb.ClaimRequest{
		Entry: encode(claim, false),
	})
	if err != nil {
		return Claim{}, errors.Wrap(ErrLog, err.Error())
	}
	if reply.Winner == nil || len(reply.Winner.Key) != len(claim.Key) {
		return Claim{}, errors.Wrap(ErrLog, "answer names no claim")
	}
	return decode(reply.Winner), nil
}

// Free implements Asker.
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

// NewServer returns a server.
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
