// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/settings"
)

// TestSettingsWrittenDuringStart guards against an instance that ends because its settings are not written
// completely while it starts.
func TestSettingsWrittenDuringStart(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		name string
		// keep is the share of the file that exists at the start.
		keep float64
	}{
		{"missing", -1},
		{"empty", 0},
		{"cut", 0.3},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, startStore(t))
			text := h.settings(t)
			path := filepath.Join(t.TempDir(), "settings.toml")
			if row.keep >= 0 {
				if err := os.WriteFile(path, []byte(text[:int(row.keep*float64(len(text)))]), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			p := startProgram(t, h, path)
			p.wantLine("waiting for settings")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			p.wantServing()
			p.wantStops()
		})
	}
}

// TestSettingsCutOff guards against settings that are cut off while they are written and look complete.
func TestSettingsCutOff(t *testing.T) {
	h := newHost(t, "127.0.0.1:1")
	text := strings.TrimSpace(h.settings(t))
	for n := range len(text) {
		if _, err := settings.Parse([]byte(text[:n])); err == nil {
			t.Fatalf("settings are valid without their last %d bytes:\n%s", len(text)-n, text[:n])
		}
	}
}

// TestSettingsWithoutOptionalFields guards against settings that are invalid because the platform leaves
// fields out.
func TestSettingsWithoutOptionalFields(t *testing.T) {
	is := is.New(t)
	h := newHost(t, "127.0.0.1:1")
	fields := h.fields()
	whole, err := settings.Parse([]byte(render(t, fields)))
	is.NoErr(err)
	is.True(*whole.Times.RevokeStrict)
	is.True(whole.FirstStart)
	is.Equal(whole.MemoryMB, 284.0)
	for name := range fields {
		if !strings.HasPrefix(name, "limits.") && !strings.HasPrefix(name, "bounds.") && name != "bootstrap" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for _, v := range []string{"", "false"} {
				less := maps.Clone(fields)
				less[name] = v
				if _, err := settings.Parse([]byte(render(t, less))); err != nil {
					t.Error(err)
				}
			}
		})
	}
	fields["bounds.strict_revoke"] = "false"
	lenient, err := settings.Parse([]byte(render(t, fields)))
	is.NoErr(err)
	is.True(!*lenient.Times.RevokeStrict)
}

// TestInvalidSettings guards against an instance that waits for settings that stay invalid.
func TestInvalidSettings(t *testing.T) {
	t.Parallel()
	h := newHost(t, "")
	p := startProgram(t, h, writeSettings(t, h.settings(t)+"[unknown]\nkey = 1\n"))
	p.wantExit(exitUsage, readyWithin)
}
