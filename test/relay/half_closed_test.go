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

	"cicadabeam/test/standin/backend"
)

// sendHalfClosed sends a whole request, closes the sending side of the connection after a
// delay and reads the response.
func (h *harness) sendHalfClosed(method, path string, delay time.Duration) result {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.frontend.Listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: id-half\r\nX-Token-Usage: 800,90\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", method, path, testKey)
	time.Sleep(delay)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
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
				if got.err != nil || got.status != want && got.status != 503 {
					t.Errorf("got status %d, error %v; want status %d or 503", got.status, got.err, want)
				}
			})
		}
	}
}
