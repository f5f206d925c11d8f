// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package wirehttp_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/linkmast/linkmast/internal/wirehttp"
)

// assertChecked parses the head of a response and checks that it is accepted only if it is valid. An error
// of the parser counts as well.
func assertChecked(t *testing.T, head string, valid bool) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n\r\n")), nil)
	if err == nil {
		err = wirehttp.CheckHead(res)
		if err != nil && !errors.Is(err, wirehttp.ErrMalformedHead) {
			t.Errorf("%q: unexpected cause of %v", head, err)
		}
	}
	if (err == nil) != valid {
		t.Errorf("%q: error %v, valid %t", head, err, valid)
	}
}

// TestCheckStatusCode guards against numbers that are no status codes.
func TestCheckStatusCode(t *testing.T) {
	for n := range 1000 {
		assertChecked(t, fmt.Sprintf("HTTP/1.1 %03d Text", n), n >= 100 && n <= 599 && n != http.StatusSwitchingProtocols)
	}
	for _, code := range []string{"", "2", "20", "2000", "+20", "-00", "-20", "2e2", "0x9", "1_0", " 20", "20\t", "2 0", "abc", "٢٠٠"} {
		assertChecked(t, "HTTP/1.1 "+code+" Text", false)
	}
}

// TestCheckReason guards against bytes that a reason phrase doesn't contain.
func TestCheckReason(t *testing.T) {
	for b := range 256 {
		valid := b == '\t' || b >= ' ' && b != 0x7f
		// LF ends the line, and the rest of it is no field.
		assertChecked(t, "HTTP/1.1 200 a"+string([]byte{byte(b)})+"b", valid)
	}
}

// TestCheckVersion guards against responses of other protocols.
func TestCheckVersion(t *testing.T) {
	for major := range 10 {
		for minor := range 10 {
			assertChecked(t, fmt.Sprintf("HTTP/%d.%d 200 OK", major, minor), major == 1)
		}
	}
	for _, version := range []string{"", "HTTP", "HTTP/1", "HTTP/1.", "HTTP/11.1", "HTTP/1.11", "http/1.1", "HTTPS/1.1", "ICY", "HTTP/1,1"} {
		assertChecked(t, version+" 200 OK", false)
	}
}

// TestCheckNames guards against bytes that names of fields don't contain.
func TestCheckNames(t *testing.T) {
	const symbols = "!#$%&'*+-.^_`|~"
	for b := range 256 {
		c := string([]byte{byte(b)})
		valid := b >= '0' && b <= '9' || b >= 'A' && b <= 'Z' || b >= 'a' && b <= 'z' || strings.Contains(symbols, c)
		for _, name := range []string{c + "Odd", "X" + c + "Odd", "Odd" + c, c} {
			if b == ':' && name[0] != ':' || b == '\n' {
				// A colon ends the name. The lines that LF ends are covered below.
				continue
			}
			assertChecked(t, "HTTP/1.1 200 OK\r\nX-First: 1\r\n"+name+": 1", valid || b <= ' ' && isContinuation(name))
		}
	}
	for _, line := range []string{"", ":", ": 1", "Odd", "Odd\nX: 1", "Content-Length : 1", "Transfer-Encoding : chunked", "Odd\r\n : 1"} {
		assertChecked(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nX-Last: 1", line == "")
	}
}

// isContinuation reports whether a line continues the one before it.
func isContinuation(line string) bool {
	return line[0] == ' ' || line[0] == '\t'
}

// TestCheckValues guards against bytes that values of fields don't contain.
func TestCheckValues(t *testing.T) {
	for b := range 256 {
		valid := b == '\t' || b >= ' ' && b != 0x7f
		assertChecked(t, "HTTP/1.1 200 OK\r\nX-Odd: a"+string([]byte{byte(b)})+"b", valid)
	}
}

// TestReadResponseCoding guards against a coded body of HTTP/1.0 that is taken for the content, wherever in the
// head the field is and in whatever parts the head arrives.
func TestReadResponseCoding(t *testing.T) {
	const fields = "X-First: 1\r\nTransfer-Encoding: chunked\r\nX-Last: 1\r\n"
	fill := strings.Repeat("X-Fill: 1234567890\r\n", 300)
	for _, row := range []struct {
		name  string
		head  string
		coded bool
	}{
		{"between others", "HTTP/1.0 200 OK\r\n" + fields, true},
		{"lower case", "HTTP/1.0 200 OK\r\n" + strings.ToLower(fields), true},
		{"LF", "HTTP/1.0 200 OK\n" + strings.ReplaceAll(fields, "\r", ""), true},
		{"after many", "HTTP/1.0 200 OK\r\n" + fill + fields, true},
		{"none", "HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\nTransfer: Transfer-Encoding: chunked\r\n", false},
		{"HTTP/1.1", "HTTP/1.1 200 OK\r\n" + fields, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			for _, reader := range []io.Reader{
				strings.NewReader(row.head + "\r\n0\r\n\r\nTransfer-Encoding: chunked\r\n"),
				iotest.OneByteReader(strings.NewReader(row.head + "\r\n0\r\n\r\nTransfer-Encoding: chunked\r\n")),
			} {
				_, err := wirehttp.ReadResponse(bufio.NewReaderSize(reader, 8<<10), nil)
				if errors.Is(err, wirehttp.ErrMalformedHead) != row.coded || (err != nil) != row.coded {
					t.Errorf("error %v", err)
				}
			}
		})
	}
}

// TestReadResponseWaits guards against a response that is malformed already and for which more bytes are awaited.
func TestReadResponseWaits(t *testing.T) {
	for _, head := range []string{"a\r\n", "\r\n", "HTTP\n", "HTTP/1.0\r\n", "HTTP/1.0 x\r\n\r\n", "HTTP/1.1 x\r\n"} {
		more := errors.New("read again")
		_, err := wirehttp.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(head), iotest.ErrReader(more))), nil)
		if err == nil || errors.Is(err, more) {
			t.Errorf("after %q: error %v", head, err)
		}
	}
}

// TestReadResponseErrors guards against an error of the connection that is lost while a head is looked at.
func TestReadResponseErrors(t *testing.T) {
	failed := errors.New("connection failed")
	for _, head := range []string{"", "HTT", "HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Odd: 1", "HTTP/1.1 200 OK\r\nX-Odd: 1"} {
		once := io.MultiReader(strings.NewReader(head), iotest.ErrReader(failed))
		if _, err := wirehttp.ReadResponse(bufio.NewReader(once), nil); !errors.Is(err, failed) {
			t.Errorf("after %q: error %v", head, err)
		}
		if _, err := wirehttp.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("the end after %q: error %v", head, err)
		}
	}
}
