// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/plain"
	"github.com/linkmast/linkmast/standin"
)

// vengine reaches an engine from a node.
type vengine struct {
	node *vnode
	id   string
	*standin.Engine
}

func unreachable(err error, ran bool) error {
	e := &engine.RunError{
		Ran:  "not_run",
		Code: engine.Unreachable,
		Err:  err,
	}
	if ran {
		e.Ran = "may_have_run"
	}
	return e
}

func (e *vengine) Run(ctx context.Context, a engine.Attempt) (engine.Stream, error) {
	if err := e.node.fleet.gate(ctx, e.node.id, e.id); err != nil {
		return nil, unreachable(err, !errors.Is(err, errCutOff))
	}
	s, err := e.Engine.Run(ctx, a)
	return &vstream{
		Stream: s,
		ctx:    ctx,
		engine: e,
	}, err
}

func (e *vengine) Resume(ctx context.Context, id string, seq int) (engine.Stream, error) {
	if err := e.node.fleet.gate(ctx, e.node.id, e.id); err != nil {
		return nil, unreachable(err, true)
	}
	s, err := e.Engine.Resume(ctx, id, seq)
	return &vstream{
		Stream: s,
		ctx:    ctx,
		engine: e,
	}, err
}

func (e *vengine) Cancel(ctx context.Context, id string) error {
	if err := e.node.fleet.gate(ctx, e.node.id, e.id); err != nil {
		return err
	}
	return e.Engine.Cancel(ctx, id)
}

func (e *vengine) Reserve(ctx context.Context, r engine.Reservation) error {
	if err := e.node.fleet.gate(ctx, e.node.id, e.id); err != nil {
		return unreachable(err, true)
	}
	return e.Engine.Reserve(ctx, r)
}

func (e *vengine) Status(ctx context.Context, list bool) (engine.Status, error) {
	if err := e.node.fleet.gate(ctx, e.node.id, e.id); err != nil {
		return engine.Status{}, err
	}
	return e.Engine.Status(ctx, list)
}

func (e *vengine) Order(ctx context.Context, o engine.Order) error {
	if err := e.node.fleet.gate(ctx, e.node.id, e.id); err != nil {
		return unreachable(err, true)
	}
	return e.Engine.Order(ctx, o)
}

// vstream is a stream that breaks with the connection.
type vstream struct {
	engine.Stream

	ctx    context.Context
	engine *vengine
}

func (s *vstream) Next() (engine.Chunk, error) {
	k, err := s.Stream.Next()
	if err != nil {
		return k, err
	}
	if err := s.engine.node.fleet.gate(s.ctx, s.engine.node.id, s.engine.id); err != nil {
		return engine.Chunk{}, err
	}
	return k, nil
}

// vservice reaches a plain endpoint from a node.
type vservice struct {
	node *vnode
	id   string
	*standin.Service
}

func (s *vservice) Call(ctx context.Context, c plain.Call) (plain.Answer, error) {
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
func (n *vnode) Engine(address string) engine.Client {
	return &vengine{
		node:   n,
		id:     address,
		Engine: n.fleet.engines[address],
	}
}

// Plain implements owner.Endpoints.
func (n *vnode) Plain(address string) plain.Client {
	return &vservice{
		node:    n,
		id:      address,
		Service: n.fleet.services[address],
	}
}
