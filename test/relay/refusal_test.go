package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/core/freshness"
	"cicadabeam/test/standin/backend"
)

func TestKeys(t *testing.T) {
	b := newBench(t)
	s := b.server("buy", "a", backend.Answer(200, "ok"))
	b.server("public", "a", backend.Answer(200, "ok"))
	wrong := func(r *http.Request) { r.Header.Set("Authorization", "Bearer wrong") }
	for _, x := range []struct {
		age                        time.Duration
		known, unknown, open, lost int
	}{
		{0, 200, 401, 200, 404},
		{2400 * time.Millisecond, 200, 401, 200, 404},
		{2600 * time.Millisecond, 200, 503, 200, 503}, // a newer configuration may know them
		{4950 * time.Millisecond, 503, 503, 200, 503}, // the key may have been taken away
		{time.Hour, 503, 503, 200, 503},
	} {
		b.setUptime(time.Hour + x.age)
		b.expect(b.do(http.MethodPost, "/buy/1", nil), x.known, "")
		b.expect(b.do(http.MethodPost, "/buy/1", wrong), x.unknown, "")
		b.expect(b.do(http.MethodGet, "/public/1", wrong), x.open, "")
		b.expect(b.do(http.MethodGet, "/nowhere/", nil), x.lost, "")
	}
	b.expectRuns(s, 3)
}

func TestWithoutConfiguration(t *testing.T) {
	b := newBench(t)
	b.handler.Holder = freshness.New()
	got := b.do(http.MethodGet, "/read/1", nil)
	b.expect(got, 503, "")
	if got.header.Get("Retry-After") == "" {
		t.Error("the caller isn't told when to come back")
	}
}

func TestDrainingHandler(t *testing.T) {
	b := newBench(t)
	b.server("buy", "a", backend.Answer(200, "ok"))
	b.server("report", "a", backend.Stream(3, 0, 0, nil))
	now := time.Now()
	b.handler.Drain(now.Add(-time.Second), now.Add(time.Minute))
	got := b.do(http.MethodPost, "/buy/1", nil)
	b.expect(got, 200, "ok")
	if !got.closes {
		t.Error("the connection is kept")
	}
	b.expect(b.do(http.MethodPost, "/report/1", prompt), 503, "")
}

func TestBadInput(t *testing.T) {
	b := newBench(t)
	s := b.server("buy", "a", backend.Answer(200, "ok"))
	const head = "POST /buy/1 HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: i\r\nAuthorization: Bearer " + testKey + "\r\n"
	for name, x := range map[string]struct {
		text   string
		status string
	}{
		"two lengths":       {head + "Content-Length: 2\r\nContent-Length: 5\r\n\r\nhello", "400"},
		"length and chunks": {head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/2 HTTP/1.1\r\nHost: test.example\r\n\r\n", ""},
		"odd chunk":         {head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\nhello\r\n0\r\n\r\n", "400"},
		"no head":           {"nonsense\r\n\r\n", "400"},
		"too large":         {head + "Content-Length: 2000000\r\n\r\n", "413"},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", b.front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, x.text)
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			first := make([]byte, 64)
			n, _ := c.Read(first)
			if x.status != "" && !strings.HasPrefix(string(first[:n]), "HTTP/1.1 "+x.status) {
				t.Errorf("the answer begins with %q", first[:n])
			}
		})
	}
	for _, r := range s.Requests() {
		if r.Target != "/buy/1" || r.Body != "" {
			t.Errorf("a server got %s %q", r.Target, r.Body)
		}
	}
}

func TestRequestThatCrashesServers(t *testing.T) {
	b := newBench(t)
	for i := range 3 {
		s := b.server("buy", "a", backend.Answer(200, "ok"))
		s.Script(s.Die())
		b.expect(b.do(http.MethodPost, "/buy/poison", nil), 502, "")
		time.Sleep(1500 * time.Millisecond) // so that the deaths are apart
		if i < 2 {
			b.expect(b.do(http.MethodPost, "/buy/poison-not", nil), 503, "")
		}
	}
	s := b.server("buy", "a", backend.Answer(200, "ok"))
	got := b.do(http.MethodPost, "/buy/poison", nil)
	b.expect(got, 422, "")
	b.expectRuns(s, 0)
	b.expect(b.do(http.MethodPost, "/buy/1", nil), 200, "ok")
}

func TestOutageConvictsNobody(t *testing.T) {
	b := newBench(t)
	for range 4 {
		one, two := b.server("report", "a", backend.Answer(200, "")), b.server("report", "a", backend.Answer(200, ""))
		die := func(c *backend.Conn, r *http.Request, body []byte) bool {
			two.Close()
			return one.Die()(c, r, body)
		}
		one.Script(die)
		two.Script(func(c *backend.Conn, r *http.Request, body []byte) bool {
			one.Close()
			return two.Die()(c, r, body)
		})
		b.do(http.MethodPost, "/report/1", prompt)
		time.Sleep(1200 * time.Millisecond)
	}
	b.server("report", "a", backend.Stream(3, 0, 0, nil))
	b.expect(b.do(http.MethodPost, "/report/1", prompt), 200, events(1, 3))
}
