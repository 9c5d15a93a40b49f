package relay

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/test/standin/backend"
)

const leavingOtherResponse = "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nX-Server-Signature: signed\r\nX-Request-Id: other\r\nContent-Length: 5\r\n\r\nother"

// A response of any kind that says that the server leaves ends its work, though the
// directory still says that it is ready.
func TestServerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	precede := func(text string, s backend.Step) backend.Step {
		return func(c *backend.Conn, r *http.Request, body []byte) bool {
			return backend.WriteRaw(text, true)(c, r, body) && s(c, r, body)
		}
	}
	ok := backend.Respond(200, "ok")
	prompts := backend.Leaving(backend.WithCachedPrompts(nil, nil))
	for name, x := range map[string]struct {
		service, path string
		first         backend.Step
		status        int
		query         bool // the response is that to a query for prompts
	}{
		"response":           {"read", "/read/1", backend.Leaving(ok), 200, false},
		"refusal":            {"buy", "/buy/1", backend.Leaving(backend.NotExecuted()), 503, false},
		"error":              {"buy", "/buy/1", backend.Leaving(backend.Respond(500, "failed")), 500, false},
		"unsigned":           {"buy", "/buy/1", backend.WriteRaw("HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n", true), 502, false},
		"interim":            {"buy", "/buy/1", precede("HTTP/1.1 102 Processing\r\nServer-Leaving: 1\r\n\r\n", ok), 200, false},
		"of another request": {"buy", "/buy/1", precede(leavingOtherResponse, ok), 200, false},
		"stream":             {"report", "/report/1", backend.Leaving(backend.Stream(3, 0, 0, nil)), 200, false},
		"refused stream":     {"report", "/report/1", backend.Leaving(backend.NotExecuted()), 503, false},
		"prompts":            {"report", "", prompts, 0, true},
		"failed prompts":     {"report", "", backend.Leaving(backend.Respond(500, "")), 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			otherwise := ok
			if x.service == "report" {
				otherwise = backend.Stream(3, 0, 0, nil)
			}
			s := h.startServer(x.service, "a", x.first, otherwise)
			m := h.fleet.FindUsable(s.Address(), time.Now())
			if x.query {
				_ = h.handler.QueryPrompts(context.Background(), m)
			} else {
				h.checkResponse(h.send(http.MethodPost, x.path, setTokenUsage), x.status, "")
			}
			h.register(s.Address(), x.service, "a", s.Address())
			start := time.Now()
			got := h.send(http.MethodPost, fmt.Sprintf("/%s/2", x.service), setTokenUsage)
			h.checkResponse(got, 503, "")
			if got.header.Get("Retry-After") == "" {
				t.Error("the refusal has no Retry-After header")
			}
			if d := time.Since(start); d > 100*time.Millisecond {
				t.Errorf("the refusal took %v although no server is left", d)
			}
			h.checkRequestCount(s, 1)
			_ = h.handler.QueryPrompts(context.Background(), m)
			h.checkRequestCount(s, 1)
			other := h.startServer(x.service, "b", otherwise)
			h.checkResponse(h.send(http.MethodPost, fmt.Sprintf("/%s/3", x.service), setTokenUsage), 200, "")
			h.checkRequestCount(other, 1)
		})
	}
}

// Requests that run at the server end as they would have.
func TestRequestsFinishAtServerThatSaysItLeaves(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("report", "a", backend.Delay(100*time.Millisecond, backend.Leaving(backend.Stream(20, 0, 20*time.Millisecond, nil))))
	done := make(chan result, 3)
	for range 3 {
		go func() { done <- h.send(http.MethodPost, "/report/1", setTokenUsage) }()
	}
	for range 3 {
		h.checkResponse(<-done, 200, eventText(1, 20))
	}
	for _, r := range s.Requests() {
		if r.Header.Get("Last-Event-Id") != "" {
			t.Error("a stream was resumed at the server")
		}
	}
}

// What a server said is neither that of its successor at the address nor that of its next
// start.
func TestSuccessorOfServerThatLeftStartsClean(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("read", "a", backend.Leaving(backend.Respond(200, "ok")), backend.Respond(200, "ok"))
	h.checkResponse(h.send(http.MethodGet, "/read/1", nil), 200, "ok")
	h.checkResponse(h.send(http.MethodGet, "/read/2", nil), 503, "")
	h.register("successor", "read", "a", s.Address())
	h.checkResponse(h.send(http.MethodGet, "/read/3", nil), 200, "ok")
	h.fleet.Deregister("successor", time.Now())
	h.checkResponse(h.send(http.MethodGet, "/read/4", nil), 503, "")
	h.fleet.Upsert(fleet.Server{ID: s.Address(), Service: "read", Address: s.Address(), DataCentre: "a", Slots: 6, StartedMS: 7})
	h.checkResponse(h.send(http.MethodGet, "/read/5", nil), 200, "ok")
}

// A 421 comes from the server that has taken over the address, not from the one that was
// expected there.
func TestMisdirectedResponseSpeaksForItsSender(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("read", "a", backend.Leaving(backend.Misdirected()), backend.Respond(200, "ok"))
	h.fleet.Upsert(fleet.Server{ID: "another", Service: "buy", Address: s.Address(), DataCentre: "a", Slots: 6})
	h.checkResponse(h.send(http.MethodGet, "/read/1", nil), 503, "")
	h.checkResponse(h.send(http.MethodPost, "/buy/1", nil), 503, "")
	h.checkRequestCount(s, 1)
}

// A connection that is lost later causes no probe.
func TestNoProbeOfServerThatSaysItLeaves(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("buy", "a", backend.Delay(200*time.Millisecond, backend.CloseConnection()), backend.Leaving(backend.Respond(200, "ok")))
	done := make(chan result)
	go func() { done <- h.send(http.MethodPost, "/buy/1", nil) }()
	time.Sleep(50 * time.Millisecond)
	h.checkResponse(h.send(http.MethodPost, "/buy/2", nil), 200, "ok")
	h.checkResponse(<-done, 502, "")
	time.Sleep(500 * time.Millisecond)
	if n := s.ConnectionCount(); n != 2 {
		t.Errorf("the server got %d connections, want those of the 2 requests", n)
	}
}
