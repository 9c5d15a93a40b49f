package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections of one host on to the store. It can hold what the store sends, as a
// link does that is cut in this direction.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	released chan struct{} // closed while nothing is held
}

func newProxy(ip, target string) *proxy {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("proxy: %v", err)
	}
	p := &proxy{listener: l, target: target, released: make(chan struct{})}
	close(p.released)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = make(chan struct{})
}

func (p *proxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.released)
}

func (p *proxy) awaitRelease() {
	p.mu.Lock()
	released := p.released
	p.mu.Unlock()
	<-released
}

func (p *proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	go func() {
		_, _ = io.Copy(s, c)
		_ = s.Close()
	}()
	b := make([]byte, 64<<10)
	for {
		n, err := s.Read(b)
		p.awaitRelease()
		if n > 0 {
			if _, err := c.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
