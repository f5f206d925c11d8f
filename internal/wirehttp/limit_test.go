// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package wirehttp_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/wirehttp"
)

// TestClientLimitsHeads guards against the heads of up to 10 MB that net/http accepts.
func TestClientLimitsHeads(t *testing.T) {
	for _, row := range []struct {
		name  string
		bytes int
		ok    bool
	}{
		{"large", 32 << 10, true},
		{"too large", 128 << 10, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Fill", strings.Repeat("x", row.bytes))
			}))
			defer s.Close()
			res, err := wirehttp.Client().Get(s.URL)
			is.Equal(err == nil, row.ok)
			if err == nil {
				is.NoErr(res.Body.Close())
			}
		})
	}
}

// endless is a JSON text without an end. It counts the bytes that were read.
type endless struct {
	read int64
}

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	e.read += int64(len(p))
	return len(p), nil
}

// TestDecodeJSONLimit guards against a body without an end that is read forever.
func TestDecodeJSONLimit(t *testing.T) {
	is := is.New(t)
	var v any
	is.NoErr(wirehttp.DecodeJSON(strings.NewReader(`{"a":1}`), &v))
	e := &endless{}
	is.True(wirehttp.DecodeJSON(io.MultiReader(strings.NewReader(`{"a":`), e), &v) != nil)
	is.True(e.read <= 128<<20)
}
