package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
	"cicadabeam/test/standin/store"
)

// A shutdown lets requests complete that can end in time, and itself ends in time.
func TestShutdownCompletesRequests(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	s.addServer("s1", "orders", backend.Delay(1500*time.Millisecond, backend.Respond(200, "ok")))
	s.addServer("s2", "llm", backend.Stream(40, 0, 50*time.Millisecond, nil))
	n := s.nodes[0]
	results := make(chan int, 2)
	s.await("servers are known", testTimeout, func() bool { status, _ := n.send("/r1/", ""); return status == 200 })
	for _, path := range []string{"/buy/1", "/report/1"} {
		go func() { status, _ := n.send(path, "key-1"); results <- status }()
	}
	time.Sleep(200 * time.Millisecond)
	stopped := time.Now()
	n.Terminate()
	s.await("not ready", time.Second, func() bool { return !n.Ready() })
	for range 2 {
		if status := <-results; status != 200 {
			t.Errorf("a request in progress ended with status %d", status)
		}
	}
	if status, _ := n.send("/r1/", ""); status != 200 {
		t.Errorf("a request sent before the load balancer noticed got status %d", status)
	}
	select {
	case <-n.Exited():
	case <-time.After(gracePeriod - time.Since(stopped)):
		t.Fatal("the process did not exit within its grace period")
	}
	if n.ExitCode() != 0 {
		t.Errorf("got exit code %d, want 0", n.ExitCode())
	}
}

// A stream that outlasts the shutdown is truncated, so that its caller can resume it on
// another node.
func TestShutdownTruncatesLongStreams(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	s.addServer("s1", "llm", backend.Stream(10000, 0, 20*time.Millisecond, nil))
	n := s.nodes[0]
	s.await("the server is known", testTimeout, func() bool {
		c, err := net.Dial("tcp", n.CallerAddress())
		if err != nil {
			return false
		}
		_ = c.Close()
		return true
	})
	time.Sleep(time.Second)
	done := make(chan int, 1)
	go func() { status, _ := n.send("/report/1", "key-1"); done <- status }()
	time.Sleep(200 * time.Millisecond)
	n.Terminate()
	select {
	case <-n.Exited():
	case <-time.After(gracePeriod):
		t.Fatal("the process did not exit within its grace period")
	}
	if status := <-done; status != 0 {
		t.Errorf("a truncated stream looks complete: status %d", status)
	}
}

// Signals come in series, from the platform and from operators at the same time.
func TestSeriesOfSignalsCutsNoRequest(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	s.addServer("s1", "orders", backend.ForPath("/buy/1", backend.Delay(1500*time.Millisecond, backend.Respond(200, "ok")), backend.Respond(200, "ok")))
	n := s.nodes[0]
	s.awaitStatus(n, "/buy/2", "key-1", 200, testTimeout)
	result := make(chan int, 1)
	go func() { status, _ := n.send("/buy/1", "key-1"); result <- status }()
	time.Sleep(200 * time.Millisecond)
	for range 3 {
		for range 20 {
			n.Signal(syscall.SIGHUP)
		}
		n.Terminate()
		time.Sleep(100 * time.Millisecond)
	}
	s.await("not ready", time.Second, func() bool { return !n.Ready() })
	if status := <-result; status != 200 {
		t.Errorf("a request in progress ended with status %d, want 200", status)
	}
}

