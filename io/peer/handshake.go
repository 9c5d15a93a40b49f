package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	nonceBytes    = 16
	handshakeWait = 2 * time.Second
)

// errSecret tells that the other side doesn't have the secret.
var errSecret = errors.New("the other side does not know the peers' secret")

// proof shows that a side knows the secret, for a pair of nonces.
func proof(secret, side string, server, client []byte) []byte {
	m := hmac.New(sha256.New, []byte(secret))
	_, _ = m.Write([]byte(side))
	_, _ = m.Write(server)
	_, _ = m.Write(client)
	return m.Sum(nil)
}

// greetClient proves to each other on the listening side.
func greetClient(c net.Conn, secret string) error {
	_ = c.SetDeadline(time.Now().Add(handshakeWait))
	server := newNonce()
	if _, err := c.Write(server); err != nil {
		return err
	}
	answer := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(c, answer); err != nil {
		return err
	}
	client := answer[:nonceBytes]
	if !hmac.Equal(answer[nonceBytes:], proof(secret, "client", server, client)) {
		return errSecret
	}
	if _, err := c.Write(proof(secret, "server", server, client)); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// greetServer proves to each other on the dialling side, until a deadline.
func greetServer(c net.Conn, secret string, deadline time.Time) error {
	_ = c.SetDeadline(deadline)
	server := make([]byte, nonceBytes)
	if _, err := io.ReadFull(c, server); err != nil {
		return err
	}
	client := newNonce()
	if _, err := c.Write(append(client, proof(secret, "client", server, client)...)); err != nil {
		return err
	}
	answer := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, answer); err != nil {
		return err
	}
	if !hmac.Equal(answer, proof(secret, "server", server, client)) {
		return errSecret
	}
	return c.SetDeadline(time.Time{})
}

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b)
	return b
}
