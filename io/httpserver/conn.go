package httpserver

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"cicadabeam/core/bytebudget"
	"cicadabeam/core/connlimit"
	"cicadabeam/io/tcp"
)

const (
	// maxLinger limits the time in which a caller reads the last response of a connection.
	maxLinger      = 30 * time.Second
	lingerInterval = 10 * time.Millisecond
	// lingerKept is how long a connection that is being closed isn't closed in favour of others.
	lingerKept = 3 * time.Second
)

// listener accepts connections that are closed once their last response has arrived.
type listener struct {
	net.Listener
	lingering *atomic.Int64
	buffers   *bytebudget.Budget
	limit     *connlimit.Limit // nil for none
	refusals  chan struct{}    // holds one for each connection that is being refused
	accepted  func(c net.Conn, limited *connlimit.Conn)
}

// Accept waits for the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return c, err
		}
		var x *conn
		if t, ok := c.(*net.TCPConn); ok {
			x = &conn{TCPConn: t, lingering: l.lingering, head: head{budget: l.buffers}}
			c = x
		}
		if l.limit == nil {
			return c, nil
		}
		limited := l.limit.Add(tcp.RemoteIP(c), time.Now(), func() { closeNow(c) })
		if limited == nil {
			l.refuse(c)
			continue
		}
		if x != nil {
			x.limited = limited
		}
		l.accepted(c, limited)
		return c, nil
	}
}

// conn is a caller's connection.
type conn struct {
	*net.TCPConn
	announced atomic.Bool   // the last response says that the connection is closed
	lingering *atomic.Int64 // connections that are being closed
	limited   *connlimit.Conn
	head      head
	// writeLimited is set while the handler limits the time of writes.
	writeLimited atomic.Bool
}

// NetConn returns the connection without what Close does.
func (c *conn) NetConn() net.Conn { return c.TCPConn }

// Close implements net.Conn. If the caller has not got all of a response that closes the
// connection, it returns before the connection is closed: a further request that the caller has sent
// would make the kernel drop the rest of the response.
func (c *conn) Close() error {
	if !c.announced.Swap(false) || !tcp.Unacknowledged(c.TCPConn) {
		defer c.limited.Remove()
		return c.TCPConn.Close()
	}
	c.lingering.Add(1)
	go c.linger(time.Now().Add(maxLinger))
	return nil
}

// linger discards what the caller sends until it has got the last response, and closes the connection.
func (c *conn) linger(until time.Time) {
	defer c.lingering.Add(-1)
	defer c.limited.Remove()
	defer func() { _ = c.TCPConn.Close() }()
	_ = c.limited.Begin()
	t := time.AfterFunc(lingerKept, func() { c.limited.Wait(time.Now()) })
	defer t.Stop()
	_ = c.CloseWrite()
	b := make([]byte, 4<<10)
	for now := time.Now(); now.Before(until) && tcp.Unacknowledged(c.TCPConn); now = time.Now() {
		_ = c.SetReadDeadline(now.Add(lingerInterval))
		if _, err := c.TCPConn.Read(b); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(lingerInterval)
		}
	}
}
