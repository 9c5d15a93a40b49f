package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/io/tcp"
)

// kinds of the frame that ends a tunnel
const (
	frameEnded   = 1
	frameBroke   = 2
	frameGivenUp = 3 // the node behind gave it up, and the server knows of that

	readAheadBytes = 1 << 10
)

// Conn is a tunnel at the node behind.
type Conn struct {
	net.Conn
	tcp    *net.TCPConn
	lease  *held
	number uint32
	reader *bufio.Reader // of the TCP connection
	left   int           // bytes of the frame that is being read
	ended  error         // what the last frame said
	lost   atomic.Bool   // the lease has ended
	closed atomic.Bool
	mu     sync.Mutex // held while it is read
	end    *tcp.Notice
}

func newConn(c *net.TCPConn, h *held, number uint32) *Conn {
	return &Conn{Conn: c, tcp: c, lease: h, number: number, reader: bufio.NewReaderSize(c, readAheadBytes), end: tcp.NewNotice()}
}

// Read implements net.Conn. It returns io.EOF only if the server has ended its connection.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.read(b)
}

func (c *Conn) read(b []byte) (int, error) {
	for c.left == 0 {
		if c.ended != nil {
			return 0, c.ended
		}
		if err := c.readHeader(); err != nil {
			return 0, c.readError(err)
		}
	}
	n, err := c.reader.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, c.readError(err)
}

// readHeader reads the header of a frame, or nothing if it fails.
func (c *Conn) readHeader() error {
	b, err := c.reader.Peek(headerBytes)
	if err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint16(b))
	if size > 0 {
		c.left = size
		_, err = c.reader.Discard(headerBytes)
		return err
	}
	if b, err = c.reader.Peek(headerBytes + 1); err != nil {
		return err
	}
	switch b[headerBytes] {
	case frameEnded:
		c.ended = io.EOF
	case frameGivenUp:
		c.ended = errGivenUp
	default:
		c.ended = errors.Wrapf(errBroke, "through %s", c.lease.node)
	}
	return nil
}

// readError returns the error of a read: ErrLost unless it timed out.
func (c *Conn) readError(err error) error {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) && !c.lost.Load() {
		return err
	}
	return errors.Wrapf(ErrLost, "through %s: %s", c.lease.node, err)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.tcp.Write(b)
	return n, c.readError(err)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// Close implements net.Conn. The node between learns of it even if it doesn't see the connection's end.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	c.lease.release(c)
	return c.tcp.Close()
}

// GiveUp ends the tunnel, on which a request may be running that goes on elsewhere. The node between
// tells the server.
func (c *Conn) GiveUp() {
	if c.closed.Swap(true) {
		return
	}
	c.lease.release(c)
	_ = c.tcp.SetDeadline(time.Unix(1, 0))
	_ = c.tcp.CloseWrite()
	go c.readEnd()
}

// AwaitEnd waits until a time at the latest and reports whether the node between has said that the
// server knows of the end of the tunnel, which was given up.
func (c *Conn) AwaitEnd(until time.Time) bool { return c.end.Await(until) }

// readEnd reads what the node between says of the end of a tunnel that was given up, and closes it.
func (c *Conn) readEnd() {
	limit := time.AfterFunc(lastFrameTimeout, func() { reset(c.tcp) })
	defer limit.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	b := make([]byte, readAheadBytes)
	err := os.ErrDeadlineExceeded
	for err == nil || errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, ErrLost) {
		_ = c.tcp.SetReadDeadline(time.Time{}) // whoever used it may set one
		_, err = c.read(b)
	}
	reset(c.tcp)
	c.end.Tell(errors.Is(err, io.EOF) || errors.Is(err, errBroke) || errors.Is(err, errGivenUp))
}

// Through returns the address of the node between.
func (c *Conn) Through() string { return c.lease.node }

// Reusable reports whether the tunnel may carry another request.
func (c *Conn) Reusable() bool {
	return c.ended == nil && c.left == 0 && c.reader.Buffered() == 0 && !c.lost.Load() && !c.lease.draining.Load()
}

// lose ends a tunnel whose lease has ended.
func (c *Conn) lose() {
	c.lost.Store(true)
	reset(c.tcp)
}
