// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/notice"
)

// recordAnswer records an answer of an endpoint, to a request sent just now, at this instance.
func (n *node) recordAnswer(endpoint string, s notice.Statements) {
	n.client.RecordAnswer(notice.Answer{
		Instance: endpoint,
		Request:  "r",
		SentAt:   time.Now(),
	}, s)
}

// limit returns the statements of an answer that announces a rate limit.
func limit(rate float64) notice.Statements {
	return notice.Statements{
		Limited: true,
		Rate:    rate,
	}
}

// assertLimit waits until the instances know the rate limit of an endpoint; a negative rate means
// that it has none.
func assertLimit(t *testing.T, nodes []*node, endpoint string, rate float64) {
	t.Helper()
	knows := func(n *node) bool {
		l, limited := n.scheduler.Notices().View().Limit(endpoint, time.Time{})
		return limited == (rate >= 0) && (!limited || l.Rate == rate)
	}
	for _, n := range nodes {
		for end := time.Now().Add(2 * time.Second); !knows(n) && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		is.New(t).True(knows(n))
	}
}

// TestNoticeReachesAll guards against instances that don't learn of a rate limit, or of its end,
// from the instance that received the answer.
func TestNoticeReachesAll(t *testing.T) {
	f := newFleet(t, 6)
	f.owner()
	settle()
	f.nodes[2].recordAnswer("e1", limit(2))
	assertLimit(t, f.nodes, "e1", 2)
	f.nodes[4].recordAnswer("e1", notice.Statements{})
	assertLimit(t, f.nodes, "e1", -1)

	t.Run("an instance that starts later", func(t *testing.T) {
		f.nodes[0].recordAnswer("p1", limit(3))
		assertLimit(t, f.nodes, "p1", 3)
		f.add(6)
		late := f.nodes[6]
		late.learn(f.snap)
		assertLimit(t, []*node{late}, "p1", 3)
	})
	t.Run("a new owner", func(t *testing.T) {
		first := f.owner()
		close(first.closing)
		second := f.owner(first.self.ID)
		close(second.closing)
		time.Sleep(600 * time.Millisecond) // until there are sessions to the next two owners
		left := f.without(first, second)
		left[0].recordAnswer("p0", limit(4))
		assertLimit(t, left, "p0", 4)
		assertLimit(t, left, "p1", 3)
	})
}

// TestNoticesAgree guards against instances that keep different rate limits for an endpoint after
// two of them received different values at the same time.
func TestNoticesAgree(t *testing.T) {
	f := newFleet(t, 6)
	f.owner()
	settle()
	go f.nodes[1].recordAnswer("e1", limit(2))
	f.nodes[4].recordAnswer("e1", limit(3))
	settle()
	agreed, _ := f.nodes[0].scheduler.Notices().View().Limit("e1", time.Time{})
	is.New(t).True(agreed.Rate == 2 || agreed.Rate == 3)
	assertLimit(t, f.nodes, "e1", agreed.Rate)
}
