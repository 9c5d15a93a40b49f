package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

func TestResponseIsForwardedUnchanged(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("buy", "a", backend.Respond(200, "bought"))
	got := h.send(http.MethodPost, "/buy/17?a=b%20c", func(r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader("amount=5"))
		r.Header.Set("X-Custom", "kept")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "not kept")
	})
	h.checkResponse(got, 200, "bought")
	if got.header.Get("X-Server-Signature") != "signed" {
		t.Error("the response has no server signature")
	}
	x := s.Requests()[0]
	if x.Method != "POST" || x.Target != "/buy/17?a=b%20c" || x.Host != "test.example" || x.Body != "amount=5" {
		t.Errorf("the server received %+v", x)
	}
	for name, want := range map[string]string{
		"X-Custom": "kept", "X-Hop": "", "Authorization": "", "X-Tenant": "ndox", "X-Expect-Instance": s.Address(), "User-Agent": "Go-http-client/1.1",
	} {
		if got := x.Header.Get(name); got != want {
			t.Errorf("header %s: got %q, want %q", name, got, want)
		}
	}
}

func TestCallerCannotSetSystemHeaders(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("public", "a", backend.Respond(200, "ok"))
	forged := []string{"X-Tenant", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Priority-Class", "X-Expect-Version"}
	h.send(http.MethodGet, "/public/1", func(r *http.Request) {
		for _, name := range forged {
			r.Header.Set(name, "forged")
		}
		r.Header.Set("X-Expect-Instance", "forged")
	})
	for _, name := range forged {
		if v := s.Requests()[0].Header.Get(name); v != "" {
			t.Errorf("header %s of the caller reached the server with the value %q", name, v)
		}
	}
	if v := s.Requests()[0].Header.Get("X-Expect-Instance"); v != s.Address() {
		t.Errorf("got X-Expect-Instance %q, want the address of the server", v)
	}
}

func TestForwardedDeadlineIsRemainingTime(t *testing.T) {
	h := newHarness(t)
	slow := h.startServer("read", "a", backend.Delay(300*time.Millisecond, backend.Respond(500, "")))
	fast := h.startServer("read", "b", backend.Respond(200, "ok"))
	h.checkResponse(h.send(http.MethodGet, "/read/1", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "900") }), 200, "ok")
	remaining := func(s *backend.Server) int {
		n := 0
		_, _ = fmt.Sscan(s.Requests()[0].Header.Get("X-Deadline-Ms"), &n)
		return n
	}
	if n := remaining(slow); n > 900 || n < 600 {
		t.Errorf("the first server got a deadline of %d ms, want 600 to 900", n)
	}
	if n := remaining(fast); n > 800 || n < 300 {
		t.Errorf("the second server got a deadline of %d ms, want 300 to 800, as it is asked at least 125 ms later", n)
	}
}

// Each case gives the response of the first of two servers and checks the status that the
// caller gets. A retryable request is sent to the second server. A purchase must not run
// twice, and its route allows one attempt, so it is sent to the second server only if the
// first one is not the server that the relay expects at its address.
func TestRetriesDependOnWhetherRequestRan(t *testing.T) {
	success := backend.Respond(200, "ok")
	cases := []struct {
		name      string
		step      backend.Step
		read, buy int // status
		requests  int // that the first server gets for the purchase
	}{
		{"refused", backend.NotExecuted(), 200, 503, 1},
		{"address taken over by another server", backend.Misdirected(), 200, 200, 1},
		{"dropped", backend.CloseConnection(), 200, 502, 1},
		{"failed", backend.Respond(500, "broken"), 200, 500, 1},
		{"503 from the application", backend.Respond(503, ""), 200, 502, 1},
		{"429 from the application", backend.Respond(429, ""), 200, 502, 1},
		{"response is not HTTP", backend.WriteRaw("garbage\r\n\r\n", false), 200, 502, 1},
		{"no signature", backend.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", true), 200, 502, 1},
		{"body truncated", backend.WriteRaw("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 20\r\n\r\nno", false), 200, 502, 1},
		{"chunked body truncated", backend.WriteRaw("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n", false), 200, 502, 1},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			h := newHarness(t)
			h.startServer("read", "a", x.step)
			h.startServer("read", "b", success)
			h.checkResponse(h.send(http.MethodGet, "/read/1", nil), x.read, "ok")
			first := h.startServer("buy", "a", x.step)
			second := h.startServer("buy", "b", success)
			got := h.send(http.MethodPost, "/buy/1", nil)
			h.checkResponse(got, x.buy, "")
			h.checkRequestCount(first, 1)
			if x.buy != 200 {
				h.checkRequestCount(second, 0)
			}
			if x.buy == 503 && got.header.Get("Retry-After") == "" {
				t.Error("the response has no Retry-After header")
			}
			if x.buy == 502 && got.header.Get("X-Server-Signature") != "" {
				t.Error("an error response of the relay carries a server signature")
			}
		})
	}
}

