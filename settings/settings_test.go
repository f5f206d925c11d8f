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

func TestParse(t *testing.T) {
	is := is.New(t)
	f, err := Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(f.Listen, defaultListen)
	is.Equal(time.Duration(f.Times.Drain), defaultDrain)
	is.Equal(f.Strategy, Weighed)
	is.True(*f.LogDecisions)
}

func TestParseRefuses(t *testing.T) {
	for _, c := range []struct {
		name, old, new, reason string
	}{
		{"no id", `id = "n1"`, ``, "id is missing"},
		{"no log", `log = "10.0.0.1:7000"`, ``, "platform.log must be a host and port"},
		{"unknown key", `region`, "colour = 1\nregion", "colour"},
		{"no duration", `[platform]`, "[times]\ndrain = \"soon\"\n[platform]", "drain"},
		{"negative", `[platform]`, "[times]\ndrain = \"-1s\"\n[platform]", "times.drain"},
		{"half of the keys", `[platform]`, "[tls]\nkey = \"k\"\n[platform]", "tls needs"},
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
