package neighbour

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// startTunnels starts a node that passes connections on to one server, which answers with what it
// receives, and returns their addresses.
func startTunnels(t *testing.T) (node, server string, x *Tunnels) {
	t.Helper()
	listen := func(serve func(c net.Conn)) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serve(c)
			}
		}()
		return l.Addr().String()
	}
	server = listen(func(c net.Conn) { _, _ = io.Copy(c, c); _ = c.Close() })
	x = &Tunnels{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if address != server {
			return nil, errors.New("no server has this address")
		}
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = Serve(l, emptyHandler{}, x) }()
	return l.Addr().String(), server, x
}

func TestTunnelPassesOnUntilOneSideEnds(t *testing.T) {
	node, server, x := startTunnels(t)
	c, err := DialThrough(context.Background(), node, server)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Repeat("0123456789", 20_000)
	go func() { _, _ = io.WriteString(c, text) }()
	b := make([]byte, len(text))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != text {
		t.Fatalf("got %d bytes, error %v", len(b), err)
	}
	if x.Count() != 1 {
		t.Errorf("%d tunnels are open, want 1", x.Count())
	}
	_ = c.Close()
	for end := time.Now().Add(time.Second); x.Count() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if x.Count() != 0 {
		t.Error("the tunnel is open although its connection was closed")
	}
	if _, err := NewClient(node).Hosts(time.Now().Add(time.Second)); err != nil {
		t.Errorf("a call beside tunnels: %v", err)
	}
}

// Guards against nodes that open connections to anything.
func TestTunnelsLeadToServersOnly(t *testing.T) {
	node, server, _ := startTunnels(t)
	for _, address := range []string{node, "", "127.0.0.1:1", strings.Repeat("x", 500), server + "\n" + server} {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		c, err := DialThrough(ctx, node, address)
		cancel()
		if err == nil && !strings.HasPrefix(address, server) {
			t.Errorf("%.30q: got a connection", address)
		}
		if c != nil {
			_ = c.Close()
		}
	}
}
