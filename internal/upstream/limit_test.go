// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package upstream_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/internal/wirehttp"
)

// TestHeadLimit guards against heads that are read without a limit, and against a limit that applies
// to bodies or to several heads together.
func TestHeadLimit(t *testing.T) {
	const (
		most = wirehttp.MaxHead - 1<<10
		over = wirehttp.MaxHead + 16<<10
	)
	head := func(id string, size int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nX-Fill: %s\r\nContent-Length: 2\r\n\r\nhi", id, strings.Repeat("x", size))
	}
	for _, row := range []struct {
		name   string
		answer func(id string) string
		want   string
		err    error
	}{
		{"large head", func(id string) string { return head(id, most) }, "hi", nil},
		{"head above the limit", func(id string) string { return head(id, over) }, "", upstream.ErrUnbounded},
		{"header of many lines", func(id string) string {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + strings.Repeat("X-Line: value\r\n", over/15) + "Content-Length: 2\r\n\r\nhi"
		}, "", upstream.ErrUnbounded},
		{"status line above the limit", func(string) string { return "HTTP/1.1 200 " + strings.Repeat("O", over) + "\r\n\r\n" }, "", upstream.ErrUnbounded},
		{"provisional head above the limit", func(id string) string {
			return strings.Replace(head(id, over), "200 OK", "103 Early Hints", 1) + ok(id, "hi")
		}, "", upstream.ErrUnbounded},
		{"three large heads", func(id string) string { return head("a", most) + head("b", most) + head(id, most) }, "hi", nil},
		{"large body", func(id string) string { return ok(id, strings.Repeat("b", 4*over)) }, strings.Repeat("b", 4*over), nil},
		{"large body of another answer", func(id string) string { return ok("a", strings.Repeat("b", over)) + ok(id, "hi") }, "hi", nil},
		{"other answer above the limit", func(id string) string { return ok("a", strings.Repeat("b", 2<<20)) + ok(id, "hi") }, "", upstream.ErrUnbounded},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
				_, err := io.WriteString(c, row.answer(r.Header.Get("Id")))
				return err == nil
			})
			p := upstream.New(upstream.Settings{})
			for i := range 2 {
				body, err := do(t, p, e.request(fmt.Sprint(i)))
				is.True(errors.Is(err, row.err))
				is.Equal(body, row.want)
			}
		})
	}
}

// TestDiscard guards against a connection that is reused although the rest of a body is on it, against
// one that is lost although the body was read, and against a wait for a body that does not end.
func TestDiscard(t *testing.T) {
	const limit = 100
	for _, row := range []struct {
		name   string
		answer string
		conns  int64
	}{
		{"empty body", "", 1},
		{"body at the limit", strings.Repeat("b", limit), 1},
		{"body above the limit", strings.Repeat("b", limit+1), 2},
		{"body that stalls", "stall", 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			held := make(chan struct{})
			defer close(held)
			e := newEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
				id := r.Header.Get("Id")
				if row.answer != "stall" {
					_, err := io.WriteString(c, ok(id, row.answer))
					return err == nil
				}
				io.WriteString(c, strings.TrimSuffix(ok(id, "stalled"), "stalled"))
				<-held
				return false
			})
			p := upstream.New(upstream.Settings{})
			for i := range 2 {
				x, err := p.Do(t.Context(), e.request(fmt.Sprint(i)))
				is.NoErr(err)
				x.Discard(limit, 200*time.Millisecond)
				x.Close()
			}
			is.Equal(e.conns.Load(), row.conns)
		})
	}
}

// TestOtherAnswerUntilClose guards against a request that waits for the end of the connection, after an
// answer to another request whose body only that ends.
func TestOtherAnswerUntilClose(t *testing.T) {
	is := is.New(t)
	held := make(chan struct{})
	defer close(held)
	e := newEndpoint(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: other\r\n\r\nbody")
		<-held
		return false
	})
	_, err := do(t, upstream.New(upstream.Settings{}), e.request("0"))
	var u *upstream.Error
	is.True(errors.As(err, &u) && u.Sent)
}
