// Package relay tests how requests are passed on, with the platform's headers and
// scripted backend servers, in one process.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/core/catalog"
	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/core/repeat"
	"cicadabeam/io/http1"
	"cicadabeam/io/relay"
	"cicadabeam/platform"
	"cicadabeam/test/standin/backend"
)

// bench is a relay before scripted servers.
type bench struct {
	t       testing.TB
	holder  *freshness.Holder
	fleet   *fleet.Fleet
	handler *relay.Handler
	front   *httptest.Server
	mu      sync.Mutex
	uptime  time.Duration
	events  []string
}

func (b *bench) Record(event string, f relay.Fields) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, fmt.Sprint(event, " ", f))
}

func (b *bench) setUptime(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.uptime = d
}

const (
	testKey     = "key-of-ndox"
	testTimeout = 2 * time.Second
)

// route is a route of the test catalog: its prefix is its name.
func route(name string, k catalog.Kind, attempts int) catalog.Route {
	return catalog.Route{
		Name: name, Host: "test.example", Prefix: "/" + name + "/", Kind: k, Timeout: testTimeout, Goal: 250 * time.Millisecond,
		Attempts: attempts, Targets: []catalog.Target{{Service: name, Weight: 1}},
	}
}

func testCatalog(revision uint64) *catalog.Catalog {
	engine := &catalog.Engine{Slots: 12, MemoryTokens: 88000, Backups: true, BackupKept: 4 * time.Second}
	public := route("public", catalog.Idempotent, 2)
	public.Public = true
	return catalog.New(catalog.Spec{
		Revision: revision, Keyed: true, Organisations: map[string]catalog.Organisation{testKey: {Name: "ndox"}},
		Limits: catalog.Limits{BodyBytes: 1 << 20},
		Routes: []catalog.Route{
			public, route("read", catalog.Idempotent, 2), route("buy", catalog.AtMostOnce, 1),
			route("report", catalog.ResumableStream, 5), route("once", catalog.PlainStream, 5),
		},
		Services: []catalog.Service{{Name: "public"}, {Name: "read"}, {Name: "buy"}, {Name: "report", Engine: engine}, {Name: "once", Engine: engine}},
	})
}

func newBench(t testing.TB) *bench {
	t.Helper()
	b := &bench{t: t, holder: freshness.New(), uptime: time.Hour}
	b.fleet = fleet.New(fleet.Place{DataCentre: "a", Regions: map[string]string{"a": "north", "b": "north"}})
	b.handler = relay.New(relay.Parts{
		Dialect: platform.Dialect{}, Holder: b.holder, Fleet: b.fleet, Prompts: fleet.NewPrompts(), Pool: http1.NewPool(), Recorder: b,
		Bounds: relay.Bounds{Apply: 2500 * time.Millisecond, Revoke: 5 * time.Second, Repeat: repeat.Bound{Ratio: 0.8, Extra: 150, Window: 10 * time.Second}},
		Uptime: func() time.Duration { b.mu.Lock(); defer b.mu.Unlock(); return b.uptime },
		Nodes:  func() int { return 1 }, Placed: func() {},
	})
	b.front = httptest.NewServer(b.handler)
	t.Cleanup(func() {
		b.front.Close()
		if t.Failed() {
			b.mu.Lock()
			defer b.mu.Unlock()
			t.Log(strings.Join(b.events, "\n"))
		}
	})
	b.holder.Prove(testCatalog(7), time.Hour)
	return b
}

// server starts a scripted server of a service in a data centre.
func (b *bench) server(service, dataCentre string, steps ...backend.Step) *backend.Server {
	b.t.Helper()
	s, err := backend.Start("127.0.0.1:0", steps...)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(s.Close)
	b.register(s.Address(), service, dataCentre, s.Address())
	return s
}

func (b *bench) register(id, service, dataCentre, address string) {
	b.fleet.Set(fleet.Server{ID: id, Service: service, Address: address, DataCentre: dataCentre, Slots: 6})
}

type result struct {
	status int
	header http.Header
	body   string
	closes bool // the connection isn't kept
	err    error
}

func (b *bench) request(method, path string, change func(r *http.Request)) *http.Request {
	b.t.Helper()
	r, err := http.NewRequest(method, b.front.URL+path, http.NoBody)
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = "test.example"
	r.Header.Set("X-Request-Id", fmt.Sprintf("id-%d", time.Now().UnixNano()))
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Authorization", "Bearer "+testKey)
	if change != nil {
		change(r)
	}
	return r
}

func (b *bench) do(method, path string, change func(r *http.Request)) result {
	b.t.Helper()
	return perform(b.request(method, path, change))
}

func perform(r *http.Request) result {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(body), closes: response.Close, err: err}
}

func prompt(r *http.Request) { r.Header.Set("X-Token-Usage", "8000,900") }

func (b *bench) expect(got result, status int, body string) {
	b.t.Helper()
	if got.err != nil || got.status != status || (body != "" && got.body != body) {
		b.t.Errorf("status %d, body %q, %v; not status %d, body %q", got.status, got.body, got.err, status, body)
	}
}

func (b *bench) expectRuns(s *backend.Server, n int) {
	b.t.Helper()
	if got := len(s.Requests()); got != n {
		b.t.Errorf("%d requests reached the server, not %d", got, n)
	}
}

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

