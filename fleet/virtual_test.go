// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/claim"
	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/entry"
	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/limit"
	"github.com/linkmast/linkmast/logsvc"
	"github.com/linkmast/linkmast/member"
	"github.com/linkmast/linkmast/member/memberpb"
	"github.com/linkmast/linkmast/order"
	"github.com/linkmast/linkmast/owner"
	"github.com/linkmast/linkmast/plain"
	"github.com/linkmast/linkmast/policy"
	"github.com/linkmast/linkmast/rollout"
	"github.com/linkmast/linkmast/rollout/rolloutpb"
	"github.com/linkmast/linkmast/settings"
	"github.com/linkmast/linkmast/standin"
)

// virtual is a small fleet without a network, for testing/synctest. Every call
// between its parts goes through gate, where faults strike.
type virtual struct {
	platform *standin.Platform
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	nodes    map[string]*vnode
	// text is the configuration.
	text string

	mu     sync.Mutex
	cut    map[string]bool
	frozen map[string]chan struct{}
	dead   map[string]bool
}

// vnode is one node of a virtual fleet.
type vnode struct {
	id      string
	fleet   *virtual
	member  *member.Member
	rollout *rollout.Rollout
	owner   *owner.Owner
	entry   *entry.Entry
	writer  *claim.Writer
	claimer *claim.Claimer
	lender  *limit.Lender
	borrow  *limit.Borrower
	cancel  context.CancelFunc
	done    chan struct{}
}

var errCutOff = errors.New("no connection")

// frozenWait is how long a call to a frozen part takes to fail without a
// deadline of its own.
const frozenWait = 5 * time.Second

// gate lets a call from a to b through, waits while one of them is frozen, and
// fails when they are cut off or one is dead.
func (v *virtual) gate(ctx context.Context, a, b string) error {
	for {
		v.mu.Lock()
		broken := v.dead[a] || v.dead[b] || v.cut[a+"|"+b] || v.cut[b+"|"+a] || v.cut[a] || v.cut[b]
		thaw := v.frozen[a]
		if thaw == nil {
			thaw = v.frozen[b]
		}
		v.mu.Unlock()
		if broken {
			return errCutOff
		}
		if thaw == nil {
			return ctx.Err()
		}
		select {
		case <-thaw:
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(frozenWait):
			return errCutOff
		}
	}
}

func (v *virtual) kill(id string) {
	v.mu.Lock()
	v.dead[id] = true
	v.mu.Unlock()
}

func (v *virtual) freeze(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen[id] == nil {
		v.frozen[id] = make(chan struct{})
	}
}

func (v *virtual) thaw(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c := v.frozen[id]; c != nil {
		close(c)
		delete(v.frozen, id)
	}
}

// separate cuts or heals what is named: a part, or a pair "a|b".
func (v *virtual) separate(what string, cut bool) {
	v.mu.Lock()
	v.cut[what] = cut
	v.mu.Unlock()
}

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

// vleaser reaches the owner on another node.
type vleaser struct {
	from, to *vnode
}

func (l *vleaser) Acquire(ctx context.Context, r owner.Request, queued func(time.Duration)) (owner.Grant, error) {
	if err := l.from.fleet.gate(ctx, l.from.id, l.to.id); err != nil {
		return owner.Grant{}, &owner.Refusal{
			Code:   owner.RefusedSilent,
			Detail: err.Error(),
		}
	}
	g, err := l.to.owner.Acquire(ctx, r, queued)
	if err == nil {
		err = l.from.fleet.gate(ctx, l.from.id, l.to.id)
	}
	return g, err
}

func (l *vleaser) Release(ctx context.Context, r owner.Release) error {
	if err := l.from.fleet.gate(ctx, l.from.id, l.to.id); err != nil {
		return err
	}
	return l.to.owner.Release(ctx, r)
}

func (n *vnode) leaser(i instances.Instance) (owner.Leaser, error) {
	return &vleaser{
		from: n,
		to:   n.fleet.nodes[i.ID],
	}, nil
}

