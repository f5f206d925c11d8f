// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/plain"
	"github.com/linkmast/linkmast/standin"
)

// gatedEngine calls an engine from a node through gate.
type gatedEngine struct {
	node *virtualNode
	id   string
	*standin.Engine
}

// unreachableError returns the RunError of a call that did not reach an engine or got no
// response. Its Ran is may_have_run if mayHaveRun is true, and not_run otherwise.
func unreachableError(err error, mayHaveRun bool) error {
	e := &engine.RunError{
		Ran:  "not_run",
		Code: engine.Unreachable,
		Err:  err,
	}
	if mayHaveRun {
		e.Ran = "may_have_run"
	}
	return e
}

func (e *gatedEngine) Run(ctx context.Context, a engine.Attempt) (engine.Stream, error) {
	if err := e.node.fleet.gate(ctx, e.node.id, e.id); err != nil {
		return nil, unreachableError(err, !errors.Is(err, errCutOff))
	}
	s, err := e.Engine.Run(ctx, a)
	return &gatedStream{
		Stream: s,
		ctx:    ctx,
		engine: e,
	}, err
}

func (e *gatedEngine) Resume(ctx context.Context, id string, seq int) (engine.Stream, error) {
	if err := e.node.fleet.gate(ctx, e.node.id, e.id); err != nil {
		return nil, unreachableError(err, true)
	}
	s, err := e.Engine.Resume(ctx, id, seq)
	return &gatedStream{
		Stream: s,
		ctx:    ctx,
		engine: e,
	}, err
}

func (e *gatedEngine) Cancel(ctx context.Context, id string) error {
	if err := e.node.fleet.gate(ctx, e.node.id, e.id); err != nil {
		return err
	}
	return e.Engine.Cancel(ctx, id)
}

func (e *gatedEngine) Reserve(ctx context.Context, r engine.Reservation) error {
	if err := e.node.fleet.gate(ctx, e.node.id, e.id); err != nil {
		return unreachableError(err, true)
	}
	return e.Engine.Reserve(ctx, r)
}

func (e *gatedEngine) Status(ctx context.Context, list bool) (engine.Status, error) {
	if err := e.node.fleet.gate(ctx, e.node.id, e.id); err != nil {
		return engine.Status{}, err
	}
	return e.Engine.Status(ctx, list)
}

func (e *gatedEngine) Order(ctx context.Context, o engine.Order) error {
	if err := e.node.fleet.gate(ctx, e.node.id, e.id); err != nil {
		return unreachableError(err, true)
	}
	return e.Engine.Order(ctx, o)
}

// gatedStream is a stream whose chunks pass through gate, so that it fails when the node
// is disconnected from the engine.
type gatedStream struct {
	engine.Stream

	ctx    context.Context
	engine *gatedEngine
}

func (s *gatedStream) Next() (engine.Chunk, error) {
	k, err := s.Stream.Next()
	if err != nil {
		return k, err
	}
	if err := s.engine.node.fleet.gate(s.ctx, s.engine.node.id, s.engine.id); err != nil {
		return engine.Chunk{}, err
	}
	return k, nil
}

// gatedService calls an endpoint of a plain service from a node through gate.
type gatedService struct {
	node *virtualNode
	id   string
	*standin.Service
}

func (s *gatedService) Call(ctx context.Context, c plain.Call) (plain.Answer, error) {
	if err := s.node.fleet.gate(ctx, s.node.id, s.id); err != nil {
		e := &plain.CallError{
			Ran: "may_have_run",
			Err: err,
		}
		if errors.Is(err, errCutOff) {
			e.Ran = "not_run"
		}
		return plain.Answer{}, e
	}
	return s.Service.Call(ctx, c)
}

// Engine implements owner.Endpoints.
func (n *virtualNode) Engine(address string) engine.Client {
	return &gatedEngine{
		node:   n,
		id:     address,
		Engine: n.fleet.engines[address],
	}
}

// Plain implements owner.Endpoints.
func (n *virtualNode) Plain(address string) plain.Client {
	return &gatedService{
		node:    n,
		id:      address,
		Service: n.fleet.services[address],
	}
}
