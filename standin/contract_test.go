// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package standin

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/logsvc"
	"github.com/linkmast/linkmast/plain"
	"github.com/linkmast/linkmast/problem"
	"github.com/linkmast/linkmast/weights"
)

// engineClients returns the clients that reach an engine directly and over HTTP, so that each
// contract test covers the stand-in itself and the HTTP client of package engine.
func engineClients(t *testing.T, e *Engine) map[string]engine.Client {
	t.Helper()
	s := httptest.NewServer(e.Handler())
	t.Cleanup(s.Close)
	return map[string]engine.Client{
		"direct": e,
		"http":   engine.NewHTTP(wirehttp.Client(), strings.TrimPrefix(s.URL, "http://")),
	}
}

// newTestEngine starts a fast engine that refuses orders with stale fences.
func newTestEngine(t *testing.T) *Engine {
	t.Helper()
	e := NewEngine(EngineSettings{
		Instance:               "e1-1",
		Model:                  "m1",
		PrefillTokensPerSecond: 1e7,
		DecodeStep:             time.Millisecond,
		ChecksOrders:           true,
	})
	t.Cleanup(e.Stop)
	return e
}

// attempt returns an attempt whose prompt depends on its ID.
func attempt(id string) engine.Attempt {
	return engine.Attempt{
		ID:        id,
		Holder:    "n1",
		Instance:  "e1-1",
		Model:     "m1",
		Prompt:    "prompt of " + id,
		MaxTokens: 5,
	}
}

// collect reads a stream to its end and returns the text.
func collect(s engine.Stream, id string) (string, error) {
	c := engine.AnswerChecker{
		Attempt: id,
	}
	text := ""
	for {
		k, err := s.Next()
		if errors.Is(err, io.EOF) && c.Ended() {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		if fresh, err := c.Accept(k); err != nil {
			return text, err
		} else if fresh {
			text += k.Text
		}
	}
}

// TestEngineContract guards against an engine, or an HTTP client of one, that reports wrongly
// under faults whether an attempt has started or its answer is complete.
func TestEngineContract(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults Faults
		change func(*engine.Attempt)
		// refused is the field Ran of the error that Run must return; empty if Run must succeed.
		// broken is true if the stream fails before the end of the answer.
		refused problem.Ran
		broken  bool
		starts  int
	}{
		{"complete", Faults{}, nil, "", false, 1},
		{"wrong instance", Faults{}, func(a *engine.Attempt) { a.Instance = "e1-0" }, problem.NotRun, false, 0},
		{"any instance", Faults{}, func(a *engine.Attempt) { a.Instance = "" }, "", false, 1},
		{"wrong model", Faults{}, func(a *engine.Attempt) { a.Model = "m2" }, problem.NotRun, false, 0},
		{"too large", Faults{}, func(a *engine.Attempt) { a.MaxTokens = 1 << 30 }, problem.NotRun, false, 0},
		{"refused before", Faults{RefuseBefore: 1}, nil, problem.NotRun, false, 0},
		{"refused after", Faults{RefuseAfter: 1}, nil, problem.MayHaveRun, false, 1},
		{"answer lost", Faults{LoseAnswer: 1}, nil, problem.MayHaveRun, false, 1},
		{"cut", Faults{CutAfter: 2}, nil, "", true, 1},
		{"chunk missing", Faults{DropChunks: 1}, nil, "", true, 1},
		{"chunk crossed", Faults{CrossChunks: 1}, nil, "", true, 1},
		{"chunk doubled", Faults{DoubleChunks: 1}, nil, "", false, 1},
		{"end missing", Faults{DropEnd: 1}, nil, "", true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newTestEngine(t)
			for way, client := range engineClients(t, e) {
				t.Run(way, func(t *testing.T) {
					is := is.New(t)
					e.SetFaults(c.faults)
					a := attempt(way)
					if c.change != nil {
						c.change(&a)
					}
					s, err := client.Run(t.Context(), a)
					is.Equal(e.Started(a.Prompt), c.starts)
					if c.refused != "" {
						var re *engine.RunError
						is.True(errors.As(err, &re))
						is.Equal(re.Ran, c.refused)
						return
					}
					is.NoErr(err)
					defer s.Close()
					text, err := collect(s, a.ID)
					is.Equal(err != nil, c.broken)
					if !c.broken {
						is.Equal(text, Answer(a.Prompt, 5))
					}
				})
			}
		})
	}
}

