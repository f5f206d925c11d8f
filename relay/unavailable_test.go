// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// fixedGuard is a notice.Guard with a fixed exclusion reason for each unavailable endpoint.
type fixedGuard map[string]string

func (fixedGuard) RecordAnswer(notice.Answer, notice.Statements) {}

func (d fixedGuard) ExclusionReason(instance string, _ time.Time) string { return d[instance] }

// newRelayWithGuard returns a relay that gets its notices from d.
func newRelayWithGuard(d fixedGuard) *Relay {
	return New(Settings{}, Parts{
		Snapshot: func() *catalog.Snapshot { return &catalog.Snapshot{} },
		Notices:  d,
	})
}

// TestFindExcluded guards against requests to an unavailable endpoint, also as a helper of a
// joint prefill.
func TestFindExcluded(t *testing.T) {
	l := newRelayWithGuard(fixedGuard{"e1": "it leaves"})
	for _, c := range []struct {
		name  string
		grant pool.Grant
		want  string
	}{
		{"none", pool.Grant{Instance: "e0"}, ""},
		{"endpoint of the grant", pool.Grant{Instance: "e1"}, "e1"},
		{"helper", pool.Grant{Instance: "e0", Shares: []pool.PrefillShare{{Instance: "e2"}, {Instance: "e1"}}}, "e1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := l.findUnavailable(&c.grant)
			is.New(t).Equal(got != nil, c.want != "")
			if got != nil {
				is.New(t).Equal(got.endpoint, c.want)
			}
		})
	}
}

// TestExcludedBeforeSending guards against a request that fails, or uses up an attempt, because
// its endpoint became unavailable after the placement.
func TestExcludedBeforeSending(t *testing.T) {
	is := is.New(t)
	l := newRelayWithGuard(fixedGuard{"e1": "it leaves"})
	j := &job{
		route:    &route.Route{Kind: route.Unsafe, MaxAttempts: 1},
		deadline: time.Now().Add(time.Second),
		out:      &answer{},
		sends:    1,
	}
	x := &attempt{
		relay:  l,
		job:    j,
		grant:  pool.Grant{Instance: "e1"},
		caller: t.Context(),
	}
	res := x.handleNoAnswer(&upstream.Error{Err: l.findUnavailable(&x.grant)}, nil)
	is.Equal(res.outcome, pool.Unused)
	is.Equal(j.sends, 0)
	is.True(!j.mayHaveRun)
	again, _ := l.retryOrGiveUp(t.Context(), j, x, res)
	is.True(again)
	is.Equal(j.exclude, []string{"e1"})
}

// recordingNotices is a notice.Guard that records the answers reported to it.
type recordingNotices struct {
	fixedGuard
	answers []notice.Answer
}

func (h *recordingNotices) RecordAnswer(a notice.Answer, _ notice.Statements) {
	h.answers = append(h.answers, a)
}

// TestReportNotice guards against a notice that is recorded for the wrong endpoint, or with the
// send time of another request.
func TestReportNotice(t *testing.T) {
	is := is.New(t)
	h := &recordingNotices{}
	x := &attempt{
		relay:     New(Settings{}, Parts{Notices: h}),
		job:       &job{head: RequestHead{ID: "r"}},
		grant:     pool.Grant{Instance: "e1"},
		startedAt: time.Now(),
	}
	x.reportNotice(http.StatusMisdirectedRequest, AnswerHead{}, true)
	is.Equal(len(h.answers), 0)
	x.reportNotice(http.StatusOK, AnswerHead{}, false)
	x.reportNotice(http.StatusServiceUnavailable, AnswerHead{}, true)
	is.Equal(len(h.answers), 2)
	is.True(h.answers[0].SentAt.IsZero())
	is.Equal(h.answers[1].SentAt, x.startedAt)
}
