// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// Times of requests that arrive late in a planned stop, which ends stopWithin after its begin.
const (
	// lateOpen is when the connection is opened, and lateHead when the head arrives, shortly before the
	// address for callers is closed.
	lateOpen = 1500 * time.Millisecond
	lateHead = 2100 * time.Millisecond
	// addressClosed is when the address is closed.
	addressClosed = 2200 * time.Millisecond
	// lateWork is how long endpoints take for a request.
	lateWork = 1200 * time.Millisecond
)

// lateRequest is a request whose head arrives at lateHead and whose body ends later.
type lateRequest struct {
	request
	// lastByte is when the body ends.
	lastByte time.Duration
}

// lateAnswer is what the caller received, and when. Closes is set if it says that the connection will be
// closed.
type lateAnswer struct {
	response
	after  time.Duration
	closes bool
}

// sendLate sends a request to instance 0, whose stop began at the given time. It reads the answer while
// it still sends.
func (w *cluster) sendLate(began time.Time, c lateRequest) lateAnswer {
	time.Sleep(time.Until(began.Add(lateOpen)))
	conn, err := net.Dial("tcp", w.gateways[0].Listen)
	if err != nil {
		return lateAnswer{
			response: response{
				err: err,
			},
		}
	}
	defer conn.Close()
	time.Sleep(time.Until(began.Add(lateHead)))
	h := make(http.Header)
	platformtest.Caller{
		ID:     c.id,
		Key:    "k1",
		Wait:   time.Duration(c.wait) * time.Millisecond,
		Prompt: 100,
		Output: 100,
	}.Set(h)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: api.example\r\nContent-Length: 4\r\n", c.path)
	h.Write(conn)
	io.WriteString(conn, "\r\nabc")
	last := time.AfterFunc(time.Until(began.Add(c.lastByte)), func() { io.WriteString(conn, "d") })
	defer last.Stop()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return lateAnswer{
			response: response{
				err: err,
			},
			after: time.Since(began),
		}
	}
	data, err := io.ReadAll(res.Body)
	return lateAnswer{
		response: response{
			status: res.StatusCode,
			body:   string(data),
			header: res.Header,
			err:    err,
		},
		after:  time.Since(began),
		closes: res.Close,
	}
}

// newSlowCluster starts a cluster with one instance, whose endpoints take lateWork.
func newSlowCluster(t *testing.T) *cluster {
	w := newCluster(t, 1)
	for _, e := range w.endpoints {
		e.Work = lateWork
		e.Events = int(lateWork / (10 * time.Millisecond))
	}
	return w
}

// TestLateRequestsDuringStop guards against a request that is passed on although the stop will cut its
// answer off, and against one that could be served and is refused.
func TestLateRequestsDuringStop(t *testing.T) {
	t.Parallel()
	w := newSlowCluster(t)
	began := time.Now()
	go w.gateways[0].Stop(t.Context())
	var wait sync.WaitGroup
	for _, path := range paths {
		for _, last := range []time.Duration{2150, 2400, 3000, 4600, 5000, 5400, 5700, 6100} {
			c := lateRequest{
				request: request{
					id:   fmt.Sprint("late", last.Nanoseconds(), path),
					path: path,
					wait: 10_000,
				},
				lastByte: last * time.Millisecond,
			}
			wait.Go(func() { w.assertServedOrRefused(t, c, w.sendLate(began, c)) })
		}
		short := lateRequest{
			request: request{
				id:   "short" + path,
				path: path,
				wait: 3000,
			},
			lastByte: 2600 * time.Millisecond,
		}
		wait.Go(func() { assertWhole(t, w.sendLate(began, short).response) })
	}
	wait.Wait()
	<-w.gateways[0].Done
}

// assertServedOrRefused checks that a request was served completely, or refused soon after the address was
// closed and not passed on.
func (w *cluster) assertServedOrRefused(t *testing.T, c lateRequest, g lateAnswer) {
	t.Helper()
	if g.err != nil || g.status != http.StatusOK && g.status != http.StatusServiceUnavailable {
		t.Errorf("%s: status %d, %v after %s, %d runs", c.id, g.status, g.err, g.after, w.runs(c.id))
		return
	}
	if g.status == http.StatusOK {
		return
	}
	assertRefused(t, g.response)
	is := is.New(t)
	is.Equal(w.runs(c.id), 0)
	is.True(g.after < addressClosed+maxDelay)
	is.True(g.closes)
}
