package relay

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/core/bytebudget"
	"cicadabeam/io/relay"
	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/backend"
)

// newHarnessWithRoom returns a harness whose relay may buffer a number of bytes.
func newHarnessWithRoom(t *testing.T, room int64) (*harness, *bytebudget.Budget) {
	t.Helper()
	b := bytebudget.New(room)
	h := newHarnessWith(t, func(d *relay.Dependencies) { d.Buffers = b })
	t.Cleanup(func() {
		if !cluster.Await(time.Second, func() bool { return b.Held() == 0 }) {
			t.Errorf("%d bytes are held after all requests have ended", b.Held())
		}
	})
	return h, b
}

// Guards against bytes that are never given back, whatever way a request ends.
func TestNothingIsHeldAfterRequestsHaveEnded(t *testing.T) {
	for name, e := range endlessResponses() {
		t.Run(name, func(t *testing.T) {
			h, _ := newHarnessWithRoom(t, 64<<10)
			for _, service := range []string{"read", "buy", "report"} {
				h.startServer(service, "a", e.Step())
			}
			h.startServer("read", "b", backend.Respond(200, "ok"))
			h.startServer("report", "b", backend.Stream(10, 0, 0, nil))
			h.checkResponse(h.send(http.MethodGet, "/read/1", nil), 200, "ok")
			h.checkResponse(h.send(http.MethodPost, "/report/1", setTokenUsage), 200, eventText(1, 10))
			if got := h.send(http.MethodPost, "/buy/1", nil); !strings.Contains(got.body, `"ran":"unknown"`) {
				t.Errorf("purchase: got status %d, body %q; want unknown whether it ran", got.status, got.body)
			}
			h.checkEnded(e)
		})
	}
}

// Guards against long responses that fail for lack of room, though they can be passed on as they come.
func TestLongResponseIsPassedOnWithoutRoomToBufferIt(t *testing.T) {
	body := strings.Repeat("x", 600<<10)
	for _, path := range []string{"/read/1", "/buy/1"} {
		h, b := newHarnessWithRoom(t, 20<<10)
		h.startServer(path[1:len(path)-2], "a", backend.Respond(200, body))
		got := h.send(http.MethodPost, path, nil)
		if got.status != 200 || got.body != body {
			t.Errorf("%s: got status %d, %d bytes, error %v; want 200 and all %d", path, got.status, len(got.body), got.err, len(body))
		}
		if b.Held() > 20<<10 {
			t.Errorf("%s: %d bytes are held", path, b.Held())
		}
	}
}

// Guards against a body that is read though there is no room for it, or a refusal that says it may have run.
func TestBodyWithoutRoomIsRefusedBeforeItRuns(t *testing.T) {
	for name, declared := range map[string]bool{"with a length": true, "in chunks": false} {
		t.Run(name, func(t *testing.T) {
			h, _ := newHarnessWithRoom(t, 64<<10)
			s := h.startServer("buy", "a", backend.Respond(200, "ok"))
			got := h.send(http.MethodPost, "/buy/1", func(r *http.Request) {
				r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 200<<10)))
				r.ContentLength = -1
				if declared {
					r.ContentLength = 200 << 10
				}
			})
			if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, `"ran":"not_run"`) {
				t.Errorf("got status %d, %v, body %q, error %v; want 503 with Retry-After, not run", got.status, got.header, got.body, got.err)
			}
			h.checkRequestCount(s, 0)
			h.checkResponse(h.send(http.MethodPost, "/buy/2", func(r *http.Request) {
				r.Body, r.ContentLength = io.NopCloser(strings.NewReader("small")), 5
			}), 200, "ok")
		})
	}
}

// Guards against a response that is at rest and keeps the room that others need.
func TestLargestResponseAtRestGivesWay(t *testing.T) {
	h, b := newHarnessWithRoom(t, 600<<10)
	e := &backend.Endless{Head: backend.Head("Content-Length: 300000\r\n") + strings.Repeat("x", 150_000), Repeat: "x", Pause: 20 * time.Millisecond}
	h.startServer("read", "a", e.Step())
	s := h.startServer("buy", "a", backend.Delay(300*time.Millisecond, backend.Respond(200, "ok")))
	go h.send(http.MethodGet, "/read/1", nil)
	if !cluster.Await(time.Second, func() bool { return b.Held() > 200_000 }) {
		t.Fatal("the response is not buffered")
	}
	large := strings.Repeat("y", 60_000)
	var g sync.WaitGroup
	for i := range 6 {
		g.Go(func() {
			got := h.send(http.MethodPost, fmt.Sprint("/buy/", i), func(r *http.Request) {
				r.Body, r.ContentLength = io.NopCloser(strings.NewReader(large)), int64(len(large))
			})
			h.checkResponse(got, 200, "ok")
		})
	}
	g.Wait()
	h.checkRequestCount(s, 6)
	if n := b.Refusals()["response"]; n != 1 {
		t.Errorf("responses gave way %d times, want once", n)
	}
	h.checkEnded(e)
}
