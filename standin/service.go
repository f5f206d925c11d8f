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

// ServiceSettings configures a Service.
type ServiceSettings struct {
	// Instance is the name of the endpoint's incarnation.
	Instance string
	// Work is how long a call takes; the default is 5ms.
	Work time.Duration
}

const defaultCallTime = 5 * time.Millisecond

// Service simulates a plain service. It implements plain.Client.
type Service struct {
	instance string
	work     time.Duration

	mu       sync.Mutex
	faults   Faults
	unfrozen chan struct{}
	calls    map[string]int
	// executed holds the IDs of the requests whose calls took effect.
	executed map[string]bool
	crashes  int
}

// Echo is the JSON body of a service's answer.
type Echo struct {
	// Path is the path of the call.
	Path string `json:"path"`
	// SHA256 is the hash of the received body in hexadecimal.
	SHA256 string `json:"sha256"`
}

// NewService returns a service without faults.
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

// SetFaults replaces the faults.
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

// Faults returns the current faults.
func (v *Service) Faults() Faults {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.faults
}

// Crashes returns how many calls have crashed the service.
func (v *Service) Crashes() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.crashes
}

// Calls returns how many calls with the given body took effect.
func (v *Service) Calls(body []byte) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls[hash(body)]
}

// Ran reports whether a call with the given request ID took effect.
func (v *Service) Ran(request string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.executed[request]
}

// hash returns the SHA-256 of a body in hexadecimal.
func hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Probe implements plain.Client. It waits while the service is frozen.
func (v *Service) Probe(ctx context.Context) error {
	v.mu.Lock()
	dead, unfrozen := v.faults.Dead, v.unfrozen
	v.mu.Unlock()
	if dead {
		return errors.New("connection refused")
	}
	select {
	case <-unfrozen:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callError returns a plain.CallError with the given reason.
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
	// Encoding an Echo cannot fail.
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

// begin records that a call takes effect. It returns an error and records nothing if the call
// names another incarnation or a fault prevents the call. With the fault RefuseAfter it records
// the call and returns an error.
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

// loseAnswer returns an error if the fault LoseAnswer occurs.
func (v *Service) loseAnswer() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if consume(&v.faults.LoseAnswer) {
		return callError(problem.MayHaveRun, "connection broke")
	}
	return nil
}

// Handler serves GET /healthz as a probe, PUT /faults to set the faults, and all other requests as
// calls.
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

// serveCall serves an HTTP request as a call. If the call failed and may have run, it aborts
// the connection.
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
		// The call took effect even if the caller has disconnected.
		_, _ = w.Write(a.Body)
	}
}

// AllCalls returns how many calls took effect for each body, by the body's SHA-256 in
// hexadecimal.
func (v *Service) AllCalls() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.calls)
}
