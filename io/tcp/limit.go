package tcp

import (
	"math"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"cicadabeam/core/connlimit"
)

// LimitListener limits the connections of a listener that are open at a time. Those that are not kept
// yet give way to new ones. Without a limit it returns l.
func LimitListener(l net.Listener, limit *connlimit.Limit) net.Listener {
	if limit == nil {
		return l
	}
	return &limitedListener{Listener: l, limit: limit}
}

type limitedListener struct {
	net.Listener
	limit *connlimit.Limit
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := Accept(l.Listener)
		if err != nil {
			return c, err
		}
		limited := l.limit.Add(RemoteIP(c), time.Now(), func() { _ = c.Close() })
		if limited == nil {
			_ = c.Close()
			continue
		}
		return &LimitedConn{TCPConn: c.(*net.TCPConn), limited: limited}, nil
	}
}

// LimitedConn is a connection of a limited listener.
type LimitedConn struct {
	*net.TCPConn
	limited *connlimit.Conn
}

// Keep makes a connection of a limited listener not give way to others any more. It reports false if the
// connection had to.
func Keep(c net.Conn) bool {
	x, ok := c.(*LimitedConn)
	return !ok || x.limited.Begin()
}

// Close implements net.Conn.
func (c *LimitedConn) Close() error {
	defer c.limited.Remove()
	return c.TCPConn.Close()
}

// RemoteIP returns the IP address of a connection's peer.
func RemoteIP(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}

// Underlying returns the connection that another one encrypts or adds to.
func Underlying(c net.Conn) net.Conn {
	if x, ok := c.(interface{ NetConn() net.Conn }); ok {
		return x.NetConn()
	}
	return c
}

// MaxFiles returns how many file descriptors the process may open.
func MaxFiles() int {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil || r.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(r.Cur)
}
