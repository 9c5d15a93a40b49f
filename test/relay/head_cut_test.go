package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cicadabeam/io/http1"
	"cicadabeam/io/relay"
	"cicadabeam/io/tunnel"
	"cicadabeam/test/standin/backend"
)

// throughHost opens all connections through another host, in this process.
type throughHost struct {
	node    *tunnel.Node
	address string // of the other host
}

func (p *throughHost) Dial(ctx context.Context, server string) (net.Conn, bool, error) {
	c, err := p.node.Dial(ctx, p.address, server)
	return c, false, err
}

func (*throughHost) MayReuse(string, bool) bool { return true }

func (*throughHost) Begin(string) func(responded, evidence bool) { return func(bool, bool) {} }

func startHostBetween(t *testing.T) *throughHost {
	t.Helper()
	return startHostBetweenWith(t, func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	})
}

// startHostBetweenWith is like startHostBetween for a host that connects to servers by a function.
func startHostBetweenWith(t *testing.T, dial func(ctx context.Context, address string) (net.Conn, error)) *throughHost {
	t.Helper()
	record := func(string, string, string, tunnel.End, time.Duration) {}
	n := tunnel.New(dial, record)
	l, err := net.Listen("tcp", ownAddress())
	if err != nil {
		t.Fatal(err)
	}
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.Addr().(*net.TCPAddr).AddrPort()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close(); _ = u.Close() })
	go func() { _ = n.ServeLeases(u) }()
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
	return &throughHost{node: tunnel.New(dial, record), address: l.Addr().String()}
}

// headsBeforeBody returns the bytes that a server sends up to the end of the head of a response to a
// request, by name.
func headsBeforeBody(id string) map[string]string {
	const signed = "HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\nContent-Type: text/event-stream\r\nX-Request-Id: "
	return map[string]string{
		"length":         signed + id + "\r\nContent-Length: 4\r\n\r\n",
		"chunked":        signed + id + "\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no length":      signed + id + "\r\n\r\n",
		"interim before": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + signed + id + "\r\n\r\n",
		"late before":    signed + "another\r\nContent-Length: 4\r\n\r\nlate" + signed + id + "\r\n\r\n",
	}
}

// awaitClose keeps a connection open, without sending anything, until its peer closes it.
func awaitClose(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// A server stops within the head of its response, at any byte, and closes or resets the connection, or
// sends nothing more, as behind a partition: no caller may get a success, with a body that is empty or short. Responses to other requests and
// interim ones come before, on new and on kept connections, direct and through another host.
func TestHeadThatStopsIsNoResponse(t *testing.T) {
	kinds := map[string]string{"buy": "/buy/1", "read": "/read/1", "report": "/single/1", "once": "/plain/1"}
	for _, through := range []bool{false, true} {
		for name, whole := range headsBeforeBody("") {
			for service, path := range kinds {
				for endName, end := range map[string]func(net.Conn){"close": closeConn, "reset": reset, "silence": awaitClose} {
					t.Run(fmt.Sprint(service, ", ", name, ", ", endName, ", through another host ", through), func(t *testing.T) {
						t.Parallel()
						step := 3
						if through || endName == "silence" {
							step = 37
						}
						checkHeadsThatStop(t, service, path, name, len(whole), step, end, through)
					})
				}
			}
		}
	}
}

func checkHeadsThatStop(t *testing.T, service, path, name string, size, step int, end func(net.Conn), through bool) {
	h := newHarnessWith(t, func(d *relay.Dependencies) {
		if through {
			d.Pool = http1.NewPool()
			d.Pool.Use(startHostBetween(t))
		}
	})
	var cut atomic.Int64
	stops := func(c *backend.Conn, r *http.Request, _ []byte) bool {
		head := headsBeforeBody(r.Header.Get("X-Request-Id"))[name]
		_, _ = io.WriteString(c, head[:min(int(cut.Load()), len(head)-1)])
		end(c.Conn)
		return false
	}
	keeps := backend.Respond(200, "ok")
	var kept atomic.Bool
	server := h.startServer(service, "a", func(c *backend.Conn, r *http.Request, b []byte) bool {
		if kept.Swap(false) {
			return keeps(c, r, b)
		}
		return stops(c, r, b)
	})
	request := func(r *http.Request) {
		setTokenUsage(r)
		r.Header.Set("X-Deadline-Ms", "200")
	}
	for n := 0; n < size+20; n += step {
		cut.Store(int64(n))
		if n%2 == 1 {
			kept.Store(true) // the next connection is a kept one
			h.send(http.MethodPost, path, request)
		}
		got := h.send(http.MethodPost, path, request)
		if got.status < 300 && got.err == nil {
			t.Fatalf("cut at byte %d: got status %d with body %q", n, got.status, got.body)
		}
		kept.Store(false)
	}
	if n := len(server.Requests()); n < size/step {
		t.Errorf("only %d requests reached the server", n)
	}
}
