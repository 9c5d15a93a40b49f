package tcp

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// pendingTimeout limits the time in which a server that has ended its response takes what is being sent.
const pendingTimeout = time.Second

// Writes follows the writes to a connection, one at a time, so that the reader of its end can tell a reset.
// The kernel reports a reset to the pending write only, and reads end as if the peer had closed the
// connection. A reset may also follow an end, if the peer leaves a request unread.
type Writes struct {
	mu      sync.Mutex
	pending chan struct{} // closed when the pending write has ended, nil if none is pending
	failed  bool
}

// Write writes to the connection.
func (w *Writes) Write(c net.Conn, b []byte) (int, error) {
	done := make(chan struct{})
	w.mu.Lock()
	w.pending = done
	w.mu.Unlock()
	n, err := c.Write(b)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending, w.failed = nil, w.failed || err != nil
	close(done)
	return n, err
}

// Broke reports whether the connection, whose end was read, was reset. It waits for the pending write for
// up to pendingTimeout.
func (w *Writes) Broke() bool {
	w.mu.Lock()
	pending, failed := w.pending, w.failed
	w.mu.Unlock()
	if pending == nil {
		return failed
	}
	t := time.NewTimer(pendingTimeout)
	defer t.Stop()
	select {
	case <-pending:
	case <-t.C:
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// CheckEnds returns a dial function whose connections end with io.EOF only if they were not reset while
// something was being written.
func CheckEnds(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: c}, nil
	}
}

// checkedConn is a connection of CheckEnds.
type checkedConn struct {
	net.Conn
	writes Writes
}

// Write implements net.Conn.
func (c *checkedConn) Write(b []byte) (int, error) { return c.writes.Write(c.Conn, b) }

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF && c.writes.Broke() {
		return n, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}
