// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
)

// TestAwaitKnown looks how long a request waits for the first configuration and its age.
func TestAwaitKnown(t *testing.T) {
	for _, row := range []struct {
		name   string
		wait   time.Duration
		known  time.Duration
		aged   time.Duration
		want   time.Duration
		served bool
		strict bool
	}{
		{"known at once", time.Second, 0, 0, 0, true, true},
		{"known soon", 10 * time.Second, 200 * time.Millisecond, 0, 200 * time.Millisecond, true, true},
		{"age comes later", 10 * time.Second, 0, 300 * time.Millisecond, 300 * time.Millisecond, true, true},
		{"age does not matter", 10 * time.Second, 0, 300 * time.Millisecond, 0, true, false},
		{"not in time", 10 * time.Second, time.Hour, 0, startWithin, false, true},
		{"caller in a hurry", 800 * time.Millisecond, time.Hour, 0, 200 * time.Millisecond, false, true},
		{"caller does not say", 0, time.Hour, 0, startWithin, false, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				l := &Relay{
					settings: Settings{
						StrictKeys: row.strict,
					},
					parts: Parts{
						Known: func() *catalog.Snapshot {
							if time.Since(began) < row.known {
								return nil
							}
							return &catalog.Snapshot{}
						},
						Age: func() (time.Duration, bool) { return 0, time.Since(began) >= row.aged },
					},
				}
				got := l.awaitKnown(t.Context(), row.wait)
				is.Equal(got != nil, row.served)
				took := time.Since(began)
				is.True(took >= row.want)
				is.True(took <= row.want+2*startLook)
			})
		})
	}
}
