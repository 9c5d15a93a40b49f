package cluster

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

// upstream accepts connections, sends back what it reads, and keeps them.
type upstream struct {
	listener net.Listener
	mu       sync.Mutex
	accepted []net.Conn
}

func startUpstream(t *testing.T) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{listener: l}
	t.Cleanup(func() { _ = l.Close(); u.reset() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.accepted = append(u.accepted, c)
			u.mu.Unlock()
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return u
}

// reset resets all connections.
func (u *upstream) reset() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.accepted {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	u.accepted = nil
}

func startLink(t *testing.T, u *upstream) *Link {
	t.Helper()
	l, err := NewLink(t.Name(), "127.0.0.1:0", u.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Disable)
	return l
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.proxy.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// roundTrip sends data and returns how long it took to come back.
func roundTrip(t *testing.T, c net.Conn, data []byte) time.Duration {
	t.Helper()
	sent := time.Now()
	_ = c.SetDeadline(sent.Add(20 * time.Second))
	go func() { _, _ = c.Write(data) }()
	got := make([]byte, len(data))
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, data) {
		t.Fatal("the data has changed on the way")
	}
	return time.Since(sent)
}

func TestLatency(t *testing.T) {
	const latency = 150
	l := startLink(t, startUpstream(t))
	old := dial(t, l)
	roundTrip(t, old, []byte("a"))
	l.AddLatency(latency)
	for _, c := range []net.Conn{old, dial(t, l)} {
		if took := roundTrip(t, c, []byte("b")); took < 2*latency*time.Millisecond {
			t.Errorf("a round trip took %v with a latency of %d ms each way", took, latency)
		}
		// Data in transit does not wait for what was sent before it.
		if took := roundTrip(t, c, bytes.Repeat([]byte("c"), 3<<20)); took > 5*time.Second {
			t.Errorf("3 MB took %v", took)
		}
	}
	l.RemoveFaults()
	best := time.Hour
	for range 5 {
		best = min(best, roundTrip(t, old, []byte("d")))
	}
	if best > latency*time.Millisecond {
		t.Errorf("a round trip took %v without a latency", best)
	}
}

// Guards against data that a link which is not slow takes without a reader.
func TestDelayWithoutLatencyHoldsOneChunk(t *testing.T) {
	for _, x := range []struct {
		latency time.Duration
		want    int
	}{{0, 1}, {time.Minute, maxDelayedChunks}} {
		d := new(delay)
		d.set(x.latency)
		input, output := make(chan *stream.StreamChunk), make(chan *stream.StreamChunk)
		stub := toxics.NewToxicStub(input, output)
		stub.State = d.NewState()
		go d.Pipe(stub)
		n := 0
		for taken := true; taken; {
			select {
			case input <- &stream.StreamChunk{Timestamp: time.Now()}:
				n++
			case <-time.After(100 * time.Millisecond):
				taken = false
			}
		}
		stub.Interrupt <- struct{}{}
		if n != x.want {
			t.Errorf("latency %v: %d chunks were taken that nobody reads, want %d", x.latency, n, x.want)
		}
	}
}

// Guards against a link that accepts no connections, and holds the data of others, for as long as it
// tries to deliver what was in transit to connections whose end is gone.
func TestLatencyEndsAtOnceWithDataInTransitToClosedConnections(t *testing.T) {
	u := startUpstream(t)
	l := startLink(t, u)
	l.AddLatency(400)
	for range 8 {
		c := dial(t, l)
		for range 40 {
			_, _ = c.Write(bytes.Repeat([]byte("x"), 1<<10))
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(50 * time.Millisecond)
	u.reset()
	began := time.Now()
	l.RemoveFaults()
	c := dial(t, l)
	roundTrip(t, c, []byte("y"))
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the latency ended, and a new connection carried data, after %v", took)
	}
}
