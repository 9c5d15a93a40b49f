package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cicadabeam/core/lease"
)

// backend is a server that runs a function on each connection and counts those that are open.
type backend struct {
	net.Listener
	open atomic.Int64
}

func startBackend(t *testing.T, serve func(c net.Conn)) *backend {
	t.Helper()
	b := &backend{Listener: listen(t)}
	go func() {
		for {
			c, err := b.Accept()
			if err != nil {
				return
			}
			b.open.Add(1)
			go func() {
				defer b.open.Add(-1)
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return b
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func echo(c net.Conn) { _, _ = io.Copy(c, c) }

// tick sends a byte every 10 ms until that fails.
func tick(c net.Conn) {
	for {
		if _, err := c.Write([]byte{'x'}); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// ends are the events that a node recorded.
type ends struct {
	mu  sync.Mutex
	all []End
}

func (e *ends) record(_, _, _ string, x End, _ time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all = append(e.all, x)
}

func (e *ends) has(x End) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, y := range e.all {
		if x == y {
			return true
		}
	}
	return false
}

// startNode starts a node that connects to one server, and returns its address.
func startNode(t *testing.T, server string) (n *Node, address string, e *ends) {
	t.Helper()
	e = &ends{}
	n = New(func(ctx context.Context, address string) (net.Conn, error) {
		if address != server {
			return nil, errors.New("no server has this address")
		}
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}, e.record)
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				mark := make([]byte, 1)
				if _, err := io.ReadFull(c, mark); err == nil {
					n.ServeConn(c, mark[0])
				}
			}()
		}
	}()
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.Addr().(*net.TCPAddr).AddrPort()))
	if err != nil {
		t.Skip("the UDP port is in use:", err)
	}
	t.Cleanup(func() { _ = u.Close() })
	go func() { _ = n.ServeLeases(u) }()
	return n, l.Addr().String(), e
}

// link is what lies between two nodes. It can be cut in each direction.
type link struct {
	address                 string
	cutRequests, cutAnswers atomic.Bool // nothing passes; bytes of connections wait, packets are lost
	hang                    atomic.Bool // bytes of connections wait, packets pass
}

func startLink(t *testing.T, to string) *link {
	t.Helper()
	l := listen(t)
	x := &link{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s, err := net.Dial("tcp", to)
			if err != nil {
				_ = c.Close()
				continue
			}
			go x.pass(s, c, &x.cutRequests)
			go x.pass(c, s, &x.cutAnswers)
		}
	}()
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.Addr().(*net.TCPAddr).AddrPort()))
	if err != nil {
		t.Skip("the UDP port is in use:", err)
	}
	back, err := net.Dial("udp", to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = front.Close(); _ = back.Close() })
	var from atomic.Pointer[net.UDPAddr]
	go func() {
		b := make([]byte, maxPacketBytes)
		for {
			n, a, err := front.ReadFromUDP(b)
			if err != nil {
				return
			}
			from.Store(a)
			if !x.cutRequests.Load() {
				_, _ = back.Write(b[:n])
			}
		}
	}()
	go func() {
		b := make([]byte, maxPacketBytes)
		for {
			n, err := back.Read(b)
			if err != nil {
				return
			}
			if !x.cutAnswers.Load() {
				_, _ = front.WriteToUDP(b[:n], from.Load())
			}
		}
	}()
	return x
}

func (x *link) pass(to, from net.Conn, cut *atomic.Bool) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		for cut.Load() || x.hang.Load() {
			time.Sleep(time.Millisecond)
		}
		if n > 0 {
			if _, sendErr := to.Write(b[:n]); sendErr != nil {
				err = sendErr
			}
		}
		switch {
		case err == io.EOF:
			_ = to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

func (x *link) cut(requests, answers bool) {
	x.cutRequests.Store(requests)
	x.cutAnswers.Store(answers)
}

// dial opens a tunnel from another node through the node at an address.
func dial(t *testing.T, node, server string) (net.Conn, *Node, *ends) {
	t.Helper()
	behind, _, e := startNode(t, "")
	c, err := behind.Dial(context.Background(), node, server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, behind, e
}

func await(t *testing.T, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("after %v: %s", limit, what)
			return
		}
	}
}

