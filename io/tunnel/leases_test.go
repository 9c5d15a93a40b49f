package tunnel

import (
	"context"
	"net"
	"testing"
	"time"

	"cicadabeam/core/lease"
)

// Guards against tunnels that can't be opened because their lease is dropped as idle at that moment.
func TestLeaseInUseIsNotDropped(t *testing.T) {
	n := New(nil, func(string, string, string, End, time.Duration) {})
	idle := n.lease("127.0.0.1:1")
	now := time.Now()
	idle.running = true // as if a tunnel had been opened and closed
	idle.holder.Receive(n.grantor.Stamp(now), now)
	idle.endOpening()
	n.mu.Lock()
	leases := make(chan *held)
	go func() { leases <- n.lease("127.0.0.1:1") }()
	time.Sleep(20 * time.Millisecond)
	ended := make(chan struct{})
	go func() { idle.step(now); close(ended) }()
	time.Sleep(20 * time.Millisecond)
	n.mu.Unlock()
	h := <-leases
	<-ended
	c := &Conn{lease: h, number: h.number()}
	if err := h.add(c, n.grantor.Stamp(now)); err != nil {
		t.Fatalf("the tunnel can't be opened: %v", err)
	}
	h.release(c)
}

// Guards against leases of nodes that refuse all tunnels, which nothing drops.
func TestLeasesWithoutTunnelsAreDropped(t *testing.T) {
	behind := New(nil, func(string, string, string, End, time.Duration) {})
	between, address, _ := startNode(t, "127.0.0.1:1")
	between.Drain()
	closed := listen(t)
	_ = closed.Close()
	for _, a := range []string{address, closed.Addr().(*net.TCPAddr).String()} {
		if c, err := behind.Dial(context.Background(), a, "127.0.0.1:1"); err == nil {
			_ = c.Close()
			t.Fatalf("got a tunnel through %s", a)
		}
	}
	behind.mu.Lock()
	defer behind.mu.Unlock()
	if len(behind.leases)+len(behind.held) != 0 {
		t.Errorf("%d leases are held", len(behind.held))
	}
}

// Guards against tunnels that stay open for ever because the server or the node behind reads nothing.
func TestBlockedTunnelsEnd(t *testing.T) {
	block := make([]byte, 64<<10)
	write := func(c net.Conn) {
		for {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}
	for name, x := range map[string]struct {
		server func(c net.Conn)
		behind func(c net.Conn)
	}{
		"the server reads nothing":            {server: func(net.Conn) { select {} }, behind: write},
		"the server ends and reads nothing":   {server: func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite(); select {} }, behind: write},
		"the node behind reads nothing":       {server: write, behind: func(net.Conn) {}},
		"neither reads":                       {server: write, behind: write},
		"the node behind reads an end slowly": {server: func(c net.Conn) { _, _ = c.Write(block) }, behind: func(net.Conn) {}},
	} {
		for _, end := range []string{"closes", "is cut off"} {
			t.Run(name+", it "+end, func(t *testing.T) {
				t.Parallel()
				server := startBackend(t, x.server)
				between, address, _ := startNode(t, server.Addr().String())
				l := startLink(t, address)
				c, _, _ := dial(t, l.address, server.Addr().String())
				go x.behind(c)
				time.Sleep(lease.Term)
				if end == "closes" {
					l.hang.Store(true)
					_ = c.Close()
				} else {
					l.cut(true, true)
				}
				await(t, "the tunnel is open", 2*lease.Term, func() bool { return between.Count() == 0 })
			})
		}
	}
}
