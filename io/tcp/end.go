package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// stateFinWait1 is the state of a connection that has ended towards its peer, which has not acknowledged that.
const stateFinWait1 = 4

// EndKnown reports whether the peer of a connection whose sending side was closed knows that, or has
// ended the connection itself. What the peer has sent is discarded.
func EndKnown(c *net.TCPConn) bool {
	info := readInfo(c)
	return info == nil || info.State != stateEstablished && info.State != stateFinWait1 || endedByPeer(c)
}

// endedByPeer reads without waiting and reports whether it came to an end.
func endedByPeer(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		var b [4 << 10]byte
		n := 1
		var e error
		for n > 0 && e == nil {
			n, _, e = unix.Recvfrom(int(fd), b[:], unix.MSG_DONTWAIT)
		}
		ended = e != unix.EAGAIN
	})
	return err != nil || ended
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
