// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"expvar"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/claim"
	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/limit"
	"github.com/linkmast/linkmast/member"
	"github.com/linkmast/linkmast/owner"
	"github.com/linkmast/linkmast/policy"
	"github.com/linkmast/linkmast/quarantine"
)

// Settings are the measures of an Entry.
type Settings struct {
	// Self is the instance's own entry in the list of instances.
	Self instances.Instance
	// Strategy is how endpoints are chosen; the default is policy.Weighed.
	Strategy policy.Strategy
	// KeepAnswers is how long answers to requests with a key are kept; the
	// default is 1m.
	KeepAnswers time.Duration
}

const defaultKeepAnswers = time.Minute

// Parts are what an Entry works with.
type Parts struct {
	// Configuration returns the configuration in force; nil while there is
	// none.
	Configuration func() *config.View
	// Members returns what is known of the instances.
	Members func() *member.View
	// Leaser returns the leaser on an instance.
	Leaser func(i instances.Instance) (owner.Leaser, error)
	// ReportFailure notes a failed exchange with an instance.
	ReportFailure func(id string)
	// Endpoints makes the adapters to endpoints.
	Endpoints owner.Endpoints
	// Claimer claims keys.
	Claimer *claim.Claimer
	// Borrower spends customers' allowance.
	Borrower *limit.Borrower
	// Quarantine keeps requests from endpoints that crash these, and Check opens a connection to
	// an endpoint whose answer broke off, to see whether it has ended. Nil means that none is
	// kept.
	Quarantine quarantine.Guard
	Check      quarantine.Checker
	// Attach fetches the answer to a request from the instance that runs it.
	Attach Attacher
	// Log gets a line for each decision.
	Log logr.Logger
}

// Entry serves callers.
type Entry struct {
	// Registry is the attempts that the instance holds.
	Registry *Registry
	// Answers are the answers to requests with a key.
	Answers *Answers

	settings    Settings
	parts       Parts
	fleet       *fleet
	budget      *budget
	traces      *traces
	hitRates    *hitRates
	metrics     *metrics
	detector    *quarantine.Detector
	incarnation string
	counter     atomic.Uint64
	stopping    atomic.Bool
	// inFlight counts requests and what is left to do after them.
	inFlight atomic.Int64
}

// New returns an entry. It serves once Rebuild was called with a
// configuration.
func New(s Settings, p Parts) *Entry {
	if s.Strategy == nil {
		s.Strategy = policy.Weighed{}
	}
	if s.KeepAnswers == 0 {
		s.KeepAnswers = defaultKeepAnswers
	}
	e := &Entry{
		Registry:    NewRegistry(),
		Answers:     newAnswers(s.KeepAnswers),
		settings:    s,
		parts:       p,
		fleet:       newFleet(s.Strategy, s.Self.Region, s.Self.FailureDomain),
		budget:      newBudget(),
		traces:      newTraces(),
		hitRates:    newHitRates(),
		metrics:     newMetrics(),
		incarnation: newIncarnation(),
	}
	e.detector = quarantine.NewDetector(p.Quarantine, p.Check, func() { e.metrics.add("crashes", 1) }, p.Log)
	return e
}

// newIncarnation returns a name that no other start of any instance has.
func newIncarnation() string {
	var b [8]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return strconv.FormatUint(binary.LittleEndian.Uint64(b[:]), 36)
}

// newID returns an id that no other request has.
func (e *Entry) newID() string {
	return e.incarnation + "-" + strconv.FormatUint(e.counter.Add(1), 36)
}

// Rebuild takes over a change of the configuration or of the instances.
func (e *Entry) Rebuild() {
	if v := e.parts.Configuration(); v != nil {
		e.fleet.rebuild(v, e.parts.Members())
	}
}

// UpdateSummaries takes over summaries of endpoints.
func (e *Entry) UpdateSummaries(summaries []policy.Summary) {
	e.fleet.updateSummaries(summaries, steady.Now())
}

// Ready states whether the entry can serve, and if not, why.
func (e *Entry) Ready() (bool, string) {
	switch {
	case e.stopping.Load():
		return false, "stopping"
	case e.parts.Configuration() == nil:
		return false, "no configuration yet"
	case !e.parts.Members().Complete:
		return false, "no list of instances yet"
	}
	return true, ""
}

// Stop takes the entry out of service. Requests are still served for as long
// as the balancer sends them, so that none is cut.
func (e *Entry) Stop() {
	e.stopping.Store(true)
}

// Wait returns when no request is in flight, or ctx ends.
func (e *Entry) Wait(ctx context.Context) error {
	tick := time.NewTicker(waitInterval)
	defer tick.Stop()
	for e.inFlight.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// InFlight returns how many requests, and errands after them, are left.
func (e *Entry) InFlight() int64 {
	return e.inFlight.Load()
}

// runInBackground runs f after its request, and keeps a planned stop waiting for it.
func (e *Entry) runInBackground(f func(ctx context.Context)) {
	e.inFlight.Add(1)
	go func() {
		defer e.inFlight.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		f(ctx)
	}()
}

// The times of stopping and of errands.
const (
	waitInterval      = 10 * time.Millisecond
	backgroundTimeout = 3 * time.Second
)

// Explain returns what happened to a request.
func (e *Entry) Explain(id string) (Trace, bool) {
	return e.traces.get(id)
}

// metrics are the entry's counters. They are published by the instance.
type metrics struct {
	vars *expvar.Map
}

func newMetrics() *metrics {
	return &metrics{
		vars: new(expvar.Map).Init(),
	}
}

func (m *metrics) add(name string, n int64) {
	m.vars.Add(name, n)
}

// Metrics returns the entry's counters.
func (e *Entry) Metrics() *expvar.Map {
	return e.metrics.vars
}

// hitRates learns, for each customer, which part of its prompts was cached.
type hitRates struct {
	mu   sync.Mutex
	rate map[hitKey]float64
}

// hitKey is what a cached part is learned for.
type hitKey struct {
	customer string
	class    policy.Class
}

// hitRateWeight is the weight of a new observation.
const hitRateWeight = 0.1

func newHitRates() *hitRates {
	return &hitRates{
		rate: make(map[hitKey]float64),
	}
}

// expect returns the part of a customer's prompt that is likely cached on the
// endpoints that its prefix belongs to.
func (h *hitRates) expect(customer string, c policy.Class) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rate[hitKey{
		customer: customer,
		class:    c,
	}]
}

// observe takes over what an answer showed.
func (h *hitRates) observe(customer string, c policy.Class, cached, prompt int) {
	if prompt == 0 {
		return
	}
	k := hitKey{
		customer: customer,
		class:    c,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rate[k] += hitRateWeight * (float64(cached)/float64(prompt) - h.rate[k])
}
