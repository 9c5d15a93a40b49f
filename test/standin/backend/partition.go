package backend

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Partition is what happens to connections of callers that are partitioned from a server.
type Partition int

// The kinds of partitions.
const (
	NoPartition Partition = iota
	// Hang passes nothing on; connections can be opened all the same.
	Hang
	// HangNew passes nothing on over new connections; open ones live on.
	HangNew
	// ResetThenHang resets open connections and passes nothing on over new ones.
	ResetThenHang
	// Reset resets open connections, and new ones after they were accepted.
	Reset
)

const partitionPollInterval = 5 * time.Millisecond

var errLost = errors.New("what was sent during the partition is lost")

// SetPartition partitions the server from the callers with some IP addresses.
func (s *Server) SetPartition(p Partition, callers ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition = p
	s.partitioned = make(map[string]bool)
	for _, ip := range callers {
		s.partitioned[ip] = true
	}
	s.partitionedAt = time.Now()
	for c := range s.conns {
		if (p == Reset || p == ResetThenHang) && s.partitioned[callerIP(c)] {
			reset(c)
		}
	}
}

func callerIP(c net.Conn) string {
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return ip
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// resetsNew reports whether a new connection is to be reset. s.mu is held.
func (s *Server) resetsNew(c net.Conn) bool {
	return s.partition == Reset && s.partitioned[callerIP(c)]
}

// hangs reports whether nothing passes over a connection that was opened at a time.
func (s *Server) hangs(c net.Conn, opened time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.partitioned[callerIP(c)] {
		return false
	}
	return s.partition == Hang || (s.partition == HangNew || s.partition == ResetThenHang) && opened.After(s.partitionedAt)
}

// partitionableConn is a connection over which nothing passes while its caller is partitioned from
// the server. What the caller sent in that time is lost with the connection.
type partitionableConn struct {
	net.Conn
	server *Server
	opened time.Time
}

// Read implements net.Conn.
func (c *partitionableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.awaitPath() {
		return 0, errLost
	}
	return n, err
}

// Write implements net.Conn.
func (c *partitionableConn) Write(b []byte) (int, error) {
	if c.awaitPath() {
		return 0, errLost
	}
	return c.Conn.Write(b)
}

// TCP returns the TCP connection under the connection of a step, or under that of its caller.
func TCP(c net.Conn) (*net.TCPConn, bool) {
	switch x := c.(type) {
	case *Conn:
		return TCP(x.Conn)
	case *headerConn:
		return TCP(x.Conn)
	case *partitionableConn:
		return TCP(x.Conn)
	}
	t, ok := c.(*net.TCPConn)
	return t, ok
}

// awaitPath waits while the caller is partitioned, and reports whether it was.
func (c *partitionableConn) awaitPath() bool {
	waited := false
	for c.server.hangs(c.Conn, c.opened) {
		waited = true
		time.Sleep(partitionPollInterval)
	}
	return waited
}
