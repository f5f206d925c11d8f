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

// virtualFleet is a fleet without a network that runs inside a testing/synctest
// bubble. Calls between its nodes, endpoints and platform pass through gate,
// which simulates broken connections and dead or frozen components.
type virtualFleet struct {
	platform *standin.Platform
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	nodes    map[string]*virtualNode
	// text is the configuration in TOML.
	text string

	mu sync.Mutex
	// cut is true for the components that are disconnected from everything and for
	// the pairs "a|b" that are disconnected from each other.
	cut map[string]bool
	// frozen holds a channel for each frozen component, which thaw closes.
	frozen map[string]chan struct{}
	dead   map[string]bool
}

var errCutOff = errors.New("no connection")

// frozenTimeout bounds how long a call waits for a frozen component.
const frozenTimeout = 5 * time.Second

// gate returns nil if a call from a to b may pass. It waits while a or b is frozen.
// It fails if a or b is dead, if either is disconnected from the other or from
// everything, if ctx ends, or if one of them stays frozen for frozenTimeout.
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

// kill makes all calls to and from a component fail.
func (v *virtualFleet) kill(id string) {
	v.mu.Lock()
	v.dead[id] = true
	v.mu.Unlock()
}

// freeze holds up all calls to and from a component until thaw is called. Calls fail
// after frozenTimeout.
func (v *virtualFleet) freeze(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen[id] == nil {
		v.frozen[id] = make(chan struct{})
	}
}

// thaw lets the calls to and from a frozen component continue.
func (v *virtualFleet) thaw(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c := v.frozen[id]; c != nil {
		close(c)
		delete(v.frozen, id)
	}
}

// setCut disconnects a component from everything, or the two components of a pair
// "a|b" from each other. If cut is false, it reconnects them.
func (v *virtualFleet) setCut(what string, cut bool) {
	v.mu.Lock()
	v.cut[what] = cut
	v.mu.Unlock()
}

// virtualSettings configures a virtual fleet.
type virtualSettings struct {
	nodes, engines, services int
	engine                   standin.EngineSettings
	log                      standin.LogSettings
	strategy                 string
}

// newVirtualFleet starts a virtual fleet and gives it 5 s to become ready. It must
// be called inside a synctest bubble. The caller must call stop.
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
	layout := &Fleet{
		settings: Settings{
			Engine: s.engine,
		},
	}
	layout.settings.setDefaults()
	for i := range s.engines {
		id := "e" + string(rune('1'+i))
		es := layout.settings.Engine
		es.Instance = id + "-1"
		es.Model = Model
		es.Version = version
		v.engines[id+":1"] = standin.NewEngine(es)
		layout.Engines = append(layout.Engines, &Endpoint{
			ID:      id,
			Address: id + ":1",
		})
		v.addToList(es.Instance, id+":1", instances.KindEndpoint, layout.failureDomain(i))
	}
	for i := range s.services {
		id := "s" + string(rune('1'+i))
		v.services[id+":1"] = standin.NewService(standin.ServiceSettings{
			Instance: id + "-1",
		})
		layout.Services = append(layout.Services, &Endpoint{
			ID:      id,
			Address: id + ":1",
		})
		v.addToList(id+"-1", id+":1", instances.KindEndpoint, layout.failureDomain(i))
	}
	v.text = layout.Configuration()
	if _, err := rollout.Publish(t.Context(), v.platform.Log, rollout.Publication{
		ID:   "first",
		Text: []byte(v.text),
	}); err != nil {
		t.Fatal(err)
	}
	for i := range s.nodes {
		id := "n" + string(rune('1'+i))
		v.addToList(id, id, instances.KindNode, layout.failureDomain(i))
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

// stop thaws all frozen components and stops the fleet.
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
	// Background calls that requests have left behind end by their timeouts.
	time.Sleep(10 * time.Second)
}

// heldBytes returns the memory held on all engines together.
func (v *virtualFleet) heldBytes() int64 {
	total := int64(0)
	for _, e := range v.engines {
		total += e.HeldBytes()
	}
	return total
}

// response is the response to a caller's request.
type response struct {
	status int
	body   string
	// ran is the value of the field "ran" of an error response; empty if none.
	ran string
	// id is the request id.
	id   string
	took time.Duration
	// broken is true if the node aborted the connection.
	broken bool
}

// send sends a POST request to a node and waits for the response.
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
		// The handler panics with http.ErrAbortHandler to abort the connection.
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
