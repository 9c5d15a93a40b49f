package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"cicadabeam/io/tcp"
	"cicadabeam/test/standin/backend"
)

// delayedListener accepts connections, and reads from them, only from a point in time on.
type delayedListener struct {
	net.Listener
	acceptFrom time.Time
	readFrom   time.Time
}

func (l *delayedListener) Accept() (net.Conn, error) {
	time.Sleep(time.Until(l.acceptFrom))
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(l.readFrom)) // the connection's first read comes after this
	return c, nil
}

// serveFrom makes the harness accept and read callers' connections only from the given
// times on.
func (h *harness) serveFrom(acceptFrom, readFrom time.Time) string {
	h.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	s := httptest.NewUnstartedServer(h.handler)
	_ = s.Listener.Close()
	s.Listener = &delayedListener{Listener: l, acceptFrom: acceptFrom, readFrom: readFrom}
	s.Config.ConnContext = tcp.ConnContext
	s.Start()
	h.t.Cleanup(s.Close)
	return l.Addr().String()
}

// writePurchase writes a purchase with a deadline of 3 s; the route allows 2 s.
func writePurchase(t *testing.T, c net.Conn, n int) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST /buy/%d HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: id-%d\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\nab", n, n, testKey)
	if err != nil {
		t.Fatal(err)
	}
}

// checkTimeLeft checks the time left that the server was sent with its n-th request.
func (h *harness) checkTimeLeft(s *backend.Server, n int, least, most time.Duration) {
	h.t.Helper()
	requests := s.Requests()
	if len(requests) <= n {
		h.t.Fatalf("the server got %d requests, want more than %d", len(requests), n)
	}
	left, err := strconv.Atoi(requests[n].Header.Get("X-Deadline-Ms"))
	if d := time.Duration(left) * time.Millisecond; err != nil || d < least || d > most {
		h.t.Errorf("the server was sent %v (error %v), want %v to %v", d, err, least, most)
	}
}

// A request may wait in the kernel although the process did not stall, or long after it
// did: in the listener's backlog or in an accepted connection.
func TestWaitInKernelIsDeductedFromDeadline(t *testing.T) {
	for name, delays := range map[string]struct{ accept, read time.Duration }{
		"backlog": {accept: time.Second}, "accepted": {read: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			s := h.startServer("buy", "a", backend.Respond(200, "ok"))
			now := time.Now()
			c, err := net.Dial("tcp", h.serveFrom(now.Add(delays.accept), now.Add(delays.read)))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			writePurchase(t, c, 1)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || response.StatusCode != 200 {
				t.Fatalf("got %v, error %v; want status 200", response, err)
			}
			_ = response.Body.Close()
			h.checkTimeLeft(s, 0, 500*time.Millisecond, 1100*time.Millisecond)
		})
	}
}

// Of two pipelined requests the second one waits for the first, and of two requests on an
// idle connection none does.
func TestReadDelayOfFollowingRequests(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("buy", "a", backend.Delay(700*time.Millisecond, backend.Respond(200, "ok")))
	c, err := net.Dial("tcp", h.serveFrom(time.Time{}, time.Time{}))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	receive := func() {
		t.Helper()
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != 200 {
			t.Fatalf("got %v, error %v; want status 200", response, err)
		}
		_ = response.Body.Close()
	}
	writePurchase(t, c, 1)
	writePurchase(t, c, 2)
	receive()
	receive()
	time.Sleep(time.Second)
	writePurchase(t, c, 3)
	receive()
	h.checkTimeLeft(s, 0, 1800*time.Millisecond, 2*time.Second)
	h.checkTimeLeft(s, 1, 900*time.Millisecond, 1350*time.Millisecond)
	h.checkTimeLeft(s, 2, 1800*time.Millisecond, 2*time.Second)
}
