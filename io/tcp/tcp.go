// Package tcp reads and sets what the kernel keeps for a TCP connection and net does not
// offer.
//
// # Usage
//
//	d := net.Dialer{Control: tcp.UserTimeout(2 * time.Second)}
//	waited, known := tcp.SinceLastReceived(conn)
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// UserTimeout returns a dialer's control function that limits how long sent bytes may
// stay unacknowledged before the connection is closed. The kernel counts in milliseconds.
func UserTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit/time.Millisecond))
		})
		return errors.Wrap(errors.CombineErrors(err, optionErr), "tcp: set user timeout")
	}
}

// SinceLastReceived returns the time since the kernel last received data on a connection,
// whether or not the process has read it since. It reports false if the kernel does not
// tell. The time is rounded to the kernel's clock, some milliseconds.
func SinceLastReceived(c net.Conn) (time.Duration, bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var optionErr error
	err = raw.Control(func(fd uintptr) { info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || optionErr != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}