func TestUnreachableServerIsSkipped(t *testing.T) {
	h := newHarness(t)
	h.register("dead", "buy", "a", unusedAddress(t))
	s := h.startServer("buy", "b", backend.Respond(200, "ok"))
	h.checkResponse(h.send(http.MethodPost, "/buy/1", nil), 200, "ok")
	h.checkRequestCount(s, 1)
}

func TestRequestIsRefusedIfNoServerIsReachable(t *testing.T) {
	h := newHarness(t)
	h.register("dead", "buy", "a", unusedAddress(t))
	started := time.Now()
	got := h.send(http.MethodPost, "/buy/1", nil)
	h.checkResponse(got, 503, "")
	if got.header.Get("Retry-After") == "" || time.Since(started) > time.Second {
		t.Errorf("refused after %v with Retry-After %q, want a refusal within 1 s and a Retry-After header", time.Since(started), got.header.Get("Retry-After"))
	}
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// A purchase that is in flight at the timeout of its route fails at once with 504. The
// response must not say that the purchase did not run.
func TestTimeoutOfPurchaseInFlight(t *testing.T) {
	h := newHarness(t)
	h.startServer("buy", "a", backend.NoResponse())
	started := time.Now()
	got := h.send(http.MethodPost, "/buy/1", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "10000") })
	h.checkResponse(got, 504, "")
	if d := time.Since(started); d < testTimeout-10*time.Millisecond || d > testTimeout+250*time.Millisecond {
		t.Errorf("the final response came after %v, want it at the timeout of the route", d)
	}
}

func TestReadIsRetriedIfServerDoesNotRespond(t *testing.T) {
	h := newHarness(t)
	h.startServer("read", "a", backend.NoResponse())
	h.startServer("read", "b", backend.Respond(200, "ok"))
	started := time.Now()
	h.checkResponse(h.send(http.MethodGet, "/read/1", nil), 200, "ok")
	if d := time.Since(started); d > 400*time.Millisecond {
		t.Errorf("the response took %v, want at most 400 ms", d)
	}
}

func TestAttemptsAreLimited(t *testing.T) {
	h := newHarness(t)
	var all []*backend.Server
	for range 4 {
		all = append(all, h.startServer("read", "a", backend.Respond(500, "broken")))
	}
	h.checkResponse(h.send(http.MethodGet, "/read/1", nil), 500, "broken")
	n := 0
	for _, s := range all {
		n += len(s.Requests())
	}
	if n != 2 {
		t.Errorf("got %d attempts, want 2", n)
	}
}

// A response that belongs to no pending request on the connection, because it is late or
// surplus, is discarded and not returned to a later caller.
func TestResponsesToOtherRequestsAreDiscarded(t *testing.T) {
	h := newHarness(t)
	const late = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
	s := h.startServer("buy", "a", backend.AppendBytes(backend.Respond(200, "one"), late), backend.Respond(200, "two"),
		func(c *backend.Conn, r *http.Request, body []byte) bool {
			_, _ = io.WriteString(c, late)
			return backend.Respond(200, "three")(c, r, body)
		}, backend.Respond(200, "four"))
	for _, want := range []string{"one", "two", "three", "four"} {
		h.checkResponse(h.send(http.MethodPost, "/buy/1", nil), 200, want)
		time.Sleep(20 * time.Millisecond)
	}
	h.checkRequestCount(s, 4)
	if s.ConnectionCount() < 2 {
		t.Error("a connection with surplus bytes was reused")
	}
}

func TestConnectionsAreReused(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("buy", "a", backend.Respond(200, "ok"))
	for range 5 {
		h.checkResponse(h.send(http.MethodPost, "/buy/1", nil), 200, "ok")
	}
	if s.ConnectionCount() != 1 {
		t.Errorf("got %d connections for 5 requests, want 1", s.ConnectionCount())
	}
	s.CloseConnections()
	time.Sleep(20 * time.Millisecond)
	h.checkResponse(h.send(http.MethodPost, "/buy/1", nil), 200, "ok")
	h.checkRequestCount(s, 6)
}

