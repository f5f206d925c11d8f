// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/credentials"

	"github.com/linkmast/linkmast/settings"
)

// transportCredentials returns the client and server credentials for connections between
// instances, or nil if t is empty. Each side verifies that the other's certificate is signed by one
// of the authorities. The client also verifies that the server's certificate is valid for the name
// or address by which the client connects.
func transportCredentials(t settings.TLS) (client, server credentials.TransportCredentials, err error) {
	if t == (settings.TLS{}) {
		return nil, nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load TLS certificate")
	}
	pem, err := os.ReadFile(t.Authorities)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read TLS authorities")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Errorf("TLS authorities file %s contains no certificate", t.Authorities)
	}
	client = credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      authorities,
		MinVersion:   tls.VersionTLS13,
	})
	server = credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{pair},
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	})
	return client, server, nil
}
