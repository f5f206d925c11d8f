// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/linkmast/linkmast/member/memberpb"
	"github.com/linkmast/linkmast/problem"
	"github.com/linkmast/linkmast/settings"
)

// TestInvalidInput guards against invalid requests that are accepted, and against errors
// that don't name the invalid field or don't say that the request did not run.
func TestInvalidInput(t *testing.T) {
	f := startFleet(t, Settings{Nodes: 1, Engines: 2})
	base := "http://" + f.Nodes[0].Listen
	fine := `{"model":"m1","prompt":"input","max_tokens":2}`
	for _, c := range []struct {
		name, path, key, header, value, body string
		status                               int
		field                                string
	}{
		{"valid", "/v1/completions", "key-desk", "", "", fine, 200, ""},
		{"chat", "/v1/chat/completions", "key-desk", "", "", `{"model":"m1","messages":[{"role":"user","content":"hi"}]}`, 200, ""},
		{"adapter", "/v1/completions", "key-desk", "", "", strings.Replace(fine, "m1", "m1-desk", 1), 200, ""},
		{"wrong key", "/v1/completions", "key-des", "", "", fine, 401, "Authorization"},
		{"no key", "/v1/completions", "", "", "", fine, 401, "Authorization"},
		{"higher tier", "/v1/completions", "key-board", "Linkmast-Tier", "gold", fine, 403, "Linkmast-Tier"},
		{"lower tier", "/v1/completions", "key-desk", "Linkmast-Tier", "bronze", fine, 200, ""},
		{"unknown tier", "/v1/completions", "key-desk", "Linkmast-Tier", "tin", fine, 400, "Linkmast-Tier"},
		{"no model", "/v1/completions", "key-desk", "", "", `{"prompt":"x"}`, 400, "model"},
		{"unknown model", "/v1/completions", "key-desk", "", "", `{"model":"m9","prompt":"x"}`, 404, "model"},
		{"no prompt", "/v1/completions", "key-desk", "", "", `{"model":"m1"}`, 400, "prompt"},
		{"prompt is a number", "/v1/completions", "key-desk", "", "", `{"model":"m1","prompt":5}`, 400, "prompt"},
		{"tokens below one", "/v1/completions", "key-desk", "", "", `{"model":"m1","prompt":"x","max_tokens":0}`, 400, "max_tokens"},
		{"tokens as text", "/v1/completions", "key-desk", "", "", `{"model":"m1","prompt":"x","max_tokens":"y"}`, 400, "max_tokens"},
		{"two answers", "/v1/completions", "key-desk", "", "", `{"model":"m1","prompt":"x","n":2}`, 400, "n"},
		{"no messages", "/v1/chat/completions", "key-desk", "", "", `{"model":"m1","messages":[]}`, 400, "messages"},
		{"image in a message", "/v1/chat/completions", "key-desk", "", "", `{"model":"m1","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, 400, "messages[0].content"},
		{"no JSON", "/v1/completions", "key-desk", "", "", `{"model":`, 400, "body"},
		{"malformed deadline", "/v1/completions", "key-desk", "Linkmast-Deadline", "soon", fine, 400, "Linkmast-Deadline"},
		{"deadline too far", "/v1/completions", "key-desk", "Linkmast-Deadline", "24h", fine, 400, "Linkmast-Deadline"},
		{"malformed once", "/v1/completions", "key-desk", "Linkmast-Once", "perhaps", fine, 400, "Linkmast-Once"},
		{"key too long", "/v1/completions", "key-desk", "Idempotency-Key", strings.Repeat("k", 300), fine, 400, "Idempotency-Key"},
		{"unknown service", "/services/none/x", "key-desk", "", "", "x", 404, ""},
		{"unknown path", "/v2/x", "key-desk", "", "", "x", 404, ""},
		{"prompt too long", "/v1/completions", "key-desk", "", "", `{"model":"m1","prompt":"` + strings.Repeat("x", 4_500_000) + `"}`, 400, "prompt"},
		{"body too large", "/v1/completions", "key-desk", "", "", strings.Repeat("x", 17<<20), 413, "body"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(http.MethodPost, base+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			if c.key != "" {
				req.Header.Set("Authorization", "Bearer "+c.key)
			}
			if c.header != "" {
				req.Header.Set(c.header, c.value)
			}
			res, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer res.Body.Close()
			data, err := io.ReadAll(res.Body)
			is.NoErr(err)
			is.Equal(res.StatusCode, c.status)
			if c.status == 200 {
				return
			}
			p, ok := problem.Parse(data)
			is.True(ok)
			is.Equal(p.Ran, problem.NotRun)
			is.Equal(p.Field, c.field)
			is.Equal(res.Header.Get("Content-Type"), problem.MediaType)
		})
	}
}

// sendRaw writes text to a connection to a node and returns what the node sends
// until it closes the connection. If the connection is still open after the time
// within, the result ends with " (still open)".
func sendRaw(t *testing.T, address, text string, within time.Duration) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(c)
	if err != nil {
		return string(data) + " (still open)"
	}
	return string(data)
}

// TestMisbehavingCallers guards against connections that stay open when a caller sends too
// much, too little or too slowly.
func TestMisbehavingCallers(t *testing.T) {
	f := startFleet(t, Settings{Nodes: 1, Engines: 2})
	for _, c := range []struct {
		name, text, want string
		within           time.Duration
	}{
		{"header too long", "GET /v1/models HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", 60<<10) + "\r\n\r\n", "431", 5 * time.Second},
		{"incomplete header", "GET /v1/models HTTP/1.1\r\nHost: x\r\nX-A: ", "", 8 * time.Second},
		{"body without a key", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9000000\r\nConnection: close\r\n\r\n{", "401", 5 * time.Second},
		{"body shorter than declared", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-desk\r\n" +
			"Content-Length: 100\r\nConnection: close\r\n\r\n{\"model\":\"m1\"}", "400", 14 * time.Second},
		{"declared body larger than allowed", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-desk\r\n" +
			"Content-Length: 900000000\r\nConnection: close\r\n\r\n{", "413", 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			got := sendRaw(t, f.Nodes[0].Listen, c.text, c.within)
			if !strings.Contains(got, c.want) || strings.Contains(got, "still open") {
				t.Errorf("got %.300q, want %q", got, c.want)
			}
		})
	}
}

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{
		cert: cert,
		key:  key,
	}
}

// issue writes a certificate for 127.0.0.1, its key and the certificate of the
// authority to files, and returns their paths.
func (a *authority) issue(t *testing.T) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		var b bytes.Buffer
		if err := pem.Encode(&b, &pem.Block{Type: kind, Bytes: data}); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, b.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return settings.TLS{
		Certificate: write("cert.pem", "CERTIFICATE", der),
		Key:         write("key.pem", "EC PRIVATE KEY", private),
		Authorities: write("ca.pem", "CERTIFICATE", a.cert.Raw),
	}
}

// clientCredentials returns TLS credentials of a client. They contain the
// certificate of files only if present is true.
func clientCredentials(t *testing.T, files settings.TLS, present bool) credentials.TransportCredentials {
	t.Helper()
	conf := &tls.Config{
		InsecureSkipVerify: true, // only the server's check of the client is under test
	}
	if present {
		pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		if err != nil {
			t.Fatal(err)
		}
		conf.Certificates = []tls.Certificate{pair}
	}
	return credentials.NewTLS(conf)
}

// TestPeerCertificates guards against peers without a certificate of the configured
// authorities, and against nodes that no longer serve requests once TLS is configured.
func TestPeerCertificates(t *testing.T) {
	ours := newAuthority(t)
	theirs := newAuthority(t)
	f := startFleet(t, Settings{
		Nodes:   2,
		Engines: 2,
		Node: func(s *settings.File) {
			s.TLS = ours.issue(t)
		},
	})
	for _, c := range []struct {
		name     string
		creds    credentials.TransportCredentials
		accepted bool
	}{
		{"without TLS", insecure.NewCredentials(), false},
		{"no certificate", clientCredentials(t, settings.TLS{}, false), false},
		{"certificate of another authority", clientCredentials(t, theirs.issue(t), true), false},
		{"certificate of the configured authority", clientCredentials(t, ours.issue(t), true), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := grpc.NewClient("passthrough:///"+f.Nodes[0].PeerListen, grpc.WithTransportCredentials(c.creds))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err = memberpb.NewMemberClient(conn).Probe(ctx, &memberpb.ProbeRequest{From: "forger"})
			if (err == nil) != c.accepted {
				t.Errorf("peer accepted: %v (%v)", err == nil, err)
			}
		})
	}
	for i := range 8 {
		res, data := post(t, "http://"+f.Nodes[i%2].Listen+"/v1/completions", "key-desk", map[string]any{
			"model":      Model,
			"prompt":     fmt.Sprintf("tls %d", i),
			"max_tokens": 2,
		})
		if res.StatusCode != http.StatusOK {
			t.Errorf("status %d: %s", res.StatusCode, data)
		}
	}
}
