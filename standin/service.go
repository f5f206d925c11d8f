// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/plain"
	"github.com/linkmast/linkmast/problem"
)

// ServiceSettings are the measures of a stand-in plain service.
type ServiceSettings struct {
	// Instance names the endpoint instance.
	Instance string
	// Work is how long a call takes; the default is 5ms.
	Work time.Duration
}

const defaultCallTime = 5 * time.Millisecond

// Service is a stand-in plain service. It implements plain.Client.
type Service struct {
	instance string
	work     time.Duration

	mu       sync.Mutex
	faults   Faults
	unfrozen chan struct{}
	calls    map[string]int
	// executed are the ids of the calls that took effect.
	executed map[string]bool
	crashes  int
}

// Echo is the body of a stand-in's answer.
type Echo struct {
	// Path is the path that was called.
	Path string `json:"path"`
	// SHA256 is the hash of the body that was received.
	SHA256 string `json:"sha256"`
}

// NewService returns a stand-in plain service.
func NewService(s ServiceSettings) *Service {
	if s.Work == 0 {
		s.Work = defaultCallTime
	}
	v := &Service{
		instance: s.Instance,
		work:     s.Work,
		unfrozen: make(chan struct{}),
		calls:    make(map[string]int),
		executed: make(map[string]bool),
	}
	close(v.unfrozen)
	return v
}

// SetFaults changes what goes wrong from now on.
func (v *Service) SetFaults(f Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	was := v.faults.Frozen
	v.faults = f
	if f.Frozen && !was {
		v.unfrozen = make(chan struct{})
	}
	if !f.Frozen && was {
		close(v.unfrozen)
	}
}

// Faults returns what goes wrong now.
func (v *Service) Faults() Faults {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.faults
}

// Crashes returns how often a call has ended the service.
func (v *Service) Crashes() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.crashes
}

// Calls returns how often a body took effect.
func (v *Service) Calls(body []byte) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls[hash(body)]
}

// Ran states whether the call of a request took effect.
func (v *Service) Ran(request string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.executed[request]
}

func hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Probe implements plain.Client.
func (v *Service) Probe(ctx context.Context) error {
	v.mu.Lock()
	dead, thawed := v.faults.Dead, v.unfrozen
	v.mu.Unlock()
	if dead {
		return errors.New("connection refused")
	}
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func callError(ran problem.Ran, reason string) *plain.CallError {
	return &plain.CallError{
		Ran: ran,
		Err: errors.New(reason),
	}
}

// Call implements plain.Client.
func (v *Service) Call(ctx context.Context, c plain.Call) (plain.Answer, error) {
	if err := v.Probe(ctx); err != nil {
		if ctx.Err() != nil {
			return plain.Answer{}, callError(problem.MayHaveRun, "no answer")
		}
		return plain.Answer{}, callError(problem.NotRun, "connection refused")
	}
	if err := v.begin(c); err != nil {
		return plain.Answer{}, err
	}
	select {
	case <-time.After(v.work):
	case <-ctx.Done():
		return plain.Answer{}, callError(problem.MayHaveRun, "caller has gone")
	}
	if err := v.loseAnswer(); err != nil {
		return plain.Answer{}, err
	}
	// An Echo always encodes.
	body, _ := json.Marshal(Echo{
		Path:   c.Path,
		SHA256: hash(c.Body),
	})
	return plain.Answer{
		Status:      http.StatusOK,
		ContentType: "application/json",
		Body:        body,
	}, nil
}

// begin lets a call take effect, unless a fault or a wrong instance keeps it
// from that.
func (v *Service) begin(c plain.Call) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.Instance != "" && c.Instance != v.instance {
		return callError(problem.NotRun, "this is instance "+v.instance)
	}
	if consume(&v.faults.RefuseBefore) {
		return callError(problem.NotRun, "refused before the start")
	}
	if v.faults.crashesOn(string(c.Body)) {
		v.crashes++
		v.faults.Dead = true
		return callError(problem.MayHaveRun, "connection broke")
	}
	v.calls[hash(c.Body)]++
	v.executed[c.Request] = true
	if consume(&v.faults.RefuseAfter) {
		return callError(problem.MayHaveRun, "refused after the start")
	}
	return nil
}

func (v *Service) loseAnswer() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if consume(&v.faults.LoseAnswer) {
		return callError(problem.MayHaveRun, "connection broke")
	}
	return nil
}

// Handler serves every path as a call, GET /healthz as a probe, and PUT
// /faults.
func (v *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(_ http.ResponseWriter, r *http.Request) {
		if err := v.Probe(r.Context()); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	mux.HandleFunc("/", v.serveCall)
	serveFaults(mux, v.SetFaults)
	return mux
}

func (v *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a, err := v.Call(r.Context(), plain.Call{
		Request:  r.Header.Get(plain.RequestHeader),
		Instance: r.Header.Get(plain.InstanceHeader),
		Method:   r.Method,
		Path:     r.URL.RequestURI(),
		Body:     body,
	})
	var e *plain.CallError
	switch {
	case errors.As(err, &e) && e.Ran == problem.NotRun:
		w.Header().Set(plain.StartedHeader, "false")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Content-Type", a.ContentType)
		w.WriteHeader(a.Status)
		// The caller may have gone; the call took effect all the same.
		_, _ = w.Write(a.Body)
	}
}

// AllCalls returns how often each body took effect, by its SHA-256.
func (v *Service) AllCalls() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.calls)
}
