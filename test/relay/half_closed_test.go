package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/io/relay"
	"cicadabeam/test/standin/backend"
)

// dialRequest opens a connection and sends a whole request on it.
func (h *harness) dialRequest(method, path string) *net.TCPConn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.frontend.Listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = conn.Close() })
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: id-half\r\nX-Token-Usage: 800,90\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", method, path, testKey)
	return conn.(*net.TCPConn)
}

// sendHalfClosed sends a whole request, closes the sending side of the connection after a
// delay and reads the response.
func (h *harness) sendHalfClosed(method, path string, delay time.Duration) result {
	h.t.Helper()
	conn := h.dialRequest(method, path)
	time.Sleep(delay)
	if err := conn.CloseWrite(); err != nil {
		h.t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	return result{status: r.StatusCode, header: r.Header, body: string(body), closes: r.Close, err: err}
}

func TestCallerThatClosesItsSendingSideIsAnswered(t *testing.T) {
	for name, delay := range map[string]time.Duration{"with the request": 0, "while it runs": 100 * time.Millisecond} {
		for path, want := range map[string]int{"/buy/1": 200, "/once/1": 502, "/read/1": 502, "/report/1": 502} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				h.startServer(strings.Split(path, "/")[1], "a", backend.Delay(300*time.Millisecond, backend.Respond(200, "ok")))
				got := h.sendHalfClosed(http.MethodPost, path, delay)
				refused := delay == 0 && got.status == 503 // it had not been sent
				if got.err != nil || got.status != want && !refused {
					t.Errorf("got status %d, error %v; want status %d", got.status, got.err, want)
				}
			})
		}
	}
}

func TestPurchaseOfCallerWhoLeftIsNotSent(t *testing.T) {
	for name, leave := range map[string]func(c *net.TCPConn) error{"closed": (*net.TCPConn).Close, "sending side closed": (*net.TCPConn).CloseWrite} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarnessWith(t, func(d *relay.Dependencies) { d.Ready = make(chan struct{}) }) // requests wait for a moment
			s := h.startServer("buy", "a", backend.Respond(200, "ok"))
			c := h.dialRequest(http.MethodPost, "/buy/1")
			time.Sleep(100 * time.Millisecond)
			if err := leave(c); err != nil {
				t.Fatal(err)
			}
			time.Sleep(500 * time.Millisecond)
			h.checkRequestCount(s, 0)
		})
	}
}
