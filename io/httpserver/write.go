package httpserver

import (
	"errors"
	"io"
	"os"
	"time"

	"cicadabeam/io/tcp"
)

const (
	// stallTimeout is how long a caller may read nothing of a response that no write deadline of its handler
	// limits. A connection with a request in progress isn't closed for others, so it must end by itself.
	stallTimeout = 10 * time.Second
	// stallInterval is the time between two looks at what such a caller has read.
	stallInterval = time.Second
	// writeSize is the size in bytes of the writes of a response.
	writeSize = 64 << 10
)

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeLimited.Store(!t.IsZero())
	return c.TCPConn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.writeLimited.Store(!t.IsZero())
	return c.TCPConn.SetDeadline(t)
}

// Write implements net.Conn. Without a write deadline it fails once the caller has read nothing for
// stallTimeout.
func (c *conn) Write(b []byte) (int, error) {
	if c.writeLimited.Load() || c.limited == nil {
		return c.TCPConn.Write(b)
	}
	written := 0
	defer c.clearWriteDeadline()
	for {
		n, err := c.writePart(b[written:min(len(b), written+writeSize)])
		if written += n; err != nil || written == len(b) {
			return written, err
		}
	}
}

// clearWriteDeadline ends the deadline that Write has set, unless the handler has set another one.
func (c *conn) clearWriteDeadline() {
	if !c.writeLimited.Load() {
		_ = c.TCPConn.SetWriteDeadline(time.Time{})
	}
}

// writePart writes what is sent at once.
func (c *conn) writePart(b []byte) (int, error) {
	written := 0
	acknowledged, stalled := tcp.Acknowledged(c.TCPConn), time.Now().Add(stallTimeout)
	for {
		now := time.Now()
		_ = c.TCPConn.SetWriteDeadline(now.Add(stallInterval))
		n, err := c.TCPConn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if a := tcp.Acknowledged(c.TCPConn); n > 0 || a != acknowledged {
			acknowledged, stalled = a, now.Add(stallTimeout)
		}
		if now.After(stalled) || c.writeLimited.Load() {
			return written, err
		}
	}
}

// ReadFrom implements io.ReaderFrom, by writes.
func (c *conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }
