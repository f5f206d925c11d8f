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
