package tcp

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// localPortRange is IP_LOCAL_PORT_RANGE of Linux since 6.3.
const localPortRange = 51

// From returns a dialer's control function for connections from an IPv4 address that an earlier connection to
// the same peer had, and others to other peers may have. Before Linux 6.3 that fails while there are others.
// The dialer must not have a local address itself.
func From(local *net.TCPAddr) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var result error
		err := c.Control(func(fd uintptr) { result = bindShared(int(fd), local) })
		return errors.Wrapf(errors.CombineErrors(err, result), "tcp: connect from %s", local)
	}
}

// bindShared binds to an address so that only a connection to the same peer is in the way, if the kernel can do so.
func bindShared(fd int, local *net.TCPAddr) error {
	ip := local.IP.To4()
	if ip == nil {
		return errors.New("no IPv4 address")
	}
	a := &unix.SockaddrInet4{Addr: [4]byte(ip)}
	port := local.Port
	if unix.SetsockoptInt(fd, unix.IPPROTO_IP, localPortRange, port<<16|port) == nil &&
		unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1) == nil {
		return unix.Bind(fd, a)
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	a.Port = port
	return unix.Bind(fd, a)
}
