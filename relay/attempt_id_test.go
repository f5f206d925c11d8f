// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestAttemptID guards against IDs of attempts that can't be sent to other instances or that break lists.
func TestAttemptID(t *testing.T) {
	l := New(Settings{
		Self: "front-1",
	}, Parts{})
	for _, row := range []struct {
		request string
		want    string
	}{
		{"9c41d07be2a35f68", "9c41d07be2a35f68.front-1.1"},
		{"", ".front-1.2"},
		{"\xff\xc3(", "__(.front-1.3"},
		{"a,b/c:d;e f", "a_b_c_d_e_f.front-1.4"},
		{strings.Repeat("i", 1000), strings.Repeat("i", 64) + ".front-1.5"},
	} {
		is := is.New(t)
		is.Equal(l.attemptID(row.request), row.want)
	}
}
