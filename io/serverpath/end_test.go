package serverpath

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// endedServer is a server that counts its connections. It sends nothing, ends its side of a connection that
// the other one has ended, and if it is cut off, nothing arrives.
type endedServer struct {
	keepsOpen    atomic.Bool // its side
	listener     *net.TCPListener
	mu           sync.Mutex
	conns        []*net.TCPConn
	opened, open atomic.Int64
}

func startEndedServer(t *testing.T) (*endedServer, *Dialer, *atomic.Int64) {
	t.Helper()
	var config net.ListenConfig
	config.SetMultipathTCP(false) // its sockets take no filter
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &endedServer{listener: l.(*net.TCPListener)}
	accepted := make(chan *net.TCPConn)
	go func() {
		for {
			c, err := s.listener.AcceptTCP()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	d := &Dialer{Direct: func(ctx context.Context, server string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", server)
		if err == nil {
			s.opened.Add(1)
			a := <-accepted
			s.mu.Lock()
			s.conns = append(s.conns, a)
			s.mu.Unlock()
			s.open.Add(1)
			go func() {
				defer s.open.Add(-1)
				_, _ = a.Read(make([]byte, 1))
				if !s.keepsOpen.Load() {
					_ = a.CloseWrite()
				}
			}()
		}
		return c, err
	}}
	late := &atomic.Int64{}
	d.OnLateEnd = func(string, Reason, time.Duration) { late.Add(1) }
	return s, d, late
}

func (s *endedServer) connect(t *testing.T, d *Dialer, n int) []*Conn {
	t.Helper()
	var all []*Conn
	for range n {
		c, err := d.DialDirect(context.Background(), s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c.(*Conn))
	}
	return all
}

// cut makes the kernel drop all that arrives at the server, or take it again.
func (s *endedServer) cut(t *testing.T, cut bool) {
	t.Helper()
	change := func(fd uintptr) {
		if !cut {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		if err := unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop}); err != nil {
			t.Error(err)
		}
	}
	if raw, err := s.listener.SyscallConn(); err == nil {
		_ = raw.Control(change)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if raw, err := c.SyscallConn(); err == nil {
			_ = raw.Control(change)
		}
	}
}

func awaitEnd(t *testing.T, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("after %v: %s", limit, what)
			return
		}
	}
}

func (d *Dialer) kept() int {
	d.ends.mu.Lock()
	defer d.ends.mu.Unlock()
	return d.ends.count
}

// Guards against connections that are opened only to end others.
func TestEndOfConnectionNeedsNoOtherWhereThePathWorks(t *testing.T) {
	s, d, late := startEndedServer(t)
	for _, c := range s.connect(t, d, 20) {
		c.GiveUp()
		_ = c.Close()
	}
	awaitEnd(t, "connections are open at the server", 50*time.Millisecond, func() bool { return s.open.Load() == 0 })
	time.Sleep(3 * endTimeout)
	if n := s.opened.Load(); n != 20 || late.Load() != 0 || d.kept() != 0 {
		t.Errorf("%d connections were opened, want 20; %d ended late, %d are kept", n, late.Load(), d.kept())
	}
}

// Guards against connections that pile up while a path is cut, and against ends that nobody learns of.
func TestEndsDuringCutAreFewAndArrive(t *testing.T) {
	const n = maxKept + 20
	s, d, late := startEndedServer(t)
	all := s.connect(t, d, n)
	s.cut(t, true)
	for _, c := range all {
		c.GiveUp()
	}
	time.Sleep(1700 * time.Millisecond)
	if k := d.kept(); k != maxKept || s.open.Load() != n {
		t.Errorf("%d connections are kept, want %d, and %d of %d are open at the server", k, maxKept, s.open.Load(), n)
	}
	opened := s.opened.Load()
	s.cut(t, false)
	awaitEnd(t, "kept connections are open at the server", 2*pathTimeout, func() bool { return s.open.Load() <= n-maxKept })
	awaitEnd(t, "connections are kept", pathTimeout, func() bool { return d.kept() == 0 })
	awaitEnd(t, "not all have ended late", pathTimeout, func() bool { return late.Load() >= maxKept }) // counted after they are kept no more
	if extra := s.opened.Load() - opened; extra > 1 || late.Load() != maxKept {
		t.Errorf("%d connections were opened to end the others, want 1 at most; %d ended late, want %d", extra, late.Load(), maxKept)
	}
}
