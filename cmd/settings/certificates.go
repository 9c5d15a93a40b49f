package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/inifile"
)

// certificateServerName is the DNS name in the certificate of every node. It is the same
// for all, because nodes are added and removed; a certificate proves only that its
// holder belongs to the cluster.
const certificateServerName = "cicadabeam"

// certificates holds a node's own certificate with its key, and the certificate
// authorities that it trusts.
type certificates struct {
	keyPair tls.Certificate
	caPool  *x509.CertPool
}

// readTLS reads the section tls. Without it, s.certificates stays nil.
func (s *Settings) readTLS(x *inifile.Section) {
	certificate := x.Value("certificate", "")
	key := x.Value("key", "")
	authority := x.Value("authority", "")
	if certificate == "" && key == "" && authority == "" {
		return
	}
	c := &certificates{}
	var err error
	if c.keyPair, err = tls.LoadX509KeyPair(certificate, key); err != nil {
		x.AddProblem("certificate", "can't be used with its key: %v", err)
	}
	if c.caPool, err = LoadCertPool(authority); err != nil {
		x.AddProblem("authority", "can't be used: %v", err)
	}
	s.certificates = c
}

// LoadCertPool reads the PEM file of the certificate authorities to trust.
func LoadCertPool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s holds no certificate", path)
	}
	return pool, nil
}

// PeerServerTLS returns the TLS configuration of the listener for other nodes, with
// certificates on both sides. It returns nil if there are no certificates.
func (s *Settings) PeerServerTLS() *tls.Config {
	if s.certificates == nil {
		return nil
	}
	return &tls.Config{
		Certificates: []tls.Certificate{s.certificates.keyPair},
		ClientCAs:    s.certificates.caPool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}

// PeerClientTLS returns the TLS configuration of connections to other nodes, or nil if
// there are no certificates.
func (s *Settings) PeerClientTLS() *tls.Config {
	if s.certificates == nil {
		return nil
	}
	c := ClientTLS(s.certificates.caPool)
	c.Certificates = []tls.Certificate{s.certificates.keyPair}
	return c
}

// OperatorTLS returns the TLS configuration of the listener for operators. It asks for
// no client certificate, since operators authenticate by their secret. It returns nil if
// there are no certificates.
func (s *Settings) OperatorTLS() *tls.Config {
	if s.certificates == nil {
		return nil
	}
	return &tls.Config{Certificates: []tls.Certificate{s.certificates.keyPair}, MinVersion: tls.VersionTLS13}
}

// OperatorClientTLS returns the TLS configuration with which operators' tools connect to
// the node, or nil if there are no certificates.
func (s *Settings) OperatorClientTLS() *tls.Config {
	if s.certificates == nil {
		return nil
	}
	return ClientTLS(s.certificates.caPool)
}

// ClientTLS returns a client's TLS configuration that accepts any node whose certificate
// is signed by one of the authorities.
func ClientTLS(authority *x509.CertPool) *tls.Config {
	return &tls.Config{RootCAs: authority, ServerName: certificateServerName, MinVersion: tls.VersionTLS13}
}
