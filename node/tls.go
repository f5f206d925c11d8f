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

// transportCredentials returns the credentials for both directions of connections between
// instances; nil without key files. Each side checks that the other's
// certificate was signed by the authorities, and the name or address in it.
func transportCredentials(t settings.TLS) (client, server credentials.TransportCredentials, err error) {
	if t == (settings.TLS{}) {
		return nil, nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "tls")
	}
	pem, err := os.ReadFile(t.Authorities)
	if err != nil {
		return nil, nil, errors.Wrap(err, "tls")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Errorf("tls: %s holds no certificate", t.Authorities)
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
