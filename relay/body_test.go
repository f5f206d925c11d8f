// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/route"
)

// bodyLimit is the configured limit of a body in tests, and roomForBodies the memory for all bodies.
const (
	bodyLimit     = 3 * firstBlock
	roomForBodies = 4 * firstBlock
)

// jobWithLimit returns a job whose configuration limits bodies to bodyLimit.
func jobWithLimit() *job {
	return &job{
		table: &route.Table{
			Limits: route.Limits{
				BodyBytes: bodyLimit,
			},
		},
	}
}

// TestBodyMemory guards against bodies that take more memory than allowed together, and against memory
// that isn't given back.
func TestBodyMemory(t *testing.T) {
	for _, row := range []struct {
		name string
		size int
		// chunked states that the body comes without its length, in single bytes.
		chunked bool
		// held is the memory that other bodies take.
		held   int64
		status int
	}{
		{"empty", 0, false, 0, 0},
		{"empty, without its length", 0, true, 0, 0},
		{"one block", firstBlock, false, 0, 0},
		{"at the limit", bodyLimit, false, 0, 0},
		{"at the limit, without its length", bodyLimit, true, 0, 0},
		{"above the limit", bodyLimit + 1, false, 0, http.StatusRequestEntityTooLarge},
		{"above the limit, without its length", bodyLimit + 1, true, 0, http.StatusRequestEntityTooLarge},
		{"small one beside others", 100, false, 3 * firstBlock, 0},
		{"no room", bodyLimit, false, 2 * firstBlock, http.StatusServiceUnavailable},
		{"no room, without its length", bodyLimit, true, 2 * firstBlock, http.StatusServiceUnavailable},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			m := &bodyMemory{
				limit: roomForBodies,
			}
			is.True(m.take(row.held))
			text := strings.Repeat("a", row.size)
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(text))
			if row.chunked {
				r = httptest.NewRequest(http.MethodPost, "/", iotest.OneByteReader(strings.NewReader(text)))
				r.ContentLength = -1
			}
			j := jobWithLimit()
			refused := j.read(r, m)
			is.True(m.held.Load() <= roomForBodies)
			if row.status == 0 {
				is.Equal(refused, nil)
				is.Equal(string(j.body), text)
			} else {
				is.Equal(refused.status, row.status)
			}
			j.releaseBody(m)
			is.Equal(m.held.Load(), row.held)
		})
	}
}

// TestBodyCutShort guards against a body that ends before its stated length and looks complete.
func TestBodyCutShort(t *testing.T) {
	is := is.New(t)
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("abc"))
	r.ContentLength = 4
	refused := jobWithLimit().read(r, &bodyMemory{})
	is.Equal(refused.status, http.StatusBadRequest)
}
