package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/core/drain"
	"cicadabeam/core/freshness"
	"cicadabeam/test/standin/backend"
)

// Unknown keys get 401 and unknown routes 404 until the last confirmation of the
// configuration is MaxConfigAge old, and 503 from then on. Known keys get 503 from shortly
// before it is MaxKeyAge old. Public routes are always served.
func TestKeys(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("buy", "a", backend.Respond(200, "ok"))
	h.startServer("public", "a", backend.Respond(200, "ok"))
	wrong := func(r *http.Request) { r.Header.Set("Authorization", "Bearer wrong") }
	for _, x := range []struct {
		age                                        time.Duration
		knownKey, unknownKey, publicRoute, noRoute int
	}{
		{0, 200, 401, 200, 404},
		{2400 * time.Millisecond, 200, 401, 200, 404},
		{2600 * time.Millisecond, 200, 503, 200, 503}, // a newer configuration may contain the key or the route
		{4950 * time.Millisecond, 503, 503, 200, 503}, // the key may have been revoked
		{time.Hour, 503, 503, 200, 503},
	} {
		h.setUptime(time.Hour + x.age)
		h.checkResponse(h.send(http.MethodPost, "/buy/1", nil), x.knownKey, "")
		h.checkResponse(h.send(http.MethodPost, "/buy/1", wrong), x.unknownKey, "")
		h.checkResponse(h.send(http.MethodGet, "/public/1", wrong), x.publicRoute, "")
		h.checkResponse(h.send(http.MethodGet, "/nowhere/", nil), x.noRoute, "")
	}
	h.checkRequestCount(s, 3)
}

// A node that has no configuration yet refuses requests with 503 and Retry-After.
func TestWithoutConfiguration(t *testing.T) {
	h := newHarness(t)
	h.handler.Catalog = freshness.New()
	got := h.send(http.MethodGet, "/read/1", nil)
	h.checkResponse(got, 503, "")
	if got.header.Get("Retry-After") == "" {
		t.Error("the response has no Retry-After header")
	}
}

// During a shutdown, requests that surely end in time are served and close the caller's
// connection. Others are refused, and nothing of them reaches a server.
func TestDrainingHandler(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("buy", "a", backend.Respond(200, "ok"))
	h.startServer("report", "a", backend.Stream(3, 0, 0, nil))
	short := func(r *http.Request) { setTokenUsage(r); r.Header.Set("X-Deadline-Ms", "900") }
	now := time.Now()
	h.handler.Drain(drain.Window{Early: now.Add(-time.Second), Noticed: now.Add(-time.Second), End: now.Add(1500 * time.Millisecond)})
	got := h.send(http.MethodPost, "/buy/1", short)
	h.checkResponse(got, 200, "ok")
	if !got.closes {
		t.Error("the response does not close the connection")
	}
	h.checkResponse(h.send(http.MethodPost, "/report/1", short), 200, "")
	for _, path := range []string{"/buy/1", "/report/1"} {
		got := h.send(http.MethodPost, path, setTokenUsage)
		h.checkResponse(got, 503, "")
		if wait := got.header.Get("Retry-After"); !got.closes || wait != "0.05" {
			t.Errorf("%s: the refusal closes the connection: %v, Retry-After %q", path, got.closes, wait)
		}
	}
	h.checkRequestCount(s, 1)
}

// While the load balancer has not noticed a shutdown, requests are accepted that usually end in time or
// can be resumed, although their timeout doesn't pass before the end.
func TestDrainingHandlerAcceptsWhatUsuallyEnds(t *testing.T) {
	h := newHarness(t)
	h.startServer("report", "a", backend.Stream(3, 0, 10*time.Millisecond, nil))
	h.startServer("once", "a", backend.Stream(3, 0, 10*time.Millisecond, nil))
	h.startServer("read", "a", backend.Respond(200, "ok"))
	buy := h.startServer("buy", "a", backend.Delay(800*time.Millisecond, backend.Respond(200, "ok")))
	h.checkResponse(h.send(http.MethodGet, "/read/1", nil), 200, "")
	h.checkResponse(h.send(http.MethodPost, "/buy/1", nil), 200, "")
	now := time.Now()
	h.handler.Drain(drain.Window{Early: now.Add(time.Second), Noticed: now.Add(time.Second), End: now.Add(1500 * time.Millisecond)})
	h.checkResponse(h.send(http.MethodPost, "/report/1", setTokenUsage), 200, "")
	h.checkResponse(h.send(http.MethodGet, "/read/2", nil), 200, "")
	h.checkResponse(h.send(http.MethodPost, "/buy/2", nil), 503, "")            // such requests take up to 2.4 s
	h.checkResponse(h.send(http.MethodPost, "/once/1", setTokenUsage), 503, "") // unknown, and can't be repeated
	h.checkRequestCount(buy, 1)
}

