// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/route"
)

// TestAwaitConfiguration guards against requests that fail although a configuration is about to
// arrive, and against first tries that wait for one.
func TestAwaitConfiguration(t *testing.T) {
	const never = time.Hour
	for _, row := range []struct {
		name string
		wait time.Duration
		// known is when the configuration arrives, and aged when its age becomes known.
		known time.Duration
		aged  time.Duration
		// common states that another request has named the same timeout.
		common bool
		strict bool
		// want is the expected wait, and served whether a snapshot is returned.
		want   time.Duration
		served bool
	}{
		{"configuration available", time.Second, 0, 0, false, true, 0, true},
		{"configuration arrives later", 10 * time.Second, time.Second, 0, false, true, time.Second, true},
		{"age arrives later", 10 * time.Second, 0, time.Second, false, true, time.Second, true},
		{"age does not matter", 10 * time.Second, 0, never, false, false, 0, true},
		{"no configuration in time", 10 * time.Second, never, 0, false, true, 4 * time.Second, false},
		{"first try does not wait", 10 * time.Second, never, 0, true, true, 0, false},
		{"no timeout", 0, never, 0, false, true, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				l := New(Settings{
					StrictKeys: row.strict,
				}, Parts{
					Snapshot: func() *catalog.Snapshot {
						if time.Since(began) < row.known {
							return nil
						}
						return &catalog.Snapshot{}
					},
					Age: func() (time.Duration, bool) { return 0, time.Since(began) >= row.aged },
				})
				got := l.awaitConfiguration(t.Context(), row.wait, row.common)
				is.Equal(got.snapshot != nil, row.served)
				took := time.Since(began)
				is.True(took >= row.want)
				is.True(took <= row.want+2*configPollInterval)
			})
		})
	}
}

// TestAgeOfReplacedConfiguration guards against decisions by an old configuration that is taken for
// the newest, because its successor is confirmed while a request is admitted.
func TestAgeOfReplacedConfiguration(t *testing.T) {
	const maxAge = 4 * time.Second
	old := &catalog.Snapshot{
		Table: route.New(1, []route.Route{{
			Host:   "api.example",
			Prefix: "/safe/",
			Shares: []route.Share{{
				Service: "plain",
				Weight:  1,
			}},
		}}, nil, []route.Customer{{
			ID:   "c1",
			Keys: []string{"revoked"},
		}}, true, route.Limits{}),
	}
	for _, row := range []struct {
		name, path, key string
	}{
		{"key revoked since", "/safe/x", "revoked"},
		{"key added since", "/safe/x", "added"},
		{"route added since", "/added/x", "revoked"},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			confirmed := false
			l := New(Settings{
				StrictKeys: true,
				MaxAge:     maxAge,
			}, Parts{
				Snapshot: func() *catalog.Snapshot {
					// The successor is applied and confirmed as soon as the old one was taken.
					confirmed = true
					return old
				},
				Age: func() (time.Duration, bool) {
					if confirmed {
						return 0, true
					}
					return maxAge, true
				},
			})
			r := httptest.NewRequest(http.MethodGet, row.path, nil)
			r.Host = "api.example"
			_, refused := l.admit(httptest.NewRecorder(), RequestHead{
				ID:   "r",
				Key:  row.key,
				Wait: time.Second,
			}, r, time.Now())
			is.True(refused != nil)
			is.Equal(refused.status, http.StatusServiceUnavailable)
			is.True(refused.after > 0)
		})
	}
}

// TestConfigWaitersBounded guards against unbounded memory: requests beyond maxConfigWaiters
// must return at once.
func TestConfigWaitersBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(Settings{}, Parts{
			Snapshot: func() *catalog.Snapshot { return nil },
			Age:      func() (time.Duration, bool) { return 0, false },
		})
		const more = 10
		var atOnce atomic.Int64
		began := time.Now()
		var all sync.WaitGroup
		for range maxConfigWaiters + more {
			all.Go(func() {
				l.awaitConfiguration(t.Context(), time.Minute, false)
				if time.Since(began) == 0 {
					atOnce.Add(1)
				}
			})
		}
		all.Wait()
		is.Equal(atOnce.Load(), int64(more))
		is.Equal(l.configWaiters.Load(), int64(0))
	})
}

// TestRetryAfterOutage guards against callers that return during the same outage, or all at
// once.
func TestRetryAfterOutage(t *testing.T) {
	for _, row := range []struct {
		name string
		// age is the age of the configuration if known is set, and up how long the instance has
		// run.
		age   time.Duration
		known bool
		up    time.Duration
		wait  time.Duration
		want  time.Duration
	}{
		{"just started", 0, false, 0, time.Minute, minOutage},
		{"started in an outage", 0, false, 4 * time.Second, time.Minute, 4 * time.Second},
		{"old configuration", 6 * time.Second, true, time.Hour, time.Minute, 6 * time.Second},
		{"cut to the caller's limit", 6 * time.Second, true, time.Hour, 12 * time.Second, 2 * time.Second},
		{"no timeout", 0, false, 0, 0, minOutage},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := New(Settings{}, Parts{
					Age: func() (time.Duration, bool) { return row.age, row.known },
				})
				time.Sleep(row.up)
				seen := make(map[time.Duration]bool)
				for range 100 {
					after := l.retryAfterOutage(row.wait)
					is.True(after >= row.want)
					is.True(after < 2*row.want)
					is.True(row.wait == 0 || after <= row.wait/3)
					seen[after] = true
				}
				is.True(len(seen) > 50) // the times are spread out
			})
		})
	}
}