// Held implements owner.Holders.
func (n *vnode) Held(ctx context.Context, holder string, attempts []string) ([]string, error) {
	if err := n.fleet.gate(ctx, n.id, holder); err != nil {
		return nil, err
	}
	return n.fleet.nodes[holder].entry.Registry.Which(attempts), nil
}

// Probe implements member.Prober.
func (n *vnode) Probe(ctx context.Context, address string, in *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	if err := n.fleet.gate(ctx, n.id, address); err != nil {
		return nil, err
	}
	return n.fleet.nodes[address].member.Answer(in), nil
}

// List implements instances.Lister.
func (n *vnode) List(ctx context.Context, since int64) (instances.List, error) {
	if err := n.fleet.gate(ctx, n.id, "platform"); err != nil {
		return instances.List{}, err
	}
	return n.fleet.platform.Instances.List(ctx, since)
}

// vlog reaches the platform's log from a node.
type vlog struct {
	node *vnode
	*standin.Log
}

// Append implements logsvc.Log.
func (l *vlog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	if err := l.node.fleet.gate(ctx, l.node.id, "platform"); err != nil {
		return 0, &logsvc.Error{
			Err: err,
		}
	}
	return l.Log.Append(ctx, stream, records)
}

// Read implements logsvc.Log.
func (l *vlog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (logsvc.Batch, error) {
	if err := l.node.fleet.gate(ctx, l.node.id, "platform"); err != nil {
		return logsvc.Batch{}, &logsvc.Error{
			Err: err,
		}
	}
	return l.Log.Read(ctx, stream, from, wait)
}

// Addresses implements rollout.Peers.
func (n *vnode) Addresses() []string {
	var out []string
	for id := range n.fleet.nodes {
		if id != n.id {
			out = append(out, id)
		}
	}
	return out
}

// Pull implements rollout.Peers.
func (n *vnode) Pull(ctx context.Context, address string, in *rolloutpb.PullRequest) (*rolloutpb.PullReply, error) {
	if err := n.fleet.gate(ctx, n.id, address); err != nil {
		return nil, err
	}
	return n.fleet.nodes[address].rollout.Answer(in)
}

// Reader implements rollout.Peers.
func (n *vnode) Reader() bool { return true }

// Repeater implements rollout.Peers.
func (n *vnode) Repeater() bool {
	i, _ := n.member.View().Keeper("repeater")
	return i.ID == n.id
}

// Borrow implements limit.Keepers.
func (n *vnode) Borrow(ctx context.Context, a limit.Ask, b limit.Bounds) (limit.Loan, error) {
	i, _ := n.member.View().Keeper(a.Customer)
	if err := n.fleet.gate(ctx, n.id, i.ID); err != nil {
		return limit.Loan{}, err
	}
	return n.fleet.nodes[i.ID].lender.Lend(a, b, time.Now()), nil
}

// Nodes implements limit.Keepers.
func (n *vnode) Nodes() int { return len(n.member.View().Nodes) }

// vasker reaches the writer on another node.
type vasker struct {
	from, to *vnode
}

func (a *vasker) Claim(ctx context.Context, c claim.Claim) (claim.Claim, error) {
	if err := a.from.fleet.gate(ctx, a.from.id, a.to.id); err != nil {
		return claim.Claim{}, err
	}
	got, err := a.to.writer.Claim(ctx, c)
	if err == nil {
		err = a.from.fleet.gate(ctx, a.from.id, a.to.id)
	}
	return got, err
}

func (a *vasker) Free(ctx context.Context, c claim.Claim) error {
	if err := a.from.fleet.gate(ctx, a.from.id, a.to.id); err != nil {
		return err
	}
	return a.to.writer.Free(ctx, c)
}

func (n *vnode) route(partition int) []claim.Asker {
	var out []claim.Asker
	for _, i := range n.member.View().Ranked(claim.StreamOf(partition), 2) {
		out = append(out, &vasker{
			from: n,
			to:   n.fleet.nodes[i.ID],
		})
	}
	return out
}

// Attach implements entry.Attacher.
func (n *vnode) Attach(ctx context.Context, instance, request string, out entry.Writer) error {
	if err := n.fleet.gate(ctx, n.id, instance); err != nil {
		return err
	}
	return n.fleet.nodes[instance].entry.Answers.CopyTo(ctx, request, out)
}

// vsettings are the measures of a virtual fleet.
type vsettings struct {
	nodes, engines, services int
	engine                   standin.EngineSettings
	log                      standin.LogSettings
	strategy                 string
}

// newVirtual starts a virtual fleet and waits until it serves. It must be
// called inside a bubble; stop ends it.
func newVirtual(t *testing.T, s vsettings) *virtual {
	t.Helper()
	v := &virtual{
		platform: standin.NewPlatform(s.log),
		engines:  make(map[string]*standin.Engine),
		services: make(map[string]*standin.Service),
		nodes:    make(map[string]*vnode),
		cut:      make(map[string]bool),
		frozen:   make(map[string]chan struct{}),
		dead:     make(map[string]bool),
	}
	shape := &Fleet{
		settings: Settings{
			Engine: s.engine,
		},
	}
	shape.settings.setDefaults()
	for i := range s.engines {
		id := "e" + string(rune('1'+i))
		es := shape.settings.Engine
		es.Instance = id + "-1"
		es.Model = Model
		es.Version = version
		v.engines[id+":1"] = standin.NewEngine(es)
		shape.Engines = append(shape.Engines, &Host{
			ID:      id,
			Address: id + ":1",
		})
		v.list(es.Instance, id+":1", instances.KindEndpoint, shape.domain(i))
	}
	for i := range s.services {
		id := "s" + string(rune('1'+i))
		v.services[id+":1"] = standin.NewService(standin.ServiceSettings{
			Instance: id + "-1",
		})
		shape.Services = append(shape.Services, &Host{
			ID:      id,
			Address: id + ":1",
		})
		v.list(id+"-1", id+":1", instances.KindEndpoint, shape.domain(i))
	}
	v.text = shape.Configuration()
	if _, err := rollout.Publish(t.Context(), v.platform.Log, rollout.Publication{
		ID:   "first",
		Text: []byte(v.text),
	}); err != nil {
		t.Fatal(err)
	}
	for i := range s.nodes {
		id := "n" + string(rune('1'+i))
		v.list(id, id, instances.KindNode, shape.domain(i))
		v.nodes[id] = &vnode{}
		v.dead[id] = true
	}
	for id, n := range v.nodes {
		v.start(n, id, s.strategy)
		v.mu.Lock()
		v.dead[id] = false
		v.mu.Unlock()
	}
	time.Sleep(5 * time.Second)
	return v
}

func (v *virtual) list(id, address string, kind instances.Kind, domain string) {
	v.platform.Instances.Put(instances.Instance{
		ID:            id,
		Kind:          kind,
		Address:       address,
		FailureDomain: domain,
		Region:        Region,
		State:         instances.Live,
	})
}

// start starts one node.
func (v *virtual) start(n *vnode, id, strategy string) {
	ctx, cancel := context.WithCancel(context.Background())
	n.id = id
	n.fleet = v
	n.cancel = cancel
	n.done = make(chan struct{})
	self := instances.Instance{
		ID:            id,
		Kind:          instances.KindNode,
		Address:       id,
		FailureDomain: "d1",
		Region:        Region,
		State:         instances.Live,
	}
	log := &vlog{
		node: n,
		Log:  v.platform.Log,
	}
	n.member = member.New(member.Settings{
		Self: self,
	}, n, n, func() int64 { return 0 }, logr.Discard())
	n.rollout = rollout.New(rollout.Settings{}, log, n, logr.Discard())
	n.writer = claim.NewWriter(claim.Settings{}, log)
	n.claimer = claim.NewClaimer(n.route)
	n.lender = limit.NewLender(0)
	n.borrow = limit.NewBorrower(id, n)
	n.entry = entry.New(entry.Settings{
		Self:     self,
		Strategy: strategyNamed(strategy),
	}, entry.Parts{
		Configuration: n.rollout.View,
		Members:       n.member.View,
		Leaser:        n.leaser,
		Suspect:       n.member.Suspect,
		Endpoints:     n,
		Claimer:       n.claimer,
		Borrower:      n.borrow,
		Attach:        n,
		Log:           logr.Discard(),
	})
	n.owner = owner.New(owner.Settings{
		Strategy: strategyNamed(strategy),
	}, n, n, order.New(order.Settings{}, log, v.platform.Weights, logr.Discard()), logr.Discard())
	go n.follow(ctx)
}

// follow derives ownership and summaries, as a node does.
func (n *vnode) follow(ctx context.Context) {
	defer close(n.done)
	for ctx.Err() == nil {
		n.derive(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (n *vnode) derive(ctx context.Context) {
	v, m := n.rollout.View(), n.member.View()
	if v == nil {
		return
	}
	var mine []owner.Target
	for _, e := range v.File.Endpoints {
		by, ok := m.Owner(e.ID, Region)
		if !ok || by.ID != n.id {
			continue
		}
		t := owner.Target{
			Endpoint: e,
		}
		if e.Model != "" {
			t.Want = order.State{
				Model:   e.Model,
				Version: version,
			}
		}
		if at, ok := m.Endpoint(e.Address); ok {
			t.Instance = at.ID
			t.Leaving = at.State != instances.Live
		}
		mine = append(mine, t)
	}
	n.owner.Own(mine)
	n.entry.Rebuild()
	for id := range m.Nodes {
		if n.fleet.gate(ctx, n.id, id) == nil {
			n.entry.Hear(n.fleet.nodes[id].owner.Summaries())
		}
	}
}

// stop ends a virtual fleet.
func (v *virtual) stop() {
	v.mu.Lock()
	for id, c := range v.frozen {
		close(c)
		delete(v.frozen, id)
	}
	v.mu.Unlock()
	for _, n := range v.nodes {
		n.cancel()
		<-n.done
		n.claimer.Close()
		n.borrow.Close()
		n.writer.Close()
		n.owner.Close()
		n.rollout.Close()
		n.member.Close()
	}
	for _, e := range v.engines {
		e.SetFaults(standin.Faults{})
		e.Stop()
	}
	// Errands after requests end by their time-outs.
	time.Sleep(10 * time.Second)
}

// held returns the memory held at all engines.
func (v *virtual) held() int64 {
	total := int64(0)
	for _, e := range v.engines {
		total += e.HeldBytes()
	}
	return total
}

// vanswer is what a caller got.
type vanswer struct {
	status int
	body   string
	ran    string
	id     string
	took   time.Duration
	broken bool
}

// send sends a request to a node and waits for the answer.
func (v *virtual) send(ctx context.Context, node, path, body string, header map[string]string) vanswer {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)).WithContext(ctx)
	req.Header.Set("Authorization", "Bearer key-desk")
	for k, val := range header {
		req.Header.Set(k, val)
	}
	rec := httptest.NewRecorder()
	a := vanswer{}
	start := time.Now()
	func() {
		// A connection that is broken off panics with http.ErrAbortHandler.
		defer func() {
			r := recover()
			if r == nil {
				return
			}
			if err, ok := r.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(r)
			}
			a.broken = true
		}()
		v.nodes[node].entry.Handler().ServeHTTP(rec, req)
	}()
	a.took = time.Since(start)
	res := rec.Result()
	data, _ := io.ReadAll(res.Body)
	a.status = res.StatusCode
	a.body = string(data)
	a.id = res.Header.Get(entry.HeaderRequest)
	for _, ran := range []string{"not_run", "may_have_run", "ran"} {
		if strings.Contains(a.body, `"ran":"`+ran+`"`) {
			a.ran = ran
		}
	}
	return a
}

func strategyNamed(name string) policy.Strategy {
	if name == settings.Naive {
		return policy.Naive{}
	}
	return policy.Weighed{}
}
