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
	nonceSize        = 16
	handshakeTimeout = 2 * time.Second
)

// errWrongSecret reports that the other side did not prove that it knows the secret.
var errWrongSecret = errors.New("authentication failed: the other side has a different shared secret")

// proof returns the HMAC of a role and both nonces, which proves that the side in this
// role knows the secret.
func proof(secret, role string, serverNonce, clientNonce []byte) []byte {
	m := hmac.New(sha256.New, []byte(secret))
	_, _ = m.Write([]byte(role))
	_, _ = m.Write(serverNonce)
	_, _ = m.Write(clientNonce)
	return m.Sum(nil)
}

// serverHandshake performs the mutual authentication on the listening side.
func serverHandshake(c net.Conn, secret string) error {
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
	serverNonce := newNonce()
	if _, err := c.Write(serverNonce); err != nil {
		return err
	}
	response := make([]byte, nonceSize+sha256.Size)
	if _, err := io.ReadFull(c, response); err != nil {
		return err
	}
	clientNonce := response[:nonceSize]
	if !hmac.Equal(response[nonceSize:], proof(secret, "client", serverNonce, clientNonce)) {
		return errWrongSecret
	}
	if _, err := c.Write(proof(secret, "server", serverNonce, clientNonce)); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// clientHandshake performs the mutual authentication on the dialling side.
func clientHandshake(c net.Conn, secret string, deadline time.Time) error {
	_ = c.SetDeadline(deadline)
	serverNonce := make([]byte, nonceSize)
	if _, err := io.ReadFull(c, serverNonce); err != nil {
		return err
	}
	clientNonce := newNonce()
	if _, err := c.Write(append(clientNonce, proof(secret, "client", serverNonce, clientNonce)...)); err != nil {
		return err
	}
	response := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, response); err != nil {
		return err
	}
	if !hmac.Equal(response, proof(secret, "server", serverNonce, clientNonce)) {
		return errWrongSecret
	}
	return c.SetDeadline(time.Time{})
}

func newNonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b)
	return b
}
