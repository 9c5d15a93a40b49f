package neighbour

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/io/tcp"
)

// A tunnel is a connection to a server through another node. The node that opens one sends
// tunnelMark, the server's address and a line feed. The other node connects to the server, by itself
// only, and answers with tunnelOpen, or with tunnelRefused if it could not. From then on it passes on
// what it receives, until one of the connections ends.
const (
	tunnelMark    = 0 // begins no message of net/rpc
	tunnelOpen    = 1
	tunnelRefused = 2

	maxAddressBytes = 64
	// tunnelHeadTimeout limits the time in which a node sends the address.
	tunnelHeadTimeout = time.Second
	// maxTunnels limits the tunnels through a node.
	maxTunnels      = 512
	tunnelReadBytes = 16 << 10
)

var errTunnelRefused = errors.New("the other node could not connect to the server")

// Tunnels passes on what other nodes and servers send to each other.
type Tunnels struct {
	// Dial connects to a server, or fails if the address is not that of one.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	open atomic.Int64
}

// Count returns the number of open tunnels.
func (t *Tunnels) Count() int64 { return t.open.Load() }

// serve serves a connection whose mark has been read.
func (t *Tunnels) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if t.open.Add(1); t.open.Load() > maxTunnels {
		t.open.Add(-1)
		_, _ = c.Write([]byte{tunnelRefused})
		return
	}
	defer t.open.Add(-1)
	_ = c.SetDeadline(time.Now().Add(tunnelHeadTimeout))
	address, err := readLine(c)
	if err != nil {
		return
	}
	s, err := t.Dial(context.Background(), address)
	if err != nil {
		_, _ = c.Write([]byte{tunnelRefused})
		return
	}
	defer func() { _ = s.Close() }()
	if _, err := c.Write([]byte{tunnelOpen}); err != nil {
		return
	}
	_ = c.SetDeadline(time.Time{})
	var g sync.WaitGroup
	for _, x := range [][2]net.Conn{{c, s}, {s, c}} {
		g.Go(func() {
			_, err := io.CopyBuffer(onlyWriter{x[0]}, x[1], make([]byte, tunnelReadBytes))
			if err != nil {
				resetOnClose(c)
				resetOnClose(s)
			}
			_ = c.Close()
			_ = s.Close()
		})
	}
	g.Wait()
}

// onlyWriter keeps io.CopyBuffer from using another buffer than the one that it is given.
type onlyWriter struct{ io.Writer }

// resetOnClose makes the end of a connection a reset, so that a response without length which
// broke off does not look complete.
func resetOnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}

// readLine reads up to a line feed and no further.
func readLine(r io.Reader) (string, error) {
	var line strings.Builder
	b := make([]byte, 1)
	for line.Len() < maxAddressBytes {
		if _, err := io.ReadFull(r, b); err != nil {
			return "", errors.Wrap(err, "read address")
		}
		if b[0] == '\n' {
			return line.String(), nil
		}
		line.WriteByte(b[0])
	}
	return "", errors.New("the address is too long")
}

// DialThrough connects to a server through the node at an address, until the end of ctx.
func DialThrough(ctx context.Context, node, server string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}, Control: tcp.UserTimeout(tcpUserTimeout)}
	c, err := d.DialContext(ctx, "tcp", node)
	if err != nil {
		return nil, errors.Wrapf(err, "connect through %s", node)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	answer := make([]byte, 1)
	_, err = c.Write([]byte(string(rune(tunnelMark)) + server + "\n"))
	if err == nil {
		_, err = io.ReadFull(c, answer)
	}
	if err == nil && answer[0] != tunnelOpen {
		err = errTunnelRefused
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = c.Close()
		return nil, errors.Wrapf(err, "connect to %s through %s", server, node)
	}
	_ = c.SetDeadline(time.Time{})
	return c, nil
}

// markedConn is a connection of which the first byte was read.
type markedConn struct {
	net.Conn
	first []byte
}

// Read implements net.Conn.
func (c *markedConn) Read(b []byte) (int, error) {
	if len(c.first) > 0 && len(b) > 0 {
		n := copy(b, c.first)
		c.first = c.first[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// serveConn serves a connection by its first byte.
func serveConn(c net.Conn, rpc func(io.ReadWriteCloser), t *Tunnels) {
	first := make([]byte, 1)
	if _, err := io.ReadFull(c, first); err != nil {
		_ = c.Close()
		return
	}
	if first[0] == tunnelMark && t != nil {
		t.serve(c)
		return
	}
	rpc(&markedConn{Conn: c, first: first})
}
