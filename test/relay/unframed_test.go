package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

const unframedHead = "HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\nX-Request-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n"

// unframedStream responds with the events after Last-Event-Id up to last and part of the one
// after that, without a length or chunks, and ends the connection.
func unframedStream(last int, part string, end func(net.Conn)) backend.Step {
	return func(c *backend.Conn, r *http.Request, _ []byte) bool {
		first := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
		_, _ = fmt.Fprintf(c, unframedHead, r.Header.Get("X-Request-Id"))
		for i := first + 1; i <= last; i++ {
			_, _ = fmt.Fprintf(c, "id: %d\ndata: piece-%d\n\n", i, i)
		}
		_, _ = io.WriteString(c, part)
		time.Sleep(50 * time.Millisecond) // a reset discards what has not been read
		end(c.Conn)
		return false
	}
}

func closeConn(c net.Conn) { _ = c.Close() }

// A stream without a length ends behind hundreds of events, whole or broken off.
func TestUnframedStreamIsWholeOnlyIfItEndsBetweenEvents(t *testing.T) {
	const events = 600
	for name, c := range map[string]struct {
		last  int
		part  string
		end   func(net.Conn)
		whole bool
	}{
		"end after the last event": {events, "", closeConn, true},
		"end within an event":      {events / 2, "id: 301\ndata: pie", closeConn, false},
		"end within its last line": {events / 2, "id: 301\ndata: piece-301\n", closeConn, false},
		"reset between events":     {events / 2, "", reset, false},
		"reset within an event":    {events / 2, "id: 301\nda", reset, false},
	} {
		for _, alone := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", alone ", alone), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				h.startServer("report", "a", unframedStream(c.last, c.part, c.end))
				path := "/single/1"
				if !alone {
					path = "/long/1"
					time.AfterFunc(30*time.Millisecond, func() { h.startServer("report", "b", unframedStream(events, "", closeConn)) })
				}
				got := h.send(http.MethodPost, path, setTokenUsage)
				if !c.whole && alone {
					if got.err == nil && got.status == http.StatusOK {
						t.Errorf("a stream of %d bytes that was broken off looks whole", len(got.body))
					}
					return
				}
				if n := strings.Count(got.body, "data: "); got.err != nil || n != events {
					t.Errorf("got %d events, error %v; want %d events", n, got.err, events)
				}
			})
		}
	}
}

func TestUnframedResponseIsWholeOnlyIfItEnds(t *testing.T) {
	for _, size := range []int{10, 100 << 10, 600 << 10} {
		for name, end := range map[string]func(net.Conn){"end": closeConn, "reset": reset} {
			t.Run(fmt.Sprint(name, " after ", size), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				body := strings.Repeat("x", size)
				h.startServer("buy", "a", func(c *backend.Conn, r *http.Request, _ []byte) bool {
					_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("X-Request-Id"), body)
					time.Sleep(50 * time.Millisecond)
					end(c.Conn)
					return false
				})
				got := h.send(http.MethodPost, "/buy/1", nil)
				whole := got.err == nil && got.status == http.StatusOK
				if whole != (name == "end") || whole && got.body != body {
					t.Errorf("got status %d with %d bytes, error %v", got.status, len(got.body), got.err)
				}
			})
		}
	}
}

// A server is killed while it sends a response without a length. Its kernel closes the connection as if
// the response were whole, between two events of a stream or within a body: callers got a part as the
// whole.
func TestResponseThatEndsWithItsServerIsNotWhole(t *testing.T) {
	const events = 20
	for path, body := range map[string]string{"/long/1": eventText(1, events), "/read/1": strings.Repeat("x", 4000)} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			service := map[string]string{"/long/1": "report", "/read/1": "read"}[path]
			killed := h.startServer(service, "a")
			killed.SetSteps(func(c *backend.Conn, r *http.Request, b []byte) bool {
				part, _, _ := strings.Cut(body, "id: 6\n")
				if part == body {
					part = body[:1000]
				}
				_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("X-Request-Id"), part)
				h.startServer(service, "b", func(c *backend.Conn, r *http.Request, _ []byte) bool {
					if service == "report" {
						return unframedStream(events, "", closeConn)(c, r, nil)
					}
					_, _ = fmt.Fprintf(c, unframedHead+"%s", r.Header.Get("X-Request-Id"), body)
					return false
				})
				time.Sleep(20 * time.Millisecond)
				return killed.Crash()(c, r, b)
			})
			h.checkResponse(h.send(http.MethodPost, path, setTokenUsage), 200, body)
		})
	}
}

// A server that stops in the usual way after its last response: that response is whole, and another
// server agrees that nothing follows.
func TestLastStreamOfServerIsWhole(t *testing.T) {
	const events = 20
	h := newHarness(t)
	h.startServer("report", "b", backend.Stream(events, 0, 0, nil))
	last := h.startServer("report", "a")
	last.SetSteps(func(c *backend.Conn, r *http.Request, b []byte) bool {
		last.CloseListener()
		return unframedStream(events, "", closeConn)(c, r, b)
	})
	h.checkResponse(h.send(http.MethodPost, "/long/1", setTokenUsage), 200, eventText(1, events))
}