// A request that was accepted and does not end before the node stops gets an error response. One that
// comes later and may not end in time is refused at once, and its caller sent elsewhere.
func TestShutdownAnswersRequestsThatCannotFinish(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	orders := s.addServer("s1", "orders", backend.ForPath("/buy/1", backend.NoResponse(), backend.Respond(200, "ok")))
	s.addServer("s2", "llm", backend.ForPath("/report/1", backend.NoResponse(), backend.Stream(1, 0, 0, nil)))
	n := s.nodes[0]
	s.awaitStatus(n, "/buy/2", "key-1", 200, testTimeout)
	s.awaitStatus(n, "/report/2", "key-1", 200, testTimeout)
	stream, kept, refused := s.keepConnection(n), s.keepConnection(n), s.keepConnection(n)
	if got := kept.send("/buy/2", 20*time.Second); got.status != 200 {
		t.Fatalf("the first request of a connection got status %d", got.status)
	}
	if got := refused.send("/buy/2", 20*time.Second); got.status != 200 {
		t.Fatalf("the first request of a connection got status %d", got.status)
	}
	stopped := time.Now()
	n.Terminate()
	time.Sleep(2500 * time.Millisecond)
	cut, timedOut := make(chan keptResult, 1), make(chan keptResult, 1)
	go func() { cut <- stream.send("/report/1", 20*time.Second) }()
	time.Sleep(700 * time.Millisecond)
	go func() { timedOut <- kept.send("/buy/1", 20*time.Second) }() // its route's timeout passes just before the end
	time.Sleep(1800 * time.Millisecond)
	before := len(orders.Requests())
	began := time.Now()
	got := refused.send("/buy/1", 20*time.Second)
	if got.status != 503 || !got.closes || got.retryAfter != "0.05" || time.Since(began) > time.Second {
		t.Errorf("a request that may not end in time got %+v after %v, want status 503 at once", got, time.Since(began))
	}
	if len(orders.Requests()) != before {
		t.Error("a request that was refused reached a server")
	}
	if got := <-timedOut; got.status != 504 || got.err != nil {
		t.Errorf("an accepted request without a response got %+v, want status 504", got)
	}
	if got := <-cut; got.status != 502 || got.err != nil {
		t.Errorf("a request without a response when the node stopped got %+v, want status 502", got)
	}
	select {
	case <-n.Exited():
	case <-time.After(gracePeriod - time.Since(stopped)):
		t.Fatal("the process did not exit within its grace period")
	}
}

// Callers send one more request on connections that they have kept while the node stops.
func TestShutdownCutsNoLongResponseItHasAccepted(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	s.addServer("s1", "orders", backend.ForPath("/buy/long", slowLongResponse(2400*time.Millisecond), backend.Respond(200, "ok")))
	s.addServer("s2", "llm", backend.ForPath("/report/1", backend.Stream(10000, 0, 20*time.Millisecond, nil), backend.Stream(1, 0, 0, nil)))
	n := s.nodes[0]
	s.awaitStatus(n, "/buy/1", "key-1", 200, testTimeout)
	s.awaitStatus(n, "/report/2", "key-1", 200, testTimeout)
	after := []time.Duration{0, 2 * time.Second, 3200 * time.Millisecond, 4 * time.Second, 4500 * time.Millisecond, 5200 * time.Millisecond, 5500 * time.Millisecond, 6 * time.Second}
	conns := make([]*keptConnection, len(after))
	for i := range conns {
		conns[i] = s.keepConnection(n)
		if got := conns[i].send("/buy/1", 4*time.Second); got.status != 200 {
			t.Fatalf("the first request of a connection got status %d", got.status)
		}
	}
	stream := s.keepConnection(n)
	go stream.send("/report/1", 25*time.Second) // keeps the node at work to the end
	time.Sleep(200 * time.Millisecond)
	stopped := time.Now()
	n.Terminate()
	results := make([]keptResult, len(conns))
	var g sync.WaitGroup
	for i, c := range conns {
		g.Go(func() {
			time.Sleep(time.Until(stopped.Add(after[i])))
			results[i] = c.send("/buy/long", 4*time.Second)
		})
	}
	g.Wait()
	for i, got := range results {
		switch {
		case got.err != nil:
			t.Errorf("the connection of a request sent %v after the stop began ended early: %+v, %v", after[i], got, got.err)
		case after[i] <= 3200*time.Millisecond && got.status != 200, got.status != 200 && got.status != 503, got.status == 503 && !got.closes:
			t.Errorf("a request sent %v after the stop began got %+v", after[i], got)
		}
	}
}

// slowLongResponse responds with more than an entry host buffers, in the given time.
func slowLongResponse(took time.Duration) backend.Step {
	const parts = 100
	part := strings.Repeat("0123456789abcde\n", 256)
	return func(c *backend.Conn, r *http.Request, _ []byte) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("X-Request-Id"), parts*len(part))
		for i := 0; i < parts && err == nil; i++ {
			time.Sleep(took / parts)
			_, err = io.WriteString(c, part)
		}
		return err == nil
	}
}

