// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/pool"
)

// servePlain serves n requests one after the other, with pauses, and returns how many each
// endpoint got. took returns how long a request takes on an endpoint.
func servePlain(t *testing.T, s *pool.Scheduler, n int, took func(endpoint string) time.Duration) map[string]int {
	t.Helper()
	got := make(map[string]int)
	for i := range n {
		id := fmt.Sprint(time.Now().UnixNano(), "-", i)
		name := placePlain(t, s, id)
		got[name]++
		time.Sleep(took(name))
		s.FirstEvent(id, "plain")
		s.End(id, "plain", pool.Served, "")
		time.Sleep(50 * time.Millisecond)
	}
	return got
}

// measurePlain serves a request on each of three endpoints at the same time. It returns the
// endpoint that the instance prefers.
func measurePlain(t *testing.T, s *pool.Scheduler, took time.Duration) string {
	t.Helper()
	ids := []string{"one", "two", "three"}
	var got []string
	for _, id := range ids {
		got = append(got, placePlain(t, s, id))
	}
	time.Sleep(took)
	for _, id := range ids {
		s.FirstEvent(id, "plain")
		s.End(id, "plain", pool.Served, "")
	}
	return got[0]
}

// TestSlowPlainEndpointAvoided checks that an instance avoids a plain endpoint whose requests
// take far longer than on others, and tries it again later.
func TestSlowPlainEndpointAvoided(t *testing.T) {
	const usual = 30 * time.Millisecond
	for _, row := range []struct {
		name     string
		slowdown float64
		// avoided is set if the slow endpoint is avoided.
		avoided bool
	}{
		{"as quick as others", 1, false},
		{"a little slower", 1.5, false},
		{"far slower", 5, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newPlainSchedulers(1, 3)[0]
				preferred := measurePlain(t, s, usual)
				got := servePlain(t, s, 20, func(endpoint string) time.Duration {
					if endpoint == preferred {
						return time.Duration(row.slowdown * float64(usual))
					}
					return usual
				})
				if row.avoided {
					is.True(got[preferred] <= 2)
				} else {
					is.Equal(got[preferred], 20)
				}
				time.Sleep(6 * time.Second)
				is.Equal(placePlain(t, s, "again"), preferred)
			})
		})
	}
}
