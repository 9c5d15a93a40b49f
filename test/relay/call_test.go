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

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	b := newBench(t)
	s := b.server("buy", "a", backend.Answer(200, "bought"))
	got := b.do(http.MethodPost, "/buy/17?a=b%20c", func(r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader("amount=5"))
		r.Header.Set("X-Custom", "kept")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "not kept")
	})
	b.expect(got, 200, "bought")
	if got.header.Get("X-Server-Signature") != "signed" {
		t.Error("the signature is missing")
	}
	x := s.Requests()[0]
	if x.Method != "POST" || x.Target != "/buy/17?a=b%20c" || x.Host != "test.example" || x.Body != "amount=5" {
		t.Errorf("the request became %+v", x)
	}
	for name, want := range map[string]string{
		"X-Custom": "kept", "X-Hop": "", "Authorization": "", "X-Tenant": "ndox", "X-Expect-Instance": s.Address(), "User-Agent": "Go-http-client/1.1",
	} {
		if got := x.Header.Get(name); got != want {
			t.Errorf("%s is %q, not %q", name, got, want)
		}
	}
}

func TestCallerCannotSetSystemHeaders(t *testing.T) {
	b := newBench(t)
	s := b.server("public", "a", backend.Answer(200, "ok"))
	forged := []string{"X-Tenant", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Priority-Class"}
	b.do(http.MethodGet, "/public/1", func(r *http.Request) {
		for _, name := range forged {
			r.Header.Set(name, "forged")
		}
		r.Header.Set("X-Expect-Instance", "forged")
	})
	for _, name := range forged {
		if v := s.Requests()[0].Header.Get(name); v != "" {
			t.Errorf("%s reached the server as %q", name, v)
		}
	}
	if v := s.Requests()[0].Header.Get("X-Expect-Instance"); v != s.Address() {
		t.Errorf("the expected instance is %q", v)
	}
}

func TestDeadlineIsWhatIsLeft(t *testing.T) {
	b := newBench(t)
	slow := b.server("read", "a", backend.After(300*time.Millisecond, backend.Answer(500, "")))
	fast := b.server("read", "b", backend.Answer(200, "ok"))
	b.expect(b.do(http.MethodGet, "/read/1", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "900") }), 200, "ok")
	left := func(s *backend.Server) int {
		n := 0
		_, _ = fmt.Sscan(s.Requests()[0].Header.Get("X-Deadline-Ms"), &n)
		return n
	}
	if n := left(slow); n > 900 || n < 600 {
		t.Errorf("the first server has %d ms", n)
	}
	if n := left(fast); n > 800 || n < 300 {
		t.Errorf("the second server, 125 ms or more later, has %d ms", n)
	}
}

// What happens to a request of a kind when a server behaves in a way: the status, and
// how many requests reach the two servers.
func TestWhetherItRan(t *testing.T) {
	whole := backend.Answer(200, "ok")
	cases := []struct {
		name      string
		step      backend.Step
		read, buy int // status
		runs      int // of the purchase
	}{
		{"refused", backend.Refuse(), 200, 503, 1},
		{"another server", backend.Moved(), 200, 200, 1},
		{"dropped", backend.Drop(), 200, 502, 1},
		{"failed", backend.Answer(500, "broken"), 200, 500, 1},
		{"says 503 itself", backend.Answer(503, ""), 200, 502, 1},
		{"says 429 itself", backend.Answer(429, ""), 200, 502, 1},
		{"no answer in the protocol", backend.Raw("garbage\r\n\r\n", false), 200, 502, 1},
		{"without signature", backend.Raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", true), 200, 502, 1},
		{"body cut", backend.Raw("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 20\r\n\r\nno", false), 200, 502, 1},
		{"chunks cut", backend.Raw("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n", false), 200, 502, 1},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			b := newBench(t)
			b.server("read", "a", x.step)
			b.server("read", "b", whole)
			b.expect(b.do(http.MethodGet, "/read/1", nil), x.read, "ok")
			first := b.server("buy", "a", x.step)
			second := b.server("buy", "b", whole)
			got := b.do(http.MethodPost, "/buy/1", nil)
			b.expect(got, x.buy, "")
			b.expectRuns(first, 1)
			if x.buy != 200 {
				b.expectRuns(second, 0)
			}
			if x.buy == 503 && got.header.Get("Retry-After") == "" {
				t.Error("the caller isn't told when to come back")
			}
			if x.buy == 502 && got.header.Get("X-Server-Signature") != "" {
				t.Error("an answer of the system's own is signed")
			}
		})
	}
}

func TestUnreachableServerIsPassedOver(t *testing.T) {
	b := newBench(t)
	b.register("dead", "buy", "a", closedPort(t))
	s := b.server("buy", "b", backend.Answer(200, "ok"))
	b.expect(b.do(http.MethodPost, "/buy/1", nil), 200, "ok")
	b.expectRuns(s, 1)
}

func TestNoServerMeansNotRun(t *testing.T) {
	b := newBench(t)
	b.register("dead", "buy", "a", closedPort(t))
	started := time.Now()
	got := b.do(http.MethodPost, "/buy/1", nil)
	b.expect(got, 503, "")
	if got.header.Get("Retry-After") == "" || time.Since(started) > time.Second {
		t.Errorf("the refusal took %v, Retry-After %q", time.Since(started), got.header.Get("Retry-After"))
	}
}

func closedPort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// A purchase under way at the time-out of its route gets its final answer at once,
// and not one that says that it did not run.
func TestTimeoutOfRunningPurchase(t *testing.T) {
	b := newBench(t)
	b.server("buy", "a", backend.Silent())
	started := time.Now()
	got := b.do(http.MethodPost, "/buy/1", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "10000") })
	b.expect(got, 504, "")
	if d := time.Since(started); d < testTimeout-10*time.Millisecond || d > testTimeout+250*time.Millisecond {
		t.Errorf("the final answer came after %v", d)
	}
}

