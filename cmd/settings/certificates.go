package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/inifile"
)

// certificateName is the name that each node's certificate is for. Nodes come and
// go; what a certificate proves is that its bearer belongs to the system.
const certificateName = "cicadabeam"

// certificates are what a node proves itself with, and what it believes.
type certificates struct {
	own       tls.Certificate
	authority *x509.CertPool
}

// readTLS reads the section tls. Without it there are no certificates.
func (s *Settings) readTLS(x *inifile.Section) {
	certificate := x.Value("certificate", "")
	key := x.Value("key", "")
	authority := x.Value("authority", "")
	if certificate == "" && key == "" && authority == "" {
		return
	}
	c := &certificates{}
	var err error
	if c.own, err = tls.LoadX509KeyPair(certificate, key); err != nil {
		x.AddProblem("certificate", "can't be used with its key: %v", err)
	}
	if c.authority, err = LoadAuthority(authority); err != nil {
		x.AddProblem("authority", "can't be used: %v", err)
	}
	s.certificates = c
}

// LoadAuthority reads the certificates that others are believed by.
func LoadAuthority(path string) (*x509.CertPool, error) {
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

// PeerServerTLS returns how the listener for other nodes is secured: both sides
// show a certificate. It is nil without certificates.
func (s *Settings) PeerServerTLS() *tls.Config {
	if s.certificates == nil {
		return nil
	}
	return &tls.Config{
		Certificates: []tls.Certificate{s.certificates.own},
		ClientCAs:    s.certificates.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}

// PeerClientTLS returns how connections to other nodes are secured, or nil.
func (s *Settings) PeerClientTLS() *tls.Config {
	if s.certificates == nil {
		return nil
	}
	c := ClientTLS(s.certificates.authority)
	c.Certificates = []tls.Certificate{s.certificates.own}
	return c
}

// OperatorTLS returns how the listener for operators is secured: the node shows
// its certificate, and operators show their secret. It is nil without certificates.
func (s *Settings) OperatorTLS() *tls.Config {
	if s.certificates == nil {
		return nil
	}
	return &tls.Config{Certificates: []tls.Certificate{s.certificates.own}, MinVersion: tls.VersionTLS13}
}

// OperatorClientTLS returns how operators' tools believe the node, or nil.
func (s *Settings) OperatorClientTLS() *tls.Config {
	if s.certificates == nil {
		return nil
	}
	return ClientTLS(s.certificates.authority)
}

// ClientTLS believes any node that an authority vouches for.
func ClientTLS(authority *x509.CertPool) *tls.Config {
	return &tls.Config{RootCAs: authority, ServerName: certificateName, MinVersion: tls.VersionTLS13}
}