func TestTunnelPassesOnUntilOneSideEnds(t *testing.T) {
	server := startBackend(t, echo)
	between, address, _ := startNode(t, server.Addr().String())
	c, behind, _ := dial(t, address, server.Addr().String())
	text := strings.Repeat("0123456789", 20_000)
	go func() { _, _ = io.WriteString(c, text) }()
	b := make([]byte, len(text))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != text {
		t.Fatalf("got %d bytes, error %v", len(b), err)
	}
	time.Sleep(3 * lease.Term)
	if x := c.(*Conn); !x.Reusable() || between.Count() != 1 || x.Through() != address {
		t.Errorf("reusable %v, %d tunnels, through %s", x.Reusable(), between.Count(), x.Through())
	}
	_ = c.Close()
	await(t, "the tunnel is open although its connection was closed", time.Second, func() bool { return between.Count() == 0 && server.open.Load() == 0 })
	await(t, "leases without tunnels are held", 2*reportTime, func() bool {
		behind.mu.Lock()
		defer behind.mu.Unlock()
		return len(behind.leases)+len(behind.held) == 0
	})
}

// Guards against answers without length that look complete although they broke off on the way.
func TestEndsOfTunnelsDiffer(t *testing.T) {
	for _, x := range []struct {
		name  string
		serve func(c net.Conn)
		want  func(err error) bool
	}{
		{"the server ends", func(c net.Conn) { _, _ = io.WriteString(c, "answer") }, func(err error) bool { return err == nil }},
		{"the server breaks off", func(c net.Conn) {
			_, _ = io.WriteString(c, "answer")
			time.Sleep(20 * time.Millisecond)
			reset(c)
		}, func(err error) bool { return errors.Is(err, errBroke) && !errors.Is(err, ErrLost) }},
	} {
		server := startBackend(t, x.serve)
		_, address, _ := startNode(t, server.Addr().String())
		c, _, _ := dial(t, address, server.Addr().String())
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		b, err := io.ReadAll(c)
		if string(b) != "answer" || !x.want(err) {
			t.Errorf("%s: got %q, error %v", x.name, b, err)
		}
	}
	for name, end := range map[string]func(c net.Conn){"ends": func(c net.Conn) { _ = c.Close() }, "is reset": reset} {
		l := listen(t)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, 1))
			_, _ = readRequest(c)
			_, _ = c.Write(appendStamp([]byte{opened}, lease.NewGrantor(1, time.Now()).Stamp(time.Now())))
			_, _ = c.Write([]byte("\x00\x06answer"))
			time.Sleep(20 * time.Millisecond)
			end(c)
		}()
		c, _, _ := dial(t, l.Addr().String(), "127.0.0.1:80")
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if b, err := io.ReadAll(c); string(b) != "answer" || !errors.Is(err, ErrLost) {
			t.Errorf("the node between %s: got %q, error %v", name, b, err)
		}
	}
}

// observed is a connection to a server that keeps when it was ended.
type observed struct {
	net.Conn
	ended *atomic.Pointer[time.Time]
}

func (c observed) GiveUp() {
	now := time.Now()
	c.ended.CompareAndSwap(nil, &now)
	reset(c.Conn)
}

// Guards against two servers that run one request: the node behind relies on the end of a run that a
// node between keeps alive.
func TestRunEndsBeforeItsTunnelIsLost(t *testing.T) {
	for _, x := range []struct {
		name              string
		requests, answers bool
	}{{"both directions", true, true}, {"towards the node between", true, false}, {"towards the node behind", false, true}} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			server := startBackend(t, tick)
			between, address, _ := startNode(t, server.Addr().String())
			var ended atomic.Pointer[time.Time]
			dialServer := between.dial
			between.dial = func(ctx context.Context, a string) (net.Conn, error) {
				c, err := dialServer(ctx, a)
				return observed{c, &ended}, err
			}
			l := startLink(t, address)
			c, _, _ := dial(t, l.address, server.Addr().String())
			b := make([]byte, 100)
			for end := time.Now().Add(2 * lease.Term); time.Now().Before(end); {
				if _, err := c.Read(b); err != nil {
					t.Fatal(err)
				}
			}
			cut := time.Now()
			l.cut(x.requests, x.answers)
			var err error
			for err == nil {
				_, err = c.Read(b)
			}
			lost := time.Since(cut)
			if !errors.Is(err, ErrLost) || lost > 2*lease.Term {
				t.Errorf("after %v: got %v", lost, err)
			}
			// The server's next byte may be late at load, and says nothing of when the node between ended the run.
			await(t, "the run goes on", lease.Term, func() bool { return server.open.Load() == 0 })
			if at := ended.Load(); at == nil {
				t.Error("the node between did not end the run")
			} else if late := at.Sub(cut) - lost; late > 10*time.Millisecond {
				t.Errorf("the tunnel is lost %v after the cut, and the node between ended the run %v later", lost, late)
			}
		})
	}
}

