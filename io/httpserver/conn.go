package httpserver

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"cicadabeam/core/bytebudget"
	"cicadabeam/io/tcp"
)

const (
	// maxLinger limits the time in which a caller reads the last response of a connection.
	maxLinger      = 30 * time.Second
	lingerInterval = 10 * time.Millisecond
)

// listener accepts connections that are closed once their last response has arrived.
type listener struct {
	net.Listener
	lingering *atomic.Int64
	buffers   *bytebudget.Budget
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok {
		return &conn{TCPConn: t, lingering: l.lingering, head: head{budget: l.buffers}}, err
	}
	return c, err
}

// conn is a caller's connection.
type conn struct {
	*net.TCPConn
	announced atomic.Bool   // the last response says that the connection is closed
	lingering *atomic.Int64 // connections that are being closed
	head      head
}

// Close implements net.Conn. If the caller has not got all of a response that closes the
// connection, it returns before the connection is closed: a further request that the caller has sent
// would make the kernel drop the rest of the response.
func (c *conn) Close() error {
	if !c.announced.Swap(false) || !tcp.Unacknowledged(c.TCPConn) {
		return c.TCPConn.Close()
	}
	c.lingering.Add(1)
	go c.linger(time.Now().Add(maxLinger))
	return nil
}

// linger discards what the caller sends until it has got the last response, and closes the connection.
func (c *conn) linger(until time.Time) {
	defer c.lingering.Add(-1)
	defer func() { _ = c.TCPConn.Close() }()
	_ = c.CloseWrite()
	b := make([]byte, 4<<10)
	for now := time.Now(); now.Before(until) && tcp.Unacknowledged(c.TCPConn); now = time.Now() {
		_ = c.SetReadDeadline(now.Add(lingerInterval))
		if _, err := c.TCPConn.Read(b); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(lingerInterval)
		}
	}
}
