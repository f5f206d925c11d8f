// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package account_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/account"
)

// attempt returns the log line of an attempt whose request has a target of 300 ms for the first
// event and of 200 ms for pauses.
func attempt(request, outcome string, waited, first, pause int) string {
	return fmt.Sprintf(`3.1 node-a {"time":"2026-01-01T00:00:02Z","msg":"attempt","request":%q,"prompt":5000,"target_ms":300,`+
		`"gap_ms":200,"waited_ms":%d,"first_ms":%d,"longest_gap_ms":%d,"outcome":%q}`, request, waited, first, pause, outcome)
}

// refused returns the log line of a refusal.
func refused(request string) string {
	return fmt.Sprintf(`{"time":"2026-01-01T00:00:00Z","msg":"refuse","attempt":"%s.node-a.1","prompt":5000}`, request)
}

// TestCauses guards against a wrong cause of a request, and against errors on lines that are not
// JSON.
func TestCauses(t *testing.T) {
	for _, row := range []struct {
		lines []string
		want  account.Cause
	}{
		{[]string{attempt("a", "served", 0, 300, 200)}, account.InTime},
		{[]string{attempt("a", "served", 0, 301, 0)}, account.FirstLate},
		{[]string{attempt("a", "served", 80, 230, 0)}, account.Waited},
		{[]string{attempt("a", "served", 0, 100, 201)}, account.PauseLate},
		{[]string{attempt("a", "silent", 0, 0, 0), attempt("a", "served", 0, 100, 0)}, account.Migrated},
		{[]string{attempt("a", "failed", 0, 0, 0), attempt("a", "served", 0, 100, 0)}, account.EndpointFailed},
		{[]string{attempt("a", "silent", 0, 0, 0), attempt("a", "abandoned", 0, 0, 0)}, account.CallerGone},
		{[]string{attempt("a", "unused", 0, 0, 0), attempt("a", "served", 0, 100, 0)}, account.InTime},
		{[]string{refused("a"), attempt("a", "served", 0, 100, 0)}, account.Refused},
	} {
		t.Run(row.want.String(), func(t *testing.T) {
			is := is.New(t)
			rows, err := account.Read(strings.NewReader(strings.Join(row.lines, "\n") + "\nnoise\n{broken\n"))
			is.NoErr(err)
			is.Equal(len(rows), 1)
			is.Equal(rows[0].Counts[row.want], 1)
			is.Equal(rows[0].Total(), 1)
			is.Equal(rows[0].Prompt, 5000)
			is.Equal(rows[0].Kind, account.Kind{Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond})
		})
	}
}

// TestSeconds guards against wrong seconds of the requests that were not in time.
func TestSeconds(t *testing.T) {
	is := is.New(t)
	rows, err := account.Read(strings.NewReader(strings.Join([]string{
		refused("a"), attempt("b", "served", 0, 400, 0), attempt("c", "served", 0, 100, 0),
	}, "\n")))
	is.NoErr(err)
	is.Equal(len(rows), 2) // a refusal doesn't state the target, so it has a row of its own
	is.Equal(rows[0].Seconds, map[int]int{0: 1})
	is.Equal(rows[1].Seconds, map[int]int{2: 1})
}
