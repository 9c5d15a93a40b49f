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

// authority makes certificates for a test.
type authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func template(serial int64, name string) *x509.Certificate {
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
	a.cert = template(1, "authority")
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

// section returns the settings with a certificate of the authority.
func (a *authority) section(t *testing.T) string {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(t, err)
	der, err := x509.CreateCertificate(rand.Reader, template(2, "cicadabeam"), a.cert, &key.PublicKey, a.key)
	must(t, err)
	a.write(t, "node.pem", "CERTIFICATE", der)
	der, err = x509.MarshalECPrivateKey(key)
	must(t, err)
	a.write(t, "node.key", "EC PRIVATE KEY", der)
	return fmt.Sprintf("[tls]\ncertificate = %[1]s/node.pem\nkey = %[1]s/node.key\nauthority = %[1]s/authority.pem\n", a.dir)
}

func (a *authority) client(t *testing.T) *tls.Config {
	t.Helper()
	pool, err := settings.LoadAuthority(filepath.Join(a.dir, "authority.pem"))
	must(t, err)
	return settings.ClientTLS(pool)
}

// With certificates the nodes work together, and nobody without one of the same
// authority reaches them.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	a := newAuthority(t)
	c := start(t, cluster.Layout{DataCentres: 2, NodesEach: 1, EnginesEach: 1, Settings: a.section(t), TLS: a.client(t)})
	p := cluster.Prompt{Text: "tokens=150", Key: "tls"}
	j := readUntil(t, c.Node(0), p, 40, c.Node(0).Kill)
	byLastEvent(t, c.Node(1), j, p)
	j.check(t, c, longAnswer)
	address := c.Node(1).PeersAddress()
	for name, x := range map[string]*tls.Config{"no certificate": a.client(t), "another authority": strangerTLS(t)} {
		conn, err := tls.Dial("tcp", address, x)
		if err != nil {
			continue
		}
		_, err = conn.Read(make([]byte, 1))
		if err == nil {
			t.Errorf("%s: the node speaks to a stranger", name)
		}
		_ = conn.Close()
	}
	expect(t, tool(t, 0, "status", "--settings", c.Node(1).Settings()), "node-2")
	expect(t, tool(t, 1, "status", "--node", c.Node(1).OperatorsURL()), "certificate")
}

// strangerTLS shows a certificate of another authority, and believes anyone.
func strangerTLS(t *testing.T) *tls.Config {
	t.Helper()
	b := newAuthority(t)
	_ = b.section(t)
	own, err := tls.LoadX509KeyPair(filepath.Join(b.dir, "node.pem"), filepath.Join(b.dir, "node.key"))
	must(t, err)
	return &tls.Config{Certificates: []tls.Certificate{own}, InsecureSkipVerify: true, ServerName: "cicadabeam"}
}