// A server may respond before it has read the whole of a long body, and continue to read
// later. The relay must not send the next request on that connection, where the server
// would take it for the rest of the body.
func TestEarlyResponseToLongBody(t *testing.T) {
	h := newHarness(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	unexpected := make(chan string, 1)
	go func() { unexpected <- respondEarly(l) }()
	h.register("early", "buy", "a", l.Addr().String())
	body := strings.Repeat("x", 1<<20)
	h.checkResponse(h.send(http.MethodPost, "/buy/1", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}), 200, "early")
	h.send(http.MethodPost, "/buy/2", nil)
	select {
	case u := <-unexpected:
		t.Errorf("the server read %q in place of the rest of the body", u)
	case <-time.After(300 * time.Millisecond):
	}
}

// respondEarly responds to a request before it has read the body, continues to read, and
// returns any data within the length of the body that is not part of it.
func respondEarly(l net.Listener) string {
	c, err := l.Accept()
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	first := make([]byte, 512)
	n, _ := c.Read(first)
	id := ""
	for line := range strings.SplitSeq(string(first[:n]), "\r\n") {
		if v, found := strings.CutPrefix(line, "X-Request-Id: "); found {
			id = v
		}
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: %s\r\nContent-Length: 5\r\n\r\nearly", id)
	time.Sleep(100 * time.Millisecond)
	all, _ := io.ReadAll(c)
	_, body, _ := strings.Cut(string(first[:n])+string(all), "\r\n\r\n")
	if rest := body[:min(len(body), 1<<20)]; strings.Trim(rest, "x") != "" {
		return strings.Trim(rest, "x")
	}
	select {}
}

// The relay closes the caller's connection when a long response is truncated, so that the
// caller can't take the part for the whole response.
func TestTruncatedLongResponse(t *testing.T) {
	h := newHarness(t)
	const n = 600 << 10
	h.startServer("buy", "a", func(c *backend.Conn, r *http.Request, _ []byte) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("X-Request-Id"), n)
		_, _ = io.WriteString(c, strings.Repeat("x", n/2))
		return false
	})
	got := h.send(http.MethodPost, "/buy/1", nil)
	if !errors.Is(got.err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated response: got error %v, want an unexpected EOF", got.err)
	}
	h = newHarness(t)
	h.startServer("buy", "a", backend.Respond(200, strings.Repeat("x", n)))
	if got := h.send(http.MethodPost, "/buy/1", nil); got.err != nil || len(got.body) != n {
		t.Errorf("complete response: got %d bytes and error %v, want the whole body", len(got.body), got.err)
	}
}

// Requests that are read right after a stall of the process may have waited for all of
// it. The stall is deducted from the time that their callers allow.
func TestStallIsDeductedFromDeadline(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("buy", "a", backend.Respond(200, "ok"))
	h.stalls.Tick(time.Hour)
	h.setUptime(time.Hour + 800*time.Millisecond)
	h.checkResponse(h.send(http.MethodPost, "/buy/1", nil), 200, "ok")
	remaining, err := strconv.Atoi(s.Requests()[0].Header.Get("X-Deadline-Ms"))
	if err != nil || remaining > 1200 || remaining < 800 {
		t.Errorf("the server got a deadline of %d ms (error %v), want 800 to 1200: the timeout is 2000 ms, 800 of which may have passed in the stall", remaining, err)
	}
	h.stalls.Tick(time.Hour + 2*time.Second)
	h.setUptime(time.Hour + 5*time.Second)
	got := h.send(http.MethodPost, "/buy/1", nil)
	h.checkResponse(got, 503, "")
	if got.header.Get("Retry-After") == "" {
		t.Error("the response has no Retry-After header")
	}
	h.checkRequestCount(s, 1)
}

// The first requests that a node of many gets may be retried, as the other nodes have reported
// that they retry nothing.
func TestFirstRequestsOfNodeAreRetried(t *testing.T) {
	h := newHarness(t)
	h.nodes = 195
	h.handler.RecordPeerUsage("others", nil, h.nodes-1, time.Now())
	h.startServer("read", "a", backend.Respond(http.StatusInternalServerError, "failed"))
	h.startServer("read", "b", backend.Respond(http.StatusOK, "ok"))
	h.checkResponse(h.send(http.MethodGet, "/read/1", nil), 200, "ok")
}
