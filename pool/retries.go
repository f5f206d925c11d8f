// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"maps"
	"time"

	"github.com/linkmast/linkmast/pool/poolpb"
)

// Shares of the retry budget.
const (
	// retryBudgetShare is the part of the budget that the instances use. The rest covers what they
	// don't know of each other while sessions begin and end.
	retryBudgetShare = 0.75
	// unknownPredecessorShare is the part of its share of Extra that an instance may use while an
	// earlier process of it may have used the whole share. With the rest of the budget it allows
	// for two starts of all instances within a window.
	unknownPredecessorShare = 0.125
)

// retryLedger counts the first sends and retries to the endpoints of one service, by the process
// that sends them, and bounds the retries by a budget. Each entry instance counts its own sends, and
// the owner and the standby of a pool count those of all entry instances that they hear of. Whoever
// begins to decide on requests therefore knows the retries of the present window from the entry
// instances, except those of processes that ended together with the owner and the standby.
//
// Extra is divided equally among the instances. An instance that decides on the requests of others
// uses their shares as well as its own. Each instance names the one that decides on its requests, so
// that several instances which decide at the same time use different shares.
type retryLedger struct {
	budget Budget
	// startedAt is when the buckets were numbered from.
	startedAt time.Time
	// records has the sends of each process.
	records map[process]*sendRecord
	// pending is the number of retries that wait for a placement.
	pending int
	// total is the use as of bucket totalOf, kept up to date as sends are counted. It is computed
	// anew in the next bucket, or if stale is set.
	total   retryUse
	totalOf int64
	stale   bool
}

// sendRecord holds the sends of one process to the endpoints of one service.
type sendRecord struct {
	window sendWindow
	// decider is the instance that decides on the requests of the process; empty if unknown, or
	// if each instance decides on its own.
	decider string
}

// retryUse is the use of a budget in the present window, as one instance knows it.
type retryUse struct {
	// own has the sends of the processes whose requests this instance decides on, and all has the
	// sends of all known processes. First sends of processes that have ended are missing from own.
	own, all sendCounts
	// share is the part of Extra that this instance may use.
	share float64
}

// limit returns the number of retries that the processes whose requests this instance decides on
// may send.
func (u *retryUse) limit(b Budget) float64 {
	return retryBudgetShare * (b.Ratio*float64(u.own.first) + b.Extra*u.share)
}

// totalLimit returns the number of retries that all known processes together may send.
func (u *retryUse) totalLimit(b Budget) float64 {
	return retryBudgetShare * (b.Ratio*float64(u.all.first) + b.Extra)
}

// newRetryLedger returns a ledger without sends.
func newRetryLedger(b Budget, now time.Time) retryLedger {
	return retryLedger{
		budget:    b,
		startedAt: now,
		records:   make(map[process]*sendRecord),
		stale:     true,
	}
}

// bucket returns the number of the bucket that a time falls into.
func (l *retryLedger) bucket(at time.Time) int64 {
	return max(int64(at.Sub(l.startedAt)), 0) / max(int64(l.budget.Window)/windowBuckets, 1)
}

// record returns the record of a process, rolled to the present bucket; it creates a record if
// there is none.
func (l *retryLedger) record(p process, now time.Time) *sendRecord {
	r := l.records[p]
	if r == nil {
		r = &sendRecord{}
		l.records[p] = r
		l.stale = true
	}
	r.window.roll(l.bucket(now))
	return r
}

// setDecider sets the instance that decides on the requests of a process.
func (l *retryLedger) setDecider(p process, decider string, now time.Time) {
	if r := l.record(p, now); r.decider != decider {
		r.decider, l.stale = decider, true
	}
}

// replace replaces the record of a process.
func (l *retryLedger) replace(p process, r *sendRecord) {
	l.records[p] = r
	l.stale = true
}

// count adds sends of a process.
func (l *retryLedger) count(t *processes, p process, c sendCounts, now time.Time) {
	r := l.record(p, now)
	in := r.window.at(r.window.bucket)
	in.first += c.first
	in.retries += c.retries
	l.total.all.add(c)
	if l.belongs(t, p, r) {
		l.total.own.add(c)
	}
}

