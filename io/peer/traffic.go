package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// writeTimeout limits the time of a write, as net/rpc doesn't: a node that takes nothing from
// its connections would hold up calls to it for good.
const writeTimeout = callTimeout

// Traffic counts the bytes on all connections to other nodes.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the number of bytes sent so far.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the number of bytes received so far.
func (t *Traffic) Received() int64 { return t.received.Load() }

// count returns a connection like c whose bytes are counted and whose writes are limited in
// time.
func (t *Traffic) count(c net.Conn) net.Conn { return &countedConn{Conn: c, traffic: t} }

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