func TestSilentReadIsAskedElsewhere(t *testing.T) {
	b := newBench(t)
	b.server("read", "a", backend.Silent())
	b.server("read", "b", backend.Answer(200, "ok"))
	started := time.Now()
	b.expect(b.do(http.MethodGet, "/read/1", nil), 200, "ok")
	if d := time.Since(started); d > 400*time.Millisecond {
		t.Errorf("the answer took %v", d)
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	b := newBench(t)
	var all []*backend.Server
	for range 4 {
		all = append(all, b.server("read", "a", backend.Answer(500, "broken")))
	}
	b.expect(b.do(http.MethodGet, "/read/1", nil), 500, "broken")
	n := 0
	for _, s := range all {
		n += len(s.Requests())
	}
	if n != 2 {
		t.Errorf("the request reached %d servers, not 2", n)
	}
}

// Late and surplus answers on a connection belong to nobody.
func TestAnswersToOtherRequests(t *testing.T) {
	b := newBench(t)
	const late = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
	s := b.server("buy", "a", backend.Then(backend.Answer(200, "one"), late), backend.Answer(200, "two"),
		func(c *backend.Conn, r *http.Request, body []byte) bool {
			_, _ = io.WriteString(c, late)
			return backend.Answer(200, "three")(c, r, body)
		}, backend.Answer(200, "four"))
	for _, want := range []string{"one", "two", "three", "four"} {
		b.expect(b.do(http.MethodPost, "/buy/1", nil), 200, want)
		time.Sleep(20 * time.Millisecond)
	}
	b.expectRuns(s, 4)
	if s.Opened() < 2 {
		t.Error("a connection with surplus bytes was used again")
	}
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	b := newBench(t)
	s := b.server("buy", "a", backend.Answer(200, "ok"))
	for range 5 {
		b.expect(b.do(http.MethodPost, "/buy/1", nil), 200, "ok")
	}
	if s.Opened() != 1 {
		t.Errorf("%d connections were made", s.Opened())
	}
	s.CloseConnections()
	time.Sleep(20 * time.Millisecond)
	b.expect(b.do(http.MethodPost, "/buy/1", nil), 200, "ok")
	b.expectRuns(s, 6)
}

// A server may answer before it has read a long body and read on later. It gets
// nothing else where the rest of the body is due.
func TestEarlyAnswerToLongBody(t *testing.T) {
	b := newBench(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	wrong := make(chan string, 1)
	go func() { wrong <- answerEarly(l) }()
	b.register("early", "buy", "a", l.Addr().String())
	body := strings.Repeat("x", 1<<20)
	b.expect(b.do(http.MethodPost, "/buy/1", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}), 200, "early")
	b.do(http.MethodPost, "/buy/2", nil)
	select {
	case w := <-wrong:
		t.Errorf("the server got %q where the body is due", w)
	case <-time.After(300 * time.Millisecond):
	}
}

// answerEarly answers a request before it has read its body, reads on, and returns
// what is no byte of the body.
func answerEarly(l net.Listener) string {
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
	if due := body[:min(len(body), 1<<20)]; strings.Trim(due, "x") != "" {
		return strings.Trim(due, "x")
	}
	select {}
}

// Where the copy is gone, the stream goes on by reading the prompt again.
// A stream that must not run twice ends broken, so that the caller sees it.
// A server that is gone without a word is noticed while a first event is awaited.
// The caller's connection is cut when a long answer breaks off, so that a part can't
// be taken for the whole.
func TestLongAnswerThatBreaksOff(t *testing.T) {
	b := newBench(t)
	const n = 600 << 10
	b.server("buy", "a", func(c *backend.Conn, r *http.Request, _ []byte) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("X-Request-Id"), n)
		_, _ = io.WriteString(c, strings.Repeat("x", n/2))
		return false
	})
	got := b.do(http.MethodPost, "/buy/1", nil)
	if !errors.Is(got.err, io.ErrUnexpectedEOF) {
		t.Errorf("half an answer ends as %v", got.err)
	}
	b = newBench(t)
	b.server("buy", "a", backend.Answer(200, strings.Repeat("x", n)))
	if got := b.do(http.MethodPost, "/buy/1", nil); got.err != nil || len(got.body) != n {
		t.Errorf("a long answer has %d bytes, %v", len(got.body), got.err)
	}
}

// A request that crashes each server that runs it doesn't reach a fourth one. Others
// that ran there are served.
// Servers of a data centre that die at once are no sign against what they ran.

// Requests that are read right after the process stood still may have waited since
// then; their callers wait no longer for that.
func TestRequestsThatWaitedWhileTheProcessStoodStill(t *testing.T) {
	b := newBench(t)
	s := b.server("buy", "a", backend.Answer(200, "ok"))
	b.pulse.Tick(time.Hour)
	b.setUptime(time.Hour + 800*time.Millisecond)
	b.expect(b.do(http.MethodPost, "/buy/1", nil), 200, "ok")
	left, err := strconv.Atoi(s.Requests()[0].Header.Get("X-Deadline-Ms"))
	if err != nil || left > 1200 || left < 800 {
		t.Errorf("the server has %d ms of 2,000, 800 of which may be over, %v", left, err)
	}
	b.pulse.Tick(time.Hour + 2*time.Second)
	b.setUptime(time.Hour + 5*time.Second)
	got := b.do(http.MethodPost, "/buy/1", nil)
	b.expect(got, 503, "")
	if got.header.Get("Retry-After") == "" {
		t.Error("the caller isn't told when to come back")
	}
	b.expectRuns(s, 1)
}
