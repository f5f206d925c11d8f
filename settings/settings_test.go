// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const valid = `id = "n1"
region = "r1"
failure_domain = "d1"
[platform]
log = "10.0.0.1:7000"
instances = "10.0.0.1:7001"
`

// TestParse guards against missing defaults.
func TestParse(t *testing.T) {
	is := is.New(t)
	f, err := Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(f.Listen, defaultListen)
	is.Equal(time.Duration(f.Times.Drain), defaultDrain)
	is.Equal(f.Strategy, Weighed)
	is.True(*f.LogDecisions)
	is.True(*f.Times.RevokeStrict)
}

// TestParseRefuses guards against the acceptance of invalid settings, and against errors that
// don't name all of them.
func TestParseRefuses(t *testing.T) {
	for _, c := range []struct {
		name, old, new, reason string
	}{
		{"no id", `id = "n1"`, ``, "id is missing"},
		{"no log", `log = "10.0.0.1:7000"`, ``, "platform.log must be a host and port"},
		{"unknown key", `region`, "colour = 1\nregion", "colour"},
		{"malformed duration", `[platform]`, "[times]\ndrain = \"soon\"\n[platform]", "drain"},
		{"negative", `[platform]`, "[times]\ndrain = \"-1s\"\n[platform]", "times.drain"},
		{"incomplete TLS files", `[platform]`, "[tls]\nkey = \"k\"\n[platform]", "tls needs"},
		{"unknown strategy", `region`, "strategy = \"odd\"\nregion", "strategy"},
		{"not TOML", `[platform]`, "[platform", "2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.reason) {
				t.Errorf("got %v, want %q", err, c.reason)
			}
		})
	}
	t.Run("all at once", func(t *testing.T) {
		_, err := Parse(nil)
		if err == nil || strings.Count(err.Error(), "\n") < 3 {
			t.Errorf("got %v", err)
		}
	})
}

// TestParseStore guards against the rejection of settings without a log and a list of instances
// on a platform with a store, and against the acceptance of invalid values.
func TestParseStore(t *testing.T) {
	const store = `id = "n1"
region = "r1"
failure_domain = "d1"
processor_share = 0.4
[platform]
store = "10.0.0.1:7000"
[retries]
ratio = 0.2
extra = 100
window = "10s"
[cold]
overage = 1.5
slack = 5
[times]
revoke = "5000ms"
revoke_strict = false
stop_within = "8s"
`
	t.Run("valid", func(t *testing.T) {
		is := is.New(t)
		f, err := Parse([]byte(store))
		is.NoErr(err)
		is.Equal(f.Platform.Store, "10.0.0.1:7000")
		is.Equal(f.ReadyListen, defaultReady)
		is.Equal(f.Retries.Extra, 100.0)
		is.Equal(f.Cold.Overage, 1.5)
		is.Equal(f.Cold.Slack, 5.0)
		is.Equal(time.Duration(f.Times.Revoke), 5*time.Second)
		is.True(!*f.Times.RevokeStrict)
	})
	for _, c := range []struct {
		name, old, new, reason string
	}{
		{"no port", `10.0.0.1:7000`, `10.0.0.1`, "platform.store must be a host and port"},
		{"negative share", `processor_share = 0.4`, `processor_share = -1`, "processor_share must not be below zero"},
		{"increasing worth of routes", `[retries]`, "[worth]\nroutes = [1, 2]\n[retries]", "worth.routes must be above zero"},
		{"negative budget", `extra = 100`, `extra = -1`, "retries.extra must not be below zero"},
		{"negative overage", `overage = 1.5`, `overage = -1.5`, "cold.overage must not be below zero"},
		{"negative slack", `slack = 5`, `slack = -5`, "cold.slack must not be below zero"},
		{"strictness is a string", `revoke_strict = false`, `revoke_strict = "no"`, "revoke_strict"},
		{"negative time", `5000ms`, `-1s`, "times.revoke must not be below zero"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(store, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.reason) {
				t.Errorf("got %v, want %q", err, c.reason)
			}
		})
	}
}
