// Package tcp reads and sets what the kernel keeps for a TCP connection and net does not
// offer.
//
// # Usage
//
//	d := net.Dialer{Control: tcp.UserTimeout(2 * time.Second)}
//	waited, known := tcp.SinceLastReceived(conn)
//	c, err := tcp.Accept(listener)
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
	info := readInfo(c)
	if info == nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// Unacknowledged reports whether the other side's kernel has not acknowledged all that was sent on
// a connection, as far as the kernel tells.
func Unacknowledged(c net.Conn) bool {
	info := readInfo(c)
	return info != nil && (info.Unacked > 0 || info.Notsent_bytes > 0)
}

// Acknowledged returns how many bytes the other side's kernel has acknowledged, 0 if the kernel does not tell.
func Acknowledged(c net.Conn) uint64 {
	if info := readInfo(c); info != nil {
		return info.Bytes_acked
	}
	return 0
}

// acceptRetryDelay is the delay before another connection is accepted if there was no file
// descriptor for one.
const acceptRetryDelay = 20 * time.Millisecond

// Accept waits for the next connection to a listener, also while there are no file descriptors.
func Accept(l net.Listener) (net.Conn, error) {
	for {
		c, err := l.Accept()
		if !errors.Is(err, unix.EMFILE) && !errors.Is(err, unix.ENFILE) {
			return c, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// States of a connection, as the kernel numbers them.
const (
	stateEstablished = 1
	stateClosed      = 7
	stateCloseWait   = 8
)

// State returns the state of a connection: established, close-wait if the peer sends nothing
// more, closed if it was reset, or other.
func State(c net.Conn) string {
	info := readInfo(c)
	switch {
	case info == nil:
		return "unknown"
	case info.State == stateEstablished:
		return "established"
	case info.State == stateCloseWait:
		return "close-wait"
	case info.State == stateClosed:
		return "closed"
	default:
		return "other"
	}
}

// readInfo returns what the kernel tells of a connection, nil if it does not.
func readInfo(c net.Conn) *unix.TCPInfo {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	var optionErr error
	err = raw.Control(func(fd uintptr) { info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || optionErr != nil {
		return nil
	}
	return info
}