// keptConnection is a caller's connection that it keeps for several requests.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

func (s *system) keepConnection(n *node) *keptConnection {
	s.t.Helper()
	c, err := net.Dial("tcp", n.CallerAddress())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return &keptConnection{conn: c, reader: bufio.NewReader(c)}
}

type keptResult struct {
	status     int
	retryAfter string
	closes     bool
	err        error // the response is not complete
}

func (c *keptConnection) send(path string, deadline time.Duration) keptResult {
	c.sent++
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	_, _ = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: %s-%d\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n",
		path, c.conn.LocalAddr(), c.sent, deadline.Milliseconds())
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return keptResult{err: err}
	}
	_, err = io.ReadAll(r.Body)
	return keptResult{status: r.StatusCode, retryAfter: r.Header.Get("Retry-After"), closes: r.Close, err: err}
}

// A node that starts while the store does not respond has no state. It refuses all requests
// with 503, is not ready, and serves once the store responds.
func TestRestartWithoutStore(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	s.addServer("s1", "orders", backend.Respond(200, "ok"))
	n := s.nodes[0]
	s.awaitStatus(n, "/r1/", "", 200, testTimeout)
	s.store.SetMode(store.NoResponse)
	n.Kill()
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	s.await("the node responds", testTimeout, func() bool { status, _ := n.send("/r1/", ""); return status != 0 })
	for _, path := range []string{"/r1/", "/buy/1", "/nowhere/"} {
		if status, _ := n.send(path, "key-1"); status != 503 {
			t.Errorf("a node without state responds with %d to %s", status, path)
		}
	}
	if n.Ready() {
		t.Error("a node without state is ready")
	}
	s.store.SetMode(store.Healthy)
	s.awaitStatus(n, "/buy/1", "key-1", 200, 12*time.Second)
}

// Requests are not delayed if nobody reads the standard output of the node.
func TestBlockedStandardOutput(t *testing.T) {
	s := start(t, 1)
	s.addServer("s1", "orders", backend.Respond(200, "ok"))
	n := s.nodes[0]
	n.Kill()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reader.Close() }()
	c := exec.Command(binary, "entry", "--settings", n.SettingsPath())
	c.Stdout = writer
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	defer func() { _ = c.Process.Signal(syscall.SIGKILL); _ = c.Wait() }()
	s.awaitStatus(n, "/r1/", "", 200, testTimeout)
	for range 1500 { // writes several hundred kilobytes of log lines; a pipe holds 64 KiB
		began := time.Now()
		if status, _ := n.send("/buy/1", "key-1"); status != 200 || time.Since(began) > time.Second {
			t.Fatalf("got status %d after %v, want 200 within 1 s", status, time.Since(began))
		}
	}
}

// Invalid settings stop the start with exit code 3, and every problem is reported.
func TestInvalidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	if err := os.WriteFile(path, []byte("[node]\nname = a\ndata-center = x\n[bounds]\ngrace = soon\n[platform]\naddress = nowhere\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	b, err := exec.Command(binary, "entry", "--settings", path).CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 3 {
		t.Errorf("the process exited with %v, want exit code 3", err)
	}
	for _, want := range []string{"data-center: is an unknown key (did you mean data-centre?)", "data-centre: is missing", "grace: is \"soon\"", "address: is \"nowhere\"", "callers: is \"\""} {
		if !strings.Contains(string(b), want) {
			t.Errorf("%q is missing in the output:\n%s", want, b)
		}
	}
}

// A reload of invalid settings is rejected and logged, and the node continues to serve.
func TestReloadOfInvalidSettings(t *testing.T) {
	s := start(t, 1)
	s.addServer("s1", "orders", backend.Respond(200, "ok"))
	n := s.nodes[0]
	s.awaitStatus(n, "/r1/", "", 200, testTimeout)
	if err := os.WriteFile(n.SettingsPath(), []byte("[node]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	n.Signal(syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	s.awaitStatus(n, "/buy/1", "key-1", 200, time.Second)
	b, err := os.ReadFile(n.OutputPath())
	if err != nil || !strings.Contains(string(b), `message="settings rejected"`) {
		t.Errorf("the rejected settings are not logged, read error %v", err)
	}
}
