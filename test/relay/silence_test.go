package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cicadabeam/core/retrybudget"
	"cicadabeam/io/relay"
	"cicadabeam/test/standin/backend"
)

// silence is how long the servers of these tests send nothing before they go on.
const silence = 2 * time.Second

// sendLong sends a request whose deadline is longTimeout.
func (h *harness) sendLong(path string) result {
	h.t.Helper()
	return h.send(http.MethodPost, path, func(r *http.Request) {
		setTokenUsage(r)
		r.Header.Set("X-Deadline-Ms", "6000")
	})
}

func TestSilentServerDoesNotEndStream(t *testing.T) {
	betweenEvents := backend.Stream(10, 5, 0, backend.Delay(silence, backend.RestOfStream(6, 10)))
	withinEvent := backend.Stream(10, 5, 0, func(c *backend.Conn, r *http.Request, body []byte) bool {
		_, _ = io.WriteString(c, "15\r\nid: 6\nda")
		time.Sleep(silence)
		_, _ = io.WriteString(c, "ta: piece-6\n\n\r\n")
		return backend.RestOfStream(7, 10)(c, r, body)
	})
	other := backend.Stream(10, 0, 0, nil)
	for name, c := range map[string]struct {
		path     string
		first    backend.Step
		second   backend.Step // nil if there is no second server
		gone     bool         // the second server is registered and cannot be reached
		noBudget bool
	}{
		"there is no other server":           {path: "/long/1", first: betweenEvents},
		"the retry budget is spent":          {path: "/long/1", first: betweenEvents, second: other, noBudget: true},
		"the attempts are used up":           {path: "/single/1", first: betweenEvents, second: other},
		"the stream must not run twice":      {path: "/plain/1", first: betweenEvents, second: other},
		"the other server refuses":           {path: "/long/1", first: betweenEvents, second: backend.NotExecuted()},
		"the other server cannot be reached": {path: "/long/1", first: betweenEvents, second: other, gone: true},
		"the other server is silent too":     {path: "/long/1", first: betweenEvents, second: backend.NoResponse()},
		"the other server fails":             {path: "/long/1", first: betweenEvents, second: backend.Respond(500, "failed")},
		"it is silent within an event":       {path: "/plain/1", first: withinEvent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarnessWith(t, func(d *relay.Dependencies) {
				if c.noBudget {
					d.Limits.RetryLimit = retrybudget.Limit{Window: 10 * time.Second}
				}
			})
			service := map[bool]string{true: "once", false: "report"}[c.path == "/plain/1"]
			first := h.startServer(service, "a", c.first)
			if c.second != nil {
				second := h.startServer(service, "b", c.second)
				if c.gone {
					second.Close()
				}
			}
			h.checkResponse(h.sendLong(c.path), 200, eventText(1, 10))
			h.checkRequestCount(first, 1)
		})
	}
}

// registerSingleConnection registers a server that accepts one connection and then no
// others. It handles one request on it.
func (h *harness) registerSingleConnection(id, service string, step backend.Step) {
	h.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_ = l.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			step(&backend.Conn{Conn: c}, r, nil)
		}
	}()
	h.register(id, service, "a", l.Addr().String())
}

func TestProbeThatFailsDoesNotEndStream(t *testing.T) {
	for name, path := range map[string]string{"resumable": "/long/1", "plain": "/plain/1"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.registerSingleConnection("busy", map[string]string{"/long/1": "report", "/plain/1": "once"}[path], backend.Delay(silence, backend.Stream(10, 0, 0, nil)))
			time.AfterFunc(200*time.Millisecond, func() { h.handler.MergeLosses(map[string]time.Duration{"busy": 0}, time.Now()) })
			h.checkResponse(h.sendLong(path), 200, eventText(1, 10))
		})
	}
}

// The first server must stop once another one has taken the stream over.
func TestStreamThatMovedIsCancelledAtSilentServer(t *testing.T) {
	h := newHarness(t)
	cancelled := make(chan time.Time, 1)
	h.startServer("report", "a", backend.Stream(10, 5, 0, func(c *backend.Conn, _ *http.Request, _ []byte) bool {
		<-c.CloseNotify()
		cancelled <- time.Now()
		return false
	}))
	resumed := make(chan time.Time, 1)
	h.startServer("report", "b", func(c *backend.Conn, r *http.Request, body []byte) bool {
		resumed <- time.Now()
		return backend.Stream(10, 0, 0, nil)(c, r, body)
	})
	h.checkResponse(h.sendLong("/long/1"), 200, eventText(1, 10))
	if d := (<-cancelled).Sub(<-resumed); d > 300*time.Millisecond {
		t.Errorf("the first server worked for %v after the second one had taken over, want at most 300 ms", d)
	}
}
