package serverpath

import (
	"context"
	"net"
	"testing"
	"time"
)

// Guards against a host that is kept busy by a server that sends a long response and ignores the close.
func TestGiveUpEndsWhileServerSends(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ended := make(chan time.Time, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b := make([]byte, 1<<20)
		for limit := time.Now().Add(5 * time.Second); err == nil && time.Now().Before(limit); {
			_, err = c.Write(b)
		}
		ended <- time.Now()
		_ = c.Close()
	}()
	d := &Dialer{Direct: func(ctx context.Context, server string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", server)
	}}
	c, err := d.DialDirect(context.Background(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	c.(*Conn).GiveUp()
	if took := time.Since(began); took > 50*time.Millisecond {
		t.Errorf("GiveUp took %v", took)
	}
	if took := (<-ended).Sub(began); took > 400*time.Millisecond {
		t.Errorf("the server sent for %v after that", took)
	} else {
		t.Logf("the server sent for %v", took)
	}
}