func TestCallerWhoLeavesEndsTheWork(t *testing.T) {
	for name, path := range map[string]string{"read": "/read/1", "stream": "/report/1"} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			left := make(chan struct{})
			step := func(c *backend.Conn, _ *http.Request, _ []byte) bool {
				<-c.AwaitClose()
				close(left)
				return false
			}
			b.server(strings.Split(path, "/")[1], "a", step)
			ctx, cancel := context.WithCancel(context.Background())
			go func() { time.Sleep(60 * time.Millisecond); cancel() }()
			perform(b.request(http.MethodPost, path, prompt).WithContext(ctx))
			select {
			case <-left:
			case <-time.After(500 * time.Millisecond):
				t.Error("the server still works half a second after the caller has left")
			}
		})
	}
}

func events(from, to int) string {
	var s strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: piece-%d\n\n", i, i)
	}
	return s.String()
}

func TestStreamGoesOnAfterLoss(t *testing.T) {
	const last = 20
	ends := map[string]backend.Step{
		"closed": backend.Drop(), "silent": backend.Silent(), "cut within an event": backend.Raw("20\r\nid: 9\nda", false),
		"garbage": backend.Raw("no chunk at all\r\n", false),
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			first := b.server("report", "a", backend.Stream(last, 8, 5*time.Millisecond, end))
			second := b.server("report", "b", backend.Stream(last, 0, 5*time.Millisecond, nil))
			started := time.Now()
			got := b.do(http.MethodPost, "/report/1", prompt)
			b.expect(got, 200, events(1, last))
			if got.header.Get("X-Server-Signature") != "signed" {
				t.Error("the first server's headers are missing")
			}
			if d := time.Since(started); d > time.Second {
				t.Errorf("the stream took %v", d)
			}
			backup, copied := first.Requests()[0].Header.Get("X-Kv-Backup"), second.Requests()[0].Header
			if backup != second.Address() {
				t.Errorf("the copy is kept at %q", backup)
			}
			if from := copied.Get("Kv-From"); from != second.Address()+"/"+copied.Get("X-Request-Id") || copied.Get("Last-Event-Id") != "8" {
				t.Errorf("the stream goes on from %q after event %q", from, copied.Get("Last-Event-Id"))
			}
		})
	}
}

// Where the copy is gone, the stream goes on by reading the prompt again.
func TestStreamGoesOnWithoutCopy(t *testing.T) {
	b := newBench(t)
	b.server("report", "a", backend.Stream(10, 4, 0, backend.Drop()))
	second := b.server("report", "b", backend.Refuse(), backend.Stream(10, 0, 0, nil))
	b.expect(b.do(http.MethodPost, "/report/1", prompt), 200, events(1, 10))
	if n := len(second.Requests()); n != 2 || second.Requests()[1].Header.Get("Kv-From") != "" {
		t.Errorf("%d requests reached the second server", n)
	}
}

func TestStreamThatRepeatsOrSkipsEvents(t *testing.T) {
	b := newBench(t)
	repeats := func(c *backend.Conn, r *http.Request, body []byte) bool {
		r.Header.Set("Last-Event-Id", "2") // from event 3 again, though the caller has 5
		return backend.Stream(10, 0, 0, nil)(c, r, body)
	}
	b.server("report", "a", backend.Stream(10, 5, 0, backend.Drop()))
	b.server("report", "b", repeats)
	b.expect(b.do(http.MethodPost, "/report/1", prompt), 200, events(1, 10))

	b = newBench(t)
	skips := func(c *backend.Conn, r *http.Request, body []byte) bool {
		r.Header.Set("Last-Event-Id", "7")
		return backend.Stream(10, 0, 0, nil)(c, r, body)
	}
	b.server("report", "a", backend.Stream(10, 5, 0, backend.Drop()))
	b.server("report", "b", skips)
	if got := b.do(http.MethodPost, "/report/1", prompt); got.err == nil {
		t.Errorf("a stream that lacks events looks whole: %q", got.body)
	}
}

// A stream that must not run twice ends broken, so that the caller sees it.
func TestPlainStreamIsNotRunAgain(t *testing.T) {
	b := newBench(t)
	b.server("once", "a", backend.Stream(10, 5, 0, backend.Drop()))
	second := b.server("once", "b", backend.Stream(10, 0, 0, nil))
	got := b.do(http.MethodPost, "/once/1", prompt)
	if got.err == nil || got.body != events(1, 5) {
		t.Errorf("the stream ends as %q, %v", got.body, got.err)
	}
	b.expectRuns(second, 0)
}

func TestStreamIsResumedByCaller(t *testing.T) {
	b := newBench(t)
	b.server("report", "a", backend.Stream(10, 0, 0, nil))
	got := b.do(http.MethodPost, "/report/1", func(r *http.Request) { prompt(r); r.Header.Set("Last-Event-Id", "6") })
	b.expect(got, 200, events(7, 10))
}

// A server that is gone without a word is noticed while a first event is awaited.
func TestSilentEngineBeforeFirstEvent(t *testing.T) {
	b := newBench(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { // takes one connection and no further ones
		c, err := l.Accept()
		if err == nil {
			_ = l.Close()
			time.Sleep(10 * time.Second)
			_ = c.Close()
		}
	}()
	b.register("gone", "report", "a", l.Addr().String())
	b.server("report", "b", backend.After(0, backend.Stream(5, 0, 0, nil)))
	started := time.Now()
	got := b.do(http.MethodPost, "/report/1", func(r *http.Request) { r.Header.Set("X-Token-Usage", "800,90") })
	b.expect(got, 200, events(1, 5))
	if d := time.Since(started); d > 1500*time.Millisecond {
		t.Errorf("the stream took %v", d)
	}
}

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

// Servers of a data centre that die at once are no sign against what they ran.
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
