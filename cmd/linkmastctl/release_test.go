// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/platform"
	"github.com/linkmast/linkmast/platform/platformtest"
	"github.com/linkmast/linkmast/quarantine"
)

// TestRelease checks that the command erases exactly the bans that it names, and its exit
// codes for invalid arguments and an unreachable store.
func TestRelease(t *testing.T) {
	for _, row := range []struct {
		name string
		args []string
		away bool
		code int
		left bool
	}{
		{"one identity", []string{"1f"}, false, exitOK, false},
		{"several identities", []string{"2e", "1f"}, false, exitOK, false},
		{"identity that is not banned", []string{"2e"}, false, exitOK, true},
		{"invalid identity", []string{"1f", "no identity"}, false, exitFailed, true},
		{"no identity", nil, false, exitUsage, true},
		{"unreachable store", []string{"1f"}, true, exitFailed, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			store := platformtest.NewStore()
			server := httptest.NewServer(store)
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			is.NoErr(platform.NewStore(wirehttp.Client(), address).RecordBan(t.Context(), quarantine.Verdict{
				Identity:  0x1f,
				State:     quarantine.Banned,
				Remaining: time.Minute,
				BanCount:  1,
			}))
			store.SetFaults(platformtest.StoreFaults{
				Refuse: row.away,
			})
			is.Equal(run(append([]string{"release", "--store", address}, row.args...)), row.code)
			is.Equal(store.HasKeyPrefix(platformtest.TopicPeers, "ban/1f"), row.left)
		})
	}
}
