package tunnel

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"cicadabeam/core/lease"
	"cicadabeam/io/tcp"
)

// teller is a connection that knows at some time whether its server has learnt of its end.
type teller struct {
	net.Conn
	known bool
}

func (c teller) GiveUp() { _ = c.Conn.Close() }

func (c teller) AwaitEnd(until time.Time) bool {
	if !c.known {
		time.Sleep(time.Until(until))
	}
	return c.known
}

// Guards against a run that is taken for ended although its server can't be told: two servers would go on with one request.
func TestEndOfTunnelIsKnownOnlyIfTheServerKnows(t *testing.T) {
	for _, x := range []struct {
		name         string
		known, hangs bool
		wrap         func(c net.Conn, known bool) net.Conn
		want         bool
	}{
		{"the server is reached", true, false, func(c net.Conn, k bool) net.Conn { return teller{c, k} }, true},
		{"the server is cut off", false, false, func(c net.Conn, k bool) net.Conn { return teller{c, k} }, false},
		{"the node between is cut off", true, true, func(c net.Conn, k bool) net.Conn { return teller{c, k} }, false},
		{"nothing tells", true, false, func(c net.Conn, _ bool) net.Conn { return c }, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			server := startBackend(t, tick)
			between, address, _ := startNode(t, server.Addr().String())
			dialServer := between.dial
			between.dial = func(ctx context.Context, a string) (net.Conn, error) {
				c, err := dialServer(ctx, a)
				if err != nil {
					return nil, err
				}
				return x.wrap(c, x.known), nil
			}
			l := startLink(t, address)
			n, behind, _ := dial(t, l.address, server.Addr().String())
			c := n.(*Conn)
			go func() { _, _ = io.Copy(io.Discard, c) }() // as a caller that waits for the response
			time.Sleep(50 * time.Millisecond)
			l.hang.Store(x.hangs)
			began := time.Now()
			c.GiveUp()
			_ = c.Close()
			if got := c.AwaitEnd(began.Add(lease.Term)); got != x.want || x.want && time.Since(began) > 50*time.Millisecond {
				t.Errorf("after %v: known %v, want %v", time.Since(began), got, x.want)
			}
			await(t, "the run goes on or the tunnel is open", 2*confirmTimeout, func() bool { return server.open.Load() == 0 && between.Count() == 0 })
			await(t, "the connection is open", 2*lastFrameTimeout, func() bool { return tcp.State(c.tcp) == "unknown" })
			await(t, "leases without tunnels are held", 2*reportTime, func() bool {
				behind.mu.Lock()
				defer behind.mu.Unlock()
				return len(behind.leases)+len(behind.held) == 0
			})
		})
	}
}

// Guards against nodes between of earlier versions, which reset or close and know nothing of the server.
func TestEndOfTunnelIsUnknownWithNodeBetweenThatEnds(t *testing.T) {
	for name, end := range map[string]func(c net.Conn){"resets": reset, "closes": func(c net.Conn) { _ = c.Close() }} {
		l := listen(t)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, 1))
			_, _ = readRequest(c)
			_, _ = c.Write(appendStamp([]byte{opened}, lease.NewGrantor(1, time.Now()).Stamp(time.Now())))
			_, _ = c.Read(make([]byte, 1)) // until the node behind ends
			end(c)
		}()
		n, _, _ := dial(t, l.Addr().String(), "127.0.0.1:80")
		c := n.(*Conn)
		c.GiveUp()
		if c.AwaitEnd(time.Now().Add(lease.Term)) {
			t.Errorf("the node between %s: the end is known", name)
		}
	}
}
