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

	"github.com/linkmast/linkmast/entry"
	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/policy"
	"github.com/linkmast/linkmast/rollout"
	"github.com/linkmast/linkmast/settings"
	"github.com/linkmast/linkmast/standin"
)

// virtualFleet is a small fleet without a network, for testing/synctest. Every call
// between its parts goes through gate, where faults strike.
type virtualFleet struct {
	platform *standin.Platform
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	nodes    map[string]*virtualNode
	// text is the configuration.
	text string

	mu     sync.Mutex
	cut    map[string]bool
	frozen map[string]chan struct{}
	dead   map[string]bool
}

var errCutOff = errors.New("no connection")

// frozenTimeout is how long a call to a frozen part takes to fail without a
// deadline of its own.
const frozenTimeout = 5 * time.Second

// gate lets a call from a to b through, waits while one of them is frozen, and
// fails when they are cut off or one is dead.
func (v *virtualFleet) gate(ctx context.Context, a, b string) error {
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
		case <-time.After(frozenTimeout):
			return errCutOff
		}
	}
}

func (v *virtualFleet) kill(id string) {
	v.mu.Lock()
	v.dead[id] = true
	v.mu.Unlock()
}

func (v *virtualFleet) freeze(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen[id] == nil {
		v.frozen[id] = make(chan struct{})
	}
}

func (v *virtualFleet) thaw(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c := v.frozen[id]; c != nil {
		close(c)
		delete(v.frozen, id)
	}
}

// setCut cuts or heals what is named: a part, or a pair "a|b".
func (v *virtualFleet) setCut(what string, cut bool) {
	v.mu.Lock()
	v.cut[what] = cut
	v.mu.Unlock()
}

// virtualSettings are the measures of a virtual fleet.
type virtualSettings struct {
	nodes, engines, services int
	engine                   standin.EngineSettings
	log                      standin.LogSettings
	strategy                 string
}

// newVirtualFleet starts a virtual fleet and waits until it serves. It must be
// called inside a bubble; stop ends it.
func newVirtualFleet(t *testing.T, s virtualSettings) *virtualFleet {
	t.Helper()
	v := &virtualFleet{
		platform: standin.NewPlatform(s.log),
		engines:  make(map[string]*standin.Engine),
		services: make(map[string]*standin.Service),
		nodes:    make(map[string]*virtualNode),
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
		shape.Engines = append(shape.Engines, &Endpoint{
			ID:      id,
			Address: id + ":1",
		})
		v.addToList(es.Instance, id+":1", instances.KindEndpoint, shape.failureDomain(i))
	}
	for i := range s.services {
		id := "s" + string(rune('1'+i))
		v.services[id+":1"] = standin.NewService(standin.ServiceSettings{
			Instance: id + "-1",
		})
		shape.Services = append(shape.Services, &Endpoint{
			ID:      id,
			Address: id + ":1",
		})
		v.addToList(id+"-1", id+":1", instances.KindEndpoint, shape.failureDomain(i))
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
		v.addToList(id, id, instances.KindNode, shape.failureDomain(i))
		v.nodes[id] = &virtualNode{}
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

func (v *virtualFleet) addToList(id, address string, kind instances.Kind, domain string) {
	v.platform.Instances.Put(instances.Instance{
		ID:            id,
		Kind:          kind,
		Address:       address,
		FailureDomain: domain,
		Region:        Region,
		State:         instances.Live,
	})
}

// stop ends a virtual fleet.
func (v *virtualFleet) stop() {
	v.mu.Lock()
	for id, c := range v.frozen {
		close(c)
		delete(v.frozen, id)
	}
	v.mu.Unlock()
	for _, n := range v.nodes {
		n.cancel()
		<-n.done
		<-n.peerGuard.Done
		n.claimer.Close()
		n.borrower.Close()
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

// heldBytes returns the memory heldBytes at all engines.
func (v *virtualFleet) heldBytes() int64 {
	total := int64(0)
	for _, e := range v.engines {
		total += e.HeldBytes()
	}
	return total
}

// response is what a caller got.
type response struct {
	status int
	body   string
	ran    string
	id     string
	took   time.Duration
	broken bool
}

// send sends a request to a node and waits for the answer.
func (v *virtualFleet) send(ctx context.Context, node, path, body string, header map[string]string) response {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)).WithContext(ctx)
	req.Header.Set("Authorization", "Bearer key-desk")
	for k, val := range header {
		req.Header.Set(k, val)
	}
	rec := httptest.NewRecorder()
	a := response{}
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

func strategyByName(name string) policy.Strategy {
	if name == settings.Naive {
		return policy.Naive{}
	}
	return policy.Weighed{}
}
