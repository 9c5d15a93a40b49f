package serverpath

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// dropOn makes the kernel drop what arrives on one connection of the server, for some time.
func dropOn(t *testing.T, c *net.TCPConn, lasts time.Duration) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) {
		drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		if err := unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop}); err != nil {
			t.Error(err)
		}
	})
	time.AfterFunc(lasts, func() {
		_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
	})
}

// Guards against servers that never learn of an end because two packets were lost: a reset is not
// retransmitted, and ends the retransmission of the close before it.
func TestLostResetIsNotTheLastWord(t *testing.T) {
	for name, end := range map[string]func(c *Conn){"closed, as before": func(c *Conn) { _ = c.Close() }, "given up": (*Conn).GiveUp} {
		t.Run(name, func(t *testing.T) {
			s, d, _ := startEndedServer(t)
			c := s.connect(t, d, 1)[0]
			s.mu.Lock()
			a := s.conns[0]
			s.mu.Unlock()
			dropOn(t, a, 150*time.Millisecond) // the close, and the reset 100 ms later; less than the first retransmission takes
			began := time.Now()
			end(c)
			awaitEnd(t, "the connection is open at the server", 3*time.Second, func() bool { return s.open.Load() == 0 })
			t.Logf("waited %v; %d connections were opened", time.Since(began), s.opened.Load())
			_ = a.Close()
		})
	}
}
