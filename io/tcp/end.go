package tcp

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// End is what is known of the end of a connection whose sending side was closed.
type End int

// What may be known.
const (
	EndPending End = iota // the peer has said nothing
	EndKnown              // the peer has ended the connection too
	EndLost               // the kernel ended the connection, and the peer may not know
	EndUntold             // the connection was closed before
)

// ReadEnd returns what is known of the end of a connection whose sending side was closed. What the peer
// has sent is discarded. If the kernel has ended the connection, it says so to the first that reads or
// writes: a caller that may have read before asks Lost about the error.
func ReadEnd(c *net.TCPConn) End {
	switch err := discard(c); {
	case errors.Is(err, net.ErrClosed):
		return EndUntold
	case err == io.EOF, errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE):
		return EndKnown
	case !errors.Is(err, unix.EAGAIN):
		return EndLost
	}
	return EndPending
}

// stateFinWait2 is the state of a connection whose end its peer's kernel has acknowledged.
const stateFinWait2 = 5

// EndAcknowledged reports whether the peer's kernel has acknowledged the end of a connection whose sending
// side was closed, as far as this one tells. Its process may not have read it.
func EndAcknowledged(c *net.TCPConn) bool {
	info := readInfo(c)
	return info != nil && info.State == stateFinWait2
}

// maxDiscarded limits what is discarded at once of a response that goes on, in buffers.
const maxDiscarded = 4

// discard reads without waiting until that fails, or much was read.
func discard(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return net.ErrClosed
	}
	var result error
	err = raw.Control(func(fd uintptr) {
		var b [4 << 10]byte
		for i := 0; result == nil; i++ {
			if i == maxDiscarded {
				result = unix.EAGAIN
				return
			}
			n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_DONTWAIT)
			if result = err; n == 0 && err == nil {
				result = io.EOF
			}
		}
	})
	if err != nil {
		return net.ErrClosed
	}
	return result
}

// Lost reports whether the error of a read or write says that the kernel ended the connection because
// its peer was not reached.
func Lost(err error) bool {
	var number unix.Errno
	return errors.As(err, &number) && !errors.Is(err, os.ErrDeadlineExceeded) && number != unix.ECONNRESET && number != unix.EPIPE
}

// SetUserTimeout changes how long sent bytes may stay unacknowledged before the connection is closed.
func SetUserTimeout(c syscall.Conn, limit time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "tcp: set user timeout")
	}
	return UserTimeout(limit)("", "", raw)
}

// Refused reports whether a connection could not be opened although its peer's host was reached.
func Refused(err error) bool {
	return errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ECONNRESET)
}

// Notice is whether the peer of a connection knows of its end, which is told once.
type Notice struct {
	known bool
	told  chan struct{}
}

// NewNotice returns a notice that has not been told yet.
func NewNotice() *Notice { return &Notice{told: make(chan struct{})} }

// Tell tells it. It must be called once at most.
func (n *Notice) Tell(known bool) {
	n.known = known
	close(n.told)
}

// Await waits for it, until a time at the latest, and reports whether the peer is known to know.
func (n *Notice) Await(until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-n.told:
		return n.known
	case <-t.C:
		return false
	}
}