// Malformed, ambiguous and oversized requests: no server gets part of one as a body, or a
// request that is hidden in its body (request smuggling).
func TestBadInput(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("buy", "a", backend.Respond(200, "ok"))
	const header = "POST /buy/1 HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: i\r\nAuthorization: Bearer " + testKey + "\r\n"
	for name, x := range map[string]struct {
		text   string
		status string
	}{
		"two lengths":       {header + "Content-Length: 2\r\nContent-Length: 5\r\n\r\nhello", "400"},
		"length and chunks": {header + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/2 HTTP/1.1\r\nHost: test.example\r\n\r\n", ""},
		"malformed chunk":   {header + "Transfer-Encoding: chunked\r\n\r\nxyz\r\nhello\r\n0\r\n\r\n", "400"},
		"no header":         {"nonsense\r\n\r\n", "400"},
		"too large":         {header + "Content-Length: 2000000\r\n\r\n", "413"},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", h.frontend.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, x.text)
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			first := make([]byte, 64)
			n, _ := c.Read(first)
			if x.status != "" && !strings.HasPrefix(string(first[:n]), "HTTP/1.1 "+x.status) {
				t.Errorf("the response begins with %q", first[:n])
			}
		})
	}
	for _, r := range s.Requests() {
		if r.Target != "/buy/1" || r.Body != "" {
			t.Errorf("a server got a request for %s with body %q", r.Target, r.Body)
		}
	}
}

// A request after which three servers in turn crashed is quarantined and does not reach a
// fourth one. Other requests are not quarantined: they get 503 while no server is left,
// and are served afterwards.
func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		s := h.startServer("buy", "a", backend.Respond(200, "ok"))
		s.SetSteps(s.Crash())
		h.checkResponse(h.send(http.MethodPost, "/buy/poison", nil), 502, "")
		time.Sleep(1500 * time.Millisecond) // so that the crashes do not count as one outage
		if i < 2 {
			h.checkResponse(h.send(http.MethodPost, "/buy/poison-not", nil), 503, "")
		}
	}
	s := h.startServer("buy", "a", backend.Respond(200, "ok"))
	got := h.send(http.MethodPost, "/buy/poison", nil)
	h.checkResponse(got, 422, "")
	h.checkRequestCount(s, 0)
	h.checkResponse(h.send(http.MethodPost, "/buy/1", nil), 200, "ok")
}

// If several servers of a data centre die at once, the requests that they ran are not
// quarantined.
func TestOutageQuarantinesNoRequest(t *testing.T) {
	h := newHarness(t)
	for range 4 {
		first, second := h.startServer("report", "a", backend.Respond(200, "")), h.startServer("report", "a", backend.Respond(200, ""))
		die := func(c *backend.Conn, r *http.Request, body []byte) bool {
			second.Close()
			return first.Crash()(c, r, body)
		}
		first.SetSteps(die)
		second.SetSteps(func(c *backend.Conn, r *http.Request, body []byte) bool {
			first.Close()
			return second.Crash()(c, r, body)
		})
		h.send(http.MethodPost, "/report/1", setTokenUsage)
		time.Sleep(1200 * time.Millisecond)
	}
	h.startServer("report", "a", backend.Stream(3, 0, 0, nil))
	h.checkResponse(h.send(http.MethodPost, "/report/1", setTokenUsage), 200, eventText(1, 3))
}