// countFirst counts a request that a process sends for the first time.
func (l *retryLedger) countFirst(t *processes, p process, now time.Time) {
	l.count(t, p, sendCounts{
		first: 1,
	}, now)
}

// countRetry counts a retry that a process sends.
func (l *retryLedger) countRetry(t *processes, p process, now time.Time) {
	l.count(t, p, sendCounts{
		retries: 1,
	}, now)
}

// uncountRetry removes a retry that was counted at a given time and did not reach an endpoint.
func (l *retryLedger) uncountRetry(t *processes, p process, countedAt, now time.Time) {
	r := l.record(p, now)
	c := r.window.at(l.bucket(countedAt))
	if c == nil || c.retries == 0 {
		return
	}
	c.retries--
	l.total.all.retries--
	if l.belongs(t, p, r) {
		l.total.own.retries--
	}
}

// belongs reports whether this instance decides on the requests of a process, or did so when the
// process ended.
func (l *retryLedger) belongs(t *processes, p process, r *sendRecord) bool {
	return r.decider == t.self.instance || p == t.self && r.decider == ""
}

// use returns the use of the budget. Processes that have ended still count with their retries, but
// not with their first sends and their share.
func (l *retryLedger) use(t *processes, now time.Time) retryUse {
	bucket := l.bucket(now)
	if !l.stale && bucket == l.totalOf {
		return l.total
	}
	u := retryUse{}
	started := t.firstStarts()
	parts := 0.0
	for p := range l.records {
		r := l.record(p, now)
		sent := r.window.sum()
		u.all.add(sent)
		if !l.belongs(t, p, r) {
			continue
		}
		u.own.retries += sent.retries
		known := t.records[p]
		if known == nil || !known.connected {
			continue
		}
		u.own.first += sent.first
		if now.Sub(known.startedAt) < l.budget.Window && !started[p.instance].Before(known.startedAt) {
			parts += unknownPredecessorShare
			continue
		}
		parts++
	}
	u.share = min(parts/float64(max(t.sharing(now), 1)), 1)
	l.total, l.totalOf, l.stale = u, bucket, false
	return u
}

// reserve reserves a place in the budget for a retry, and reports whether there is one.
func (l *retryLedger) reserve(u *retryUse) bool {
	waiting := float64(l.pending + 1)
	if float64(u.own.retries)+waiting > u.limit(l.budget) || float64(u.all.retries)+waiting > u.totalLimit(l.budget) {
		return false
	}
	l.pending++
	return true
}

// encode returns the message for the sends of a record at now. The caller sets its other fields.
func (l *retryLedger) encode(r *sendRecord, now time.Time) *poolpb.Sends {
	m := &poolpb.Sends{}
	for i := range int64(keptBuckets) {
		bucket := r.window.bucket - i
		c := r.window.at(bucket)
		if c == nil || *c == (sendCounts{}) {
			continue
		}
		m.Counts = append(m.Counts, &poolpb.SendCount{
			AgeUs:   max(now.Sub(l.endOf(bucket)), 0).Microseconds(),
			First:   int32(c.first),
			Retries: int32(c.retries),
		})
	}
	return m
}

// endOf returns the end of a bucket.
func (l *retryLedger) endOf(bucket int64) time.Time {
	return l.startedAt.Add(time.Duration(bucket+1) * (l.budget.Window / windowBuckets))
}

// decode returns the record that a message describes.
func (l *retryLedger) decode(m *poolpb.Sends, now time.Time) *sendRecord {
	r := &sendRecord{
		decider: m.GetDecider(),
	}
	r.window.roll(l.bucket(now))
	for _, c := range m.GetCounts() {
		if in := r.window.at(l.bucket(now.Add(-microseconds(c.GetAgeUs())))); in != nil {
			in.first += max(int(c.GetFirst()), 0)
			in.retries += max(int(c.GetRetries()), 0)
		}
	}
	return r
}

// expire removes the records of processes that are no longer known.
func (l *retryLedger) expire(t *processes) {
	maps.DeleteFunc(l.records, func(p process, _ *sendRecord) bool { return t.records[p] == nil })
	l.stale = true
}
