// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package settings

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// beforeRetries is a settings file up to a section, and valid without the rest.
const beforeRetries = `id = "n1"
region = "r1"
failure_domain = "d1"
[platform]
store = "127.0.0.1:1"
`

// whole is a complete settings file.
const whole = beforeRetries + "[retries]\nratio = 0.2\n"

// TestSettingsCutAfterSection guards against settings of which only the first sections are written yet.
func TestSettingsCutAfterSection(t *testing.T) {
	is := is.New(t)
	contents := []string{beforeRetries, whole}
	read := func(string) ([]byte, error) {
		data := contents[0]
		if len(contents) > 1 {
			contents = contents[1:]
		}
		return []byte(data), nil
	}
	young := func(string) bool { return true }
	_, err := settle("settings.toml", read, young)
	is.True(err != nil) // the reads differ
	data, err := settle("settings.toml", read, young)
	is.NoErr(err)
	is.Equal(string(data), whole)
}

// TestAwaitReportsOnce guards against settings that never become valid.
func TestAwaitReportsOnce(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.toml")
	is.NoErr(os.WriteFile(path, []byte("id = "), 0o600))
	reports := 0
	_, err := Await(t.Context(), path, func(error) { reports++ })
	is.True(err != nil)
	is.Equal(reports, 1)
}

// TestAwaitEndsWithContext guards against a wait that a termination doesn't end.
func TestAwaitEndsWithContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	began := time.Now()
	_, err := Await(ctx, filepath.Join(t.TempDir(), "missing.toml"), func(error) { cancel() })
	is.True(errors.Is(err, os.ErrNotExist))
	is.True(time.Since(began) < awaitTimeout/2)
}
