// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package wirehttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/logsvc"
	"github.com/linkmast/linkmast/plain"
	"github.com/linkmast/linkmast/platform"
	"github.com/linkmast/linkmast/problem"
	"github.com/linkmast/linkmast/weights"
)

// rawServer answers each request with a text and keeps the connection open.
type rawServer struct {
	address string
	answer  atomic.Value
	conns   atomic.Int64
}

// newRawServer starts a server that sends the answer.
func newRawServer(t *testing.T, answer string) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &rawServer{
		address: l.Addr().String(),
	}
	s.answer.Store(answer)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c)
		}
	}()
	return s
}

// serve answers the requests of a connection.
func (s *rawServer) serve(c net.Conn) {
	defer c.Close()
	// A body that is taken to end with the connection must not block the test.
	time.AfterFunc(time.Second, func() { c.Close() })
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		io.WriteString(c, s.answer.Load().(string))
	}
}

// framed returns a response with a status line, a header line with its end, and a body.
func framed(status, line, body string) string {
	return fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", status, line, len(body), body)
}

// sound is the status line of a successful response.
const sound = "HTTP/1.1 200 OK"

// TestClientChecksHeads guards against a malformed response that a client returns, or whose connection it
// uses for a later request.
func TestClientChecksHeads(t *testing.T) {
	for name, answer := range map[string]string{
		"status":                       framed("HTTP/1.1 000 OK", "", "hi"),
		"status without a body":        framed("HTTP/1.1 000 OK", "", ""),
		"another protocol":             "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"name":                         framed(sound, "X Odd: 1\r\n", "hi"),
		"name without a body":          framed(sound, "X-Odd : 1\r\n", ""),
		"framing with a blank":         sound + "\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"name in a provisional answer": "HTTP/1.1 103 Early Hints\r\nX-Odd : 1\r\n\r\n" + framed(sound, "", "hi"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, answer)
			client := wirehttp.Client()
			_, err := client.Get("http://" + s.address)
			is.True(errors.Is(err, wirehttp.ErrMalformedHead))
			s.answer.Store(framed(sound, "", "hi"))
			for range 2 {
				res, err := client.Get("http://" + s.address)
				is.NoErr(err)
				data, err := io.ReadAll(res.Body)
				is.NoErr(err)
				is.Equal(string(data), "hi")
			}
			is.Equal(s.conns.Load(), int64(2))
		})
	}
}

// readers are calls of all kinds whose answers the project reads through a client of this package.
var readers = map[string]func(ctx context.Context, c *http.Client, address string) error{
	"call of a plain service": func(ctx context.Context, c *http.Client, address string) error {
		_, err := plain.NewHTTP(c, address).Call(ctx, plain.Call{
			Method: http.MethodPost,
			Path:   "/x",
		})
		var ce *plain.CallError
		if errors.As(err, &ce) && ce.Ran != problem.MayHaveRun {
			return fmt.Errorf("call counts as %s", ce.Ran)
		}
		return err
	},
	"probe of a plain service": func(ctx context.Context, c *http.Client, address string) error {
		return plain.NewHTTP(c, address).Probe(ctx)
	},
	"attempt at an engine": func(ctx context.Context, c *http.Client, address string) error {
		_, err := engine.NewHTTP(c, address).Run(ctx, engine.Attempt{})
		var re *engine.RunError
		if errors.As(err, &re) && re.Ran != problem.MayHaveRun {
			return fmt.Errorf("attempt counts as %s", re.Ran)
		}
		return err
	},
	"status of an engine": func(ctx context.Context, c *http.Client, address string) error {
		_, err := engine.NewHTTP(c, address).Status(ctx, false)
		return err
	},
	"append to the log": func(ctx context.Context, c *http.Client, address string) error {
		_, err := logsvc.NewHTTP(c, address).Append(ctx, "s", nil)
		if err != nil && !logsvc.IsUnknown(err) {
			return errors.New("append counts as without effect")
		}
		return err
	},
	"read of the log": func(ctx context.Context, c *http.Client, address string) error {
		_, err := logsvc.NewHTTP(c, address).Read(ctx, "s", 1, 0)
		return err
	},
	"list of instances": func(ctx context.Context, c *http.Client, address string) error {
		_, err := instances.NewHTTP(c, address).List(ctx, 0)
		return err
	},
	"permit for weights": func(ctx context.Context, c *http.Client, address string) error {
		_, err := weights.NewHTTP(c, address).Permit(ctx, "m", "v")
		return err
	},
	"read of the store": func(ctx context.Context, c *http.Client, address string) error {
		_, err := platform.NewStore(c, address).Page(ctx, catalog.Peers, "")
		return err
	},
	"append to the store": func(ctx context.Context, c *http.Client, address string) error {
		return platform.NewStore(c, address).Withdraw(ctx, "node-0")
	},
	"order to an engine": func(ctx context.Context, c *http.Client, address string) error {
		return platform.NewOrders(c, nil).Reserve(ctx, address, "r", 1, time.Second)
	},
	"report of an engine": func(_ context.Context, c *http.Client, address string) error {
		ended := make(chan error, 1)
		log := funcr.New(func(_, line string) {
			err := errors.New(line)
			if strings.Contains(line, wirehttp.ErrMalformedHead.Error()) {
				err = wirehttp.ErrMalformedHead
			}
			ended <- err
		}, funcr.Options{
			Verbosity: 1,
		})
		platform.NewReports(c, nil, log).QuerySlowdown(address, func(float64) { ended <- nil })
		return <-ended
	},
}

// TestReadersRejectMalformedHeads guards against readers of answers that trust a malformed head.
func TestReadersRejectMalformedHeads(t *testing.T) {
	const body = `{"pace":2}`
	for name, answer := range map[string]string{
		"status 000":             framed("HTTP/1.1 000 OK", "", body),
		"blank in a name":        framed(sound, "X Odd: 1\r\n", body),
		"blank before the colon": framed(sound, "Linkmast-Started: false\r\nX-Odd : 1\r\n", body),
	} {
		for reader, read := range readers {
			t.Run(name+", "+reader, func(t *testing.T) {
				t.Parallel()
				s := newRawServer(t, answer)
				if err := read(t.Context(), wirehttp.Client(), s.address); !errors.Is(err, wirehttp.ErrMalformedHead) {
					t.Errorf("error %v", err)
				}
			})
		}
	}
}
