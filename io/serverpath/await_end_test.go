package serverpath

import (
	"context"
	"net"
	"testing"
	"time"

	"cicadabeam/io/tcp"
)

// Guards against a run that is taken for ended although its server can't be told: two servers would go on with one request.
func TestEndIsKnownOnlyIfTheServerIsReached(t *testing.T) {
	s, d, _ := startEndedServer(t)
	for _, cut := range []bool{false, true} {
		c := s.connect(t, d, 1)[0]
		s.cut(t, cut)
		began := time.Now()
		c.GiveUp()
		_ = c.Close()
		if known := c.AwaitEnd(began.Add(2 * endTimeout)); known == cut {
			t.Errorf("cut %v: after %v the end is known %v", cut, time.Since(began), known)
		} else if took := time.Since(began); !cut && took > 30*time.Millisecond {
			t.Errorf("known after %v", took)
		}
		s.cut(t, false)
		if !c.AwaitEnd(time.Now().Add(2 * pathTimeout)) {
			t.Error("the path works, and the end is not known")
		}
	}
}

// Guards against an end that is taken for known as the server's kernel has acknowledged it, while the server goes on.
func TestEndIsNotKnownFromAnAcknowledgement(t *testing.T) {
	s, d, _ := startEndedServer(t)
	s.keepsOpen.Store(true)
	c := s.connect(t, d, 1)[0]
	began := time.Now()
	c.GiveUp()
	if c.AwaitEnd(began.Add(acknowledgedTimeout / 2)) {
		t.Errorf("the end is known after %v", time.Since(began))
	}
	if !c.AwaitEnd(began.Add(acknowledgedTimeout + pathTimeout)) {
		t.Error("the path works, and the end is not known")
	}
	if n := s.opened.Load(); n != 2 {
		t.Errorf("%d connections were opened, want one to show that the path works", n-1)
	}
}

// Guards against an end that is taken for known as the kernel has ended the connection, and against servers that
// work on after their path has healed, as nothing can be sent on it any more.
func TestServerLearnsOfConnectionThatTheKernelEnded(t *testing.T) {
	for name, end := range map[string]func(c *Conn){
		"given up": (*Conn).GiveUp, "read and given up": func(c *Conn) { _, _ = c.Read(make([]byte, 1)); c.GiveUp() },
		"read and closed": func(c *Conn) { _, _ = c.Read(make([]byte, 1)); _ = c.Close() }, // the kernel tells why only once
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, d, _ := startEndedServer(t)
			direct := d.Direct
			d.Direct = func(ctx context.Context, server string) (net.Conn, error) {
				c, err := direct(ctx, server)
				if err == nil {
					err = tcp.SetUserTimeout(c.(*net.TCPConn), 100*time.Millisecond)
				}
				return c, err
			}
			c := s.connect(t, d, 1)[0]
			s.cut(t, true)
			_, _ = c.Write([]byte("x"))
			for tcp.State(c.TCPConn) != "closed" {
				time.Sleep(time.Millisecond)
			}
			end(c)
			if c.AwaitEnd(time.Now().Add(700 * time.Millisecond)) {
				t.Error("the end is known")
			}
			if s.open.Load() != 1 {
				t.Fatal("the server has not been cut off")
			}
			s.cut(t, false)
			healed := time.Now()
			awaitEnd(t, "the connection is open at the server", 2*pathTimeout, func() bool { return s.open.Load() == 0 })
			t.Logf("ended %v after the healing", time.Since(healed))
			if !c.AwaitEnd(healed.Add(3 * pathTimeout)) {
				t.Error("the end is not known")
			}
		})
	}
}