// TestEngineMemoryContract guards against memory of attempts and reservations that is not
// counted, counted twice or not released.
func TestEngineMemoryContract(t *testing.T) {
	e := newTestEngine(t)
	for way, client := range engineClients(t, e) {
		t.Run(way, func(t *testing.T) {
			is := is.New(t)
			ctx := t.Context()
			a := attempt("long " + way)
			a.MaxTokens = 100_000
			s, err := client.Run(ctx, a)
			is.NoErr(err)
			defer s.Close()
			is.NoErr(client.Reserve(ctx, engine.Reservation{ID: "r", Holder: "n1", Tokens: 10}))
			is.NoErr(client.Reserve(ctx, engine.Reservation{ID: "r", Holder: "n1", Tokens: 10})) // a repeated reservation has no effect
			st, err := client.Status(ctx, true)
			is.NoErr(err)
			is.Equal(len(st.Running), 2)
			is.True(st.HeldBytes > 100_000*1024)
			is.Equal(st.Digest, engine.Digest(func(yield func(string) bool) { _ = yield(a.ID) && yield("r") }))
			brief, err := client.Status(ctx, false)
			is.NoErr(err)
			is.Equal(len(brief.Running), 0)
			is.Equal(brief.Digest, st.Digest)
			again, err := client.Resume(ctx, a.ID, 3)
			is.NoErr(err)
			k, err := again.Next()
			is.NoErr(err)
			is.Equal(k.Seq, 3)
			again.Close()
			for range 2 { // a repeated cancel is no error
				is.NoErr(client.Cancel(ctx, a.ID))
				is.NoErr(client.Cancel(ctx, "r"))
			}
			is.Equal(e.HeldBytes(), int64(0))
			_, err = client.Resume(ctx, a.ID, 1)
			is.True(err != nil)
		})
	}
}

// TestEngineOrderContract guards against orders with a stale fence taking effect.
func TestEngineOrderContract(t *testing.T) {
	e := newTestEngine(t)
	fence := int64(10)
	for way, client := range engineClients(t, e) {
		t.Run(way, func(t *testing.T) {
			is := is.New(t)
			fence += 10
			is.NoErr(client.Order(t.Context(), engine.Order{Fence: fence, Model: "m1", Version: "2"}))
			err := client.Order(t.Context(), engine.Order{Fence: fence - 1, Model: "m1", Version: "1"})
			var re *engine.RunError
			is.True(errors.As(err, &re))
			is.Equal(re.Code, engine.RefusedFence)
			s, err := client.Status(t.Context(), false)
			is.NoErr(err)
			is.Equal(s.Version, "2")
		})
	}
}

// TestLogContract guards against appends whose outcome is reported wrongly and reads that miss
// records.
func TestLogContract(t *testing.T) {
	p := NewPlatform(LogSettings{AppendsPerSecond: 1000})
	s := httptest.NewServer(p.Handler())
	defer s.Close()
	for way, log := range map[string]logsvc.Log{
		"direct": p.Log,
		"http":   logsvc.NewHTTP(wirehttp.Client(), strings.TrimPrefix(s.URL, "http://")),
	} {
		t.Run(way, func(t *testing.T) {
			is := is.New(t)
			ctx := t.Context()
			at, err := log.Append(ctx, way, [][]byte{[]byte("a"), []byte("b")})
			is.NoErr(err)
			is.Equal(at, int64(1))
			b, err := log.Read(ctx, way, 2, 0)
			is.NoErr(err)
			is.Equal(len(b.Records), 1)
			is.Equal(string(b.Records[0].Data), "b")
			is.Equal(b.Next, int64(3))
			p.Log.SetFaults(Faults{LoseAnswer: 1})
			_, err = log.Append(ctx, way, [][]byte{[]byte("c")})
			is.True(logsvc.IsUnknown(err)) // the append took effect nevertheless
			b, err = log.Read(ctx, way, 3, time.Second)
			is.NoErr(err)
			is.Equal(string(b.Records[0].Data), "c")
			p.Log.SetFaults(Faults{Outage: true})
			_, err = log.Append(ctx, way, [][]byte{[]byte("d")})
			is.True(err != nil && !logsvc.IsUnknown(err))
			_, err = log.Read(ctx, way, 1, 0)
			is.True(err != nil)
			p.Log.SetFaults(Faults{})
			go func() {
				time.Sleep(20 * time.Millisecond)
				log.Append(context.Background(), way, [][]byte{[]byte("e")})
			}()
			b, err = log.Read(ctx, way, 4, 5*time.Second) // waits until the record is appended
			is.NoErr(err)
			is.Equal(string(b.Records[0].Data), "e")
		})
	}
}

