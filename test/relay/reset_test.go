package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/backend"
)

// reset closes a connection so that its peer gets a reset.
func reset(c net.Conn) {
	if t, ok := backend.TCP(c); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// checkOutcome checks what a caller was told of a purchase that ran at most once: success
// only with the complete response, and never that it did not run.
func (h *harness) checkOutcome(got result, step, complete string) {
	h.t.Helper()
	switch got.status {
	case http.StatusOK:
		if got.err != nil || got.body != complete {
			h.t.Errorf("%s: got status 200 with body %q, error %v", step, got.body, got.err)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		h.t.Errorf("%s: got status %d, error %v; the purchase may have run", step, got.status, got.err)
	}
}

// A server's connection that breaks at any byte of its response, by a reset or a close.
func TestPurchaseWhoseResponseBreaksAtAnyByte(t *testing.T) {
	const body = "ok: 20 l, code 4711"
	for name, end := range map[string]func(net.Conn){"reset": reset, "close": func(c net.Conn) { _ = c.Close() }} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			var cut atomic.Int64
			step := func(c *backend.Conn, r *http.Request, _ []byte) bool {
				response := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Request-Id"), len(body), body)
				n := min(int(cut.Load()), len(response))
				_, _ = io.WriteString(c, response[:n])
				if n < len(response) {
					end(c.Conn)
				}
				return n == len(response)
			}
			first, second := h.startServer("buy", "a", step), h.startServer("buy", "b", step)
			complete := 0
			for n := range 160 {
				cut.Store(int64(n))
				runs := len(first.Requests()) + len(second.Requests())
				got := h.send(http.MethodPost, "/buy/1", nil)
				h.checkOutcome(got, fmt.Sprintf("byte %d", n), body)
				if got.status == http.StatusOK {
					complete++
				}
				if runs = len(first.Requests()) + len(second.Requests()) - runs; runs != 1 {
					t.Errorf("byte %d: the purchase ran %d times, want once", n, runs)
				}
			}
			if complete == 0 {
				t.Error("no response was complete")
			}
		})
	}
}

// breakingServers starts two servers that read so many bytes of each connection and reset it.
// It returns a counter of the connections on which any byte arrived.
func (h *harness) breakingServers(bytes *atomic.Int64) *atomic.Int64 {
	h.t.Helper()
	received := new(atomic.Int64)
	for _, dataCentre := range []string{"a", "b"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			h.t.Fatal(err)
		}
		h.t.Cleanup(func() { _ = l.Close() })
		h.register("breaks-"+dataCentre, "buy", dataCentre, l.Addr().String())
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() { // a probe of the server keeps its connection open
					n, _ := io.ReadFull(c, make([]byte, bytes.Load()))
					received.Add(int64(min(n, 1)))
					reset(c)
				}()
			}
		}()
	}
	return received
}

// A server's connection that breaks at any byte of the request: what was sent may run, so
// the purchase isn't sent a second time.
func TestPurchaseWhoseRequestBreaksAtAnyByte(t *testing.T) {
	h := newHarness(t)
	var bytes atomic.Int64
	received := h.breakingServers(&bytes)
	for n := 1; n < 220; n += 3 {
		bytes.Store(int64(n))
		before := received.Load()
		h.checkOutcome(h.send(http.MethodPost, "/buy/1", nil), fmt.Sprintf("byte %d", n), "ok")
		if runs := received.Load() - before; runs > 1 {
			t.Errorf("byte %d: the purchase reached servers %d times", n, runs)
		}
	}
	if received.Load() == 0 {
		t.Error("the servers got no request")
	}
}

// A caller's connection that breaks at any byte: a request that did not arrive whole does
// not run, and the caller's retry at another host runs once.
func TestPurchaseWhoseCallerBreaksAtAnyByte(t *testing.T) {
	h, other := newHarness(t), newHarness(t)
	s := h.startServer("buy", "a", backend.Respond(200, "ok"))
	other.register("same", "buy", "a", s.Address())
	request := "POST /buy/1 HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: first-%d\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 4\r\n\r\n20 l"
	for n := range len(request) {
		c, err := net.Dial("tcp", strings.TrimPrefix(h.frontend.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, request[:n])
		reset(c)
		other.checkResponse(other.send(http.MethodPost, "/buy/1", nil), 200, "ok")
	}
	if !cluster.Await(time.Second, func() bool { return h.handler.Running() == 0 }) {
		t.Error("requests of callers who left are still in progress")
	}
	if runs := len(s.Requests()); runs != len(request) {
		t.Errorf("%d purchases ran, want %d: one of each retry, none that was cut", runs, len(request))
	}
}