// Guards against runs that outlive their tunnel because its connection hangs or waits behind unsent bytes.
func TestClosedTunnelsAreReported(t *testing.T) {
	server := startBackend(t, tick)
	_, address, e := startNode(t, server.Addr().String())
	l := startLink(t, address)
	c, _, _ := dial(t, l.address, server.Addr().String())
	l.hang.Store(true)
	_ = c.Close()
	await(t, "the run goes on", lease.Term/2, func() bool { return server.open.Load() == 0 })
	await(t, "its end is recorded", time.Second, func() bool { return e.has(HostReported) })
}

func TestNodesThatLeaveRefuseTunnels(t *testing.T) {
	server := startBackend(t, echo)
	between, address, _ := startNode(t, server.Addr().String())
	c, behind, _ := dial(t, address, server.Addr().String())
	between.Drain()
	if _, err := behind.Dial(context.Background(), address, server.Addr().String()); !errors.Is(err, errRefused) {
		t.Errorf("got %v, want a refusal", err)
	}
	await(t, "the tunnel is used again", lease.Term, func() bool { return !c.(*Conn).Reusable() })
	if _, err := io.WriteString(c, "rest"); err != nil {
		t.Error(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
		t.Errorf("what runs is cut: %v", err)
	}
}

// Guards against nodes that open connections to anything.
func TestTunnelsLeadToServersOnly(t *testing.T) {
	server := startBackend(t, echo)
	_, address, _ := startNode(t, server.Addr().String())
	behind, _, _ := startNode(t, "")
	for _, a := range []string{address, "", "127.0.0.1:1", strings.Repeat("x", 500), server.Addr().String() + "\n"} {
		for name, open := range map[string]func(context.Context, string, string) (net.Conn, error){"leased": behind.Dial, "plain": DialPlain} {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			c, err := open(ctx, address, a)
			cancel()
			if err == nil && (name == "leased" || !strings.HasPrefix(a, server.Addr().String())) {
				t.Errorf("%s, %.30q: got a connection", name, a)
			}
			if c != nil {
				_ = c.Close()
			}
		}
	}
}

func TestNodesOfEarlierVersionsAreServed(t *testing.T) {
	server := startBackend(t, echo)
	between, address, _ := startNode(t, server.Addr().String())
	c, err := DialPlain(context.Background(), address, server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 4)
	_, _ = io.WriteString(c, "text")
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "text" {
		t.Errorf("got %q, error %v", b, err)
	}
	_ = c.Close()
	await(t, "the tunnel is open", time.Second, func() bool { return between.Count() == 0 })
}

// learner is a connection whose server learns of its end even if it can't be reached now.
type learner struct {
	net.Conn
	givenUp *atomic.Int64
}

func (c learner) GiveUp() {
	c.givenUp.Add(1)
	_ = c.Conn.Close()
}

// Guards against servers that work on because the reset of a tunnel's connection is lost.
func TestServersLearnOfTheEndOfTunnels(t *testing.T) {
	for name, end := range map[string]func(c net.Conn, l *link){
		"closed": func(c net.Conn, _ *link) { _ = c.Close() }, "reported": func(c net.Conn, l *link) { l.hang.Store(true); _ = c.Close() },
		"lease ended": func(_ net.Conn, l *link) { l.cut(true, true) },
	} {
		t.Run(name, func(t *testing.T) {
			server := startBackend(t, tick)
			between, address, _ := startNode(t, server.Addr().String())
			var givenUp atomic.Int64
			dialServer := between.dial
			between.dial = func(ctx context.Context, a string) (net.Conn, error) {
				c, err := dialServer(ctx, a)
				return learner{c, &givenUp}, err
			}
			l := startLink(t, address)
			c, _, _ := dial(t, l.address, server.Addr().String())
			end(c, l)
			await(t, "the connection to the server was not given up", 2*lease.Term, func() bool { return givenUp.Load() > 0 })
		})
	}
}