// TestInstancesContract guards against wrong lists of instances and wrong changes between two
// versions of the list.
func TestInstancesContract(t *testing.T) {
	p := NewPlatform(LogSettings{})
	s := httptest.NewServer(p.Handler())
	defer s.Close()
	for way, l := range map[string]instances.Lister{
		"direct": p.Instances,
		"http":   instances.NewHTTP(wirehttp.Client(), strings.TrimPrefix(s.URL, "http://")),
	} {
		t.Run(way, func(t *testing.T) {
			is := is.New(t)
			p.Instances.Put(instances.Instance{ID: "a", State: instances.Live})
			p.Instances.Put(instances.Instance{ID: "b", State: instances.Live})
			whole, err := l.List(t.Context(), 0)
			is.NoErr(err)
			is.Equal(len(whole.Instances), 2)
			p.Instances.Put(instances.Instance{ID: "b", State: instances.Leaving})
			p.Instances.Remove("a")
			change, err := l.List(t.Context(), whole.Version)
			is.NoErr(err)
			is.Equal(change.Since, whole.Version)
			is.Equal(change.Removed, []string{"a"})
			now := whole.Apply(change)
			is.Equal(len(now.Instances), 1)
			is.Equal(now.Instances[0].State, instances.Leaving)
			unknown, err := l.List(t.Context(), 1<<40) // a version that never existed
			is.NoErr(err)
			is.Equal(unknown.Since, int64(0))
			p.Instances.SetFaults(Faults{Outage: true})
			_, err = l.List(t.Context(), 0)
			is.True(err != nil)
			p.Instances.SetFaults(Faults{})
		})
	}
}

// TestWeightsContract guards against permits beyond the rate limit, and outages reported as
// rate limiting.
func TestWeightsContract(t *testing.T) {
	for _, way := range []string{"direct", "http"} {
		t.Run(way, func(t *testing.T) {
			is := is.New(t)
			p := NewPlatform(LogSettings{})
			s := httptest.NewServer(p.Handler())
			defer s.Close()
			var store weights.Store = p.Weights
			if way == "http" {
				store = weights.NewHTTP(wirehttp.Client(), strings.TrimPrefix(s.URL, "http://"))
			}
			permit, err := store.Permit(t.Context(), "m1", "2")
			is.NoErr(err)
			is.True(permit.Bytes > 0)
			_, err = store.Permit(t.Context(), "m1", "2")
			var limited *weights.LimitedError
			is.True(errors.As(err, &limited))
			is.True(limited.After > 0)
			p.Weights.SetFaults(Faults{Outage: true})
			_, err = store.Permit(t.Context(), "m1", "2")
			is.True(err != nil && !errors.As(err, &limited))
		})
	}
}

// TestPlainContract guards against a plain service, or an HTTP client of one, that reports wrongly
// under faults whether a call took effect.
func TestPlainContract(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults Faults
		ran    problem.Ran
		calls  int
	}{
		{"answered", Faults{}, "", 1},
		{"refused before", Faults{RefuseBefore: 1}, problem.NotRun, 0},
		{"refused after", Faults{RefuseAfter: 1}, problem.MayHaveRun, 1},
		{"answer lost", Faults{LoseAnswer: 1}, problem.MayHaveRun, 1},
	} {
		for _, way := range []string{"direct", "http"} {
			t.Run(c.name+"/"+way, func(t *testing.T) {
				is := is.New(t)
				v := NewService(ServiceSettings{Instance: "s1-1"})
				s := httptest.NewServer(v.Handler())
				defer s.Close()
				var client plain.Client = v
				if way == "http" {
					client = plain.NewHTTP(wirehttp.Client(), strings.TrimPrefix(s.URL, "http://"))
				}
				v.SetFaults(c.faults)
				_, err := client.Call(t.Context(), plain.Call{
					Instance: "s1-1",
					Method:   "POST",
					Path:     "/bids",
					Body:     []byte("x"),
				})
				is.Equal(v.Calls([]byte("x")), c.calls)
				if c.ran == "" {
					is.NoErr(err)
					return
				}
				var ce *plain.CallError
				is.True(errors.As(err, &ce))
				is.Equal(ce.Ran, c.ran)
			})
		}
	}
}
