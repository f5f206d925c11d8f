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

// Settings configures an Entry.
type Settings struct {
	// Self is this instance, as in the list of instances.
	Self instances.Instance
	// Strategy chooses endpoints; the default is policy.Weighed.
	Strategy policy.Strategy
	// KeepAnswers is how long answers to requests with an idempotency key are kept after their
	// end; the default is 1m.
	KeepAnswers time.Duration
}

const defaultKeepAnswers = time.Minute

// Parts holds the dependencies of an Entry.
type Parts struct {
	// Configuration returns the configuration in force, or nil while there is none.
	Configuration func() *config.View
	// Members returns the current view of the instances.
	Members func() *member.View
	// Leaser returns the leaser of the owner on an instance.
	Leaser func(i instances.Instance) (owner.Leaser, error)
	// ReportFailure reports a failed exchange with an instance to the membership.
	ReportFailure func(id string)
	// Endpoints creates the clients of endpoints.
	Endpoints owner.Endpoints
	// Claimer claims idempotency keys.
	Claimer *claim.Claimer
	// Borrower checks requests against customers' quotas.
	Borrower *limit.Borrower
	// Quarantine bans requests that crash endpoints; nil disables it. Check opens a connection
	// to an endpoint whose attempt failed, to find out whether it has ended; it is required
	// with Quarantine.
	Quarantine quarantine.Guard
	Check      quarantine.Checker
	// Attach fetches the answer to a request from the instance that runs it.
	Attach Attacher
	// Log receives one line per decision.
	Log logr.Logger
}

// Entry accepts callers' requests and runs them on endpoints.
type Entry struct {
	// Registry holds the ids of the attempts that this instance holds.
	Registry *Registry
	// Answers keeps the answers to requests with an idempotency key.
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
	// inFlight counts requests and the background work that follows them.
	inFlight atomic.Int64
}

// New returns an entry. It chooses endpoints only after a call of Rebuild with a configuration
// in force.
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

// newIncarnation returns a random name for this start of the process, which makes request ids
// unique.
func newIncarnation() string {
	var b [8]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return strconv.FormatUint(binary.LittleEndian.Uint64(b[:]), 36)
}

// newID returns a unique request id.
func (e *Entry) newID() string {
	return e.incarnation + "-" + strconv.FormatUint(e.counter.Add(1), 36)
}

// Rebuild applies a change of the configuration or of the instances.
func (e *Entry) Rebuild() {
	if v := e.parts.Configuration(); v != nil {
		e.fleet.rebuild(v, e.parts.Members())
	}
}

// UpdateSummaries applies new summaries of endpoints.
func (e *Entry) UpdateSummaries(summaries []policy.Summary) {
	e.fleet.updateSummaries(summaries, steady.Now())
}

// Ready reports whether the entry can serve, and if not, why.
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

// Stop makes Ready return false. The entry still serves the requests that the load balancer
// sends until it notices.
func (e *Entry) Stop() {
	e.stopping.Store(true)
}

// Wait blocks until InFlight is zero. It returns the error of ctx if that ends first.
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

// InFlight returns the number of requests and background tasks that are not finished.
func (e *Entry) InFlight() int64 {
	return e.inFlight.Load()
}

// runInBackground runs f in a goroutine that Wait waits for. The context of f ends after
// backgroundTimeout.
func (e *Entry) runInBackground(f func(ctx context.Context)) {
	e.inFlight.Add(1)
	go func() {
		defer e.inFlight.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		f(ctx)
	}()
}

// Timing of Wait and of background tasks.
const (
	waitInterval      = 10 * time.Millisecond
	backgroundTimeout = 3 * time.Second
)

// Explain returns the trace of a request, and false if it is unknown or no longer kept.
func (e *Entry) Explain(id string) (Trace, bool) {
	return e.traces.get(id)
}

// metrics holds the entry's counters.
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

// Metrics returns the entry's counters by name.
func (e *Entry) Metrics() *expvar.Map {
	return e.metrics.vars
}

// hitRates estimates the cached fraction of the prompt tokens of each customer, per class of
// prompt length.
type hitRates struct {
	mu   sync.Mutex
	rate map[hitKey]float64
}

// hitKey identifies an estimate.
type hitKey struct {
	customer string
	class    policy.Class
}

// hitRateWeight is the weight of the latest observation in the moving average.
const hitRateWeight = 0.1

func newHitRates() *hitRates {
	return &hitRates{
		rate: make(map[hitKey]float64),
	}
}

// expect returns the fraction of a customer's prompt that is expected to be cached on the
// endpoints to which its prefix is assigned.
func (h *hitRates) expect(customer string, c policy.Class) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rate[hitKey{
		customer: customer,
		class:    c,
	}]
}

// observe updates the estimate with the cached and total prompt tokens of an answer.
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
