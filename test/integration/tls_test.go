package integration

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cicadabeam/cmd/settings"
	"cicadabeam/test/cluster"
)

// authority is a certificate authority that issues the certificates of a test.
type authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func certificateTemplate(serial int64, name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(t, err)
	a.cert = certificateTemplate(1, "authority")
	a.cert.IsCA = true
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	must(t, err)
	a.write(t, "authority.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	must(t, os.WriteFile(filepath.Join(a.dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// settingsSection issues a certificate for the nodes and returns the section of the
// settings that uses it.
func (a *authority) settingsSection(t *testing.T) string {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(t, err)
	der, err := x509.CreateCertificate(rand.Reader, certificateTemplate(2, "cicadabeam"), a.cert, &key.PublicKey, a.key)
	must(t, err)
	a.write(t, "node.pem", "CERTIFICATE", der)
	der, err = x509.MarshalECPrivateKey(key)
	must(t, err)
	a.write(t, "node.key", "EC PRIVATE KEY", der)
	return fmt.Sprintf("[tls]\ncertificate = %[1]s/node.pem\nkey = %[1]s/node.key\nauthority = %[1]s/authority.pem\n", a.dir)
}

func (a *authority) client(t *testing.T) *tls.Config {
	t.Helper()
	pool, err := settings.LoadCertPool(filepath.Join(a.dir, "authority.pem"))
	must(t, err)
	return settings.ClientTLS(pool)
}

// Nodes with certificates of one authority accept each other and reject clients without a
// certificate of that authority.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	a := newAuthority(t)
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 1, EnginesPerDataCentre: 1, ExtraSettings: a.settingsSection(t), OperatorTLS: a.client(t)})
	p := cluster.CompletionRequest{Text: "tokens=150", IdempotencyKey: "tls"}
	j := readUntil(t, c.Node(0), p, 40, c.Node(0).Kill)
	resumeByGet(t, c.Node(1), j, p)
	j.check(t, c, longAnswer)
	address := c.Node(1).PeerAddress()
	for name, x := range map[string]*tls.Config{"no certificate": a.client(t), "another authority": untrustedClientTLS(t)} {
		conn, err := tls.Dial("tcp", address, x)
		if err != nil {
			continue
		}
		_, err = conn.Read(make([]byte, 1))
		if err == nil {
			t.Errorf("%s: the node accepted the connection", name)
		}
		_ = conn.Close()
	}
	checkContains(t, runCommand(t, 0, "status", "--settings", c.Node(1).SettingsPath()), "node-2")
	checkContains(t, runCommand(t, 1, "status", "--node", c.Node(1).OperatorURL()), "certificate")
}

// untrustedClientTLS returns a configuration with a certificate of another authority that
// accepts any server certificate.
func untrustedClientTLS(t *testing.T) *tls.Config {
	t.Helper()
	a := newAuthority(t)
	_ = a.settingsSection(t)
	cert, err := tls.LoadX509KeyPair(filepath.Join(a.dir, "node.pem"), filepath.Join(a.dir, "node.key"))
	must(t, err)
	return &tls.Config{Certificates: []tls.Certificate{cert}, InsecureSkipVerify: true, ServerName: "cicadabeam"}
}
