package backend

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// retransmissionDelay is the time from the first loss on a connection to the first retransmission. Each
// later one takes twice as long as the one before.
const retransmissionDelay = 200 * time.Millisecond

// Path is the path to a server, which can be cut. What callers send meanwhile is lost, resets and the
// opening of connections included, and their kernel retransmits what it does retransmit. What the server
// sends waits for its next retransmission, also after the path has healed.
type Path struct {
	server    *Server
	mu        sync.Mutex
	isCut     bool
	cutAt     time.Time
	deliverAt time.Time // when the server next retransmits, after the path has healed
}

// StartOnPath is like Start for a server at the end of a path.
func StartOnPath(address string, steps ...Step) (*Server, *Path, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false) // its sockets take no filter
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	s := &Server{listener: l, steps: steps, conns: make(map[net.Conn]bool)}
	go s.accept()
	return s, &Path{server: s}, nil
}

// Cut cuts the path.
func (p *Path) Cut() error {
	p.mu.Lock()
	p.isCut, p.cutAt = true, time.Now()
	p.mu.Unlock()
	return p.filter(func(fd int) error {
		drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
}

// Heal ends a cut.
func (p *Path) Heal() error {
	p.mu.Lock()
	p.isCut = false
	p.deliverAt = p.cutAt
	for d := retransmissionDelay; p.deliverAt.Before(time.Now()); d *= 2 {
		p.deliverAt = p.deliverAt.Add(d)
	}
	p.mu.Unlock()
	return p.filter(func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// Delivers reports whether what the server sends now arrives, on a connection that was open during the last cut.
func (p *Path) Delivers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isCut && !time.Now().Before(p.deliverAt)
}

// filter changes what the sockets of the server take.
func (p *Path) filter(change func(fd int) error) error {
	l, ok := p.server.listener.(*net.TCPListener)
	if !ok {
		return errors.New("no TCP listener")
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Control(func(fd uintptr) { result = change(int(fd)) })
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	for c := range p.server.conns {
		if t, ok := TCP(c); ok {
			if raw, err := t.SyscallConn(); err == nil {
				_ = raw.Control(func(fd uintptr) { _ = change(int(fd)) })
			}
		}
	}
	return errors.CombineErrors(err, result)
}
