package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

// A purchase whose caller sends its body slowly is taken early and complete late.
func TestShutdownPassesOnNoRequestWhoseBodyCameTooLate(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	orders := s.addServer("s1", "orders", backend.ForPath("/buy/slow", backend.Delay(1500*time.Millisecond, backend.Respond(200, "ok")), backend.Respond(200, "ok")))
	s.addServer("s2", "llm", backend.Stream(10000, 0, 20*time.Millisecond, nil))
	n := s.nodes[0]
	s.configureTimeouts(n, 25*time.Second)
	for range 12 {
		s.awaitStatus(n, "/buy/1", "key-1", 200, testTimeout)
	}
	go s.keepConnection(n).send("/report/1", 25*time.Second) // keeps the node at work to the end
	time.Sleep(200 * time.Millisecond)
	stopped := time.Now().Add(200 * time.Millisecond)
	begins := []time.Duration{-100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second}
	ends := []time.Duration{time.Second, 2500 * time.Millisecond, 5 * time.Second, 6200 * time.Millisecond, 7300 * time.Millisecond, 7450 * time.Millisecond, 7600 * time.Millisecond, 9 * time.Second}
	var g sync.WaitGroup
	for _, begin := range begins {
		for _, end := range ends {
			if end < begin {
				continue
			}
			c := s.keepConnection(n)
			g.Go(func() {
				time.Sleep(time.Until(stopped.Add(begin)))
				c.begin("/buy/slow", 20*time.Second, 100)
				rest := time.AfterFunc(time.Until(stopped.Add(end)), func() { _, _ = io.WriteString(c.conn, strings.Repeat("b", 50)) })
				defer rest.Stop()
				name, got := fmt.Sprintf("a request sent from %v to %v", begin, end), c.response()
				c.check(t, orders, name, got)
				if got.err != nil || time.Since(stopped) > gracePeriod {
					t.Errorf("%s got %+v, error %v, after %v", name, got, got.err, time.Since(stopped))
				}
			})
		}
	}
	time.Sleep(time.Until(stopped))
	n.Terminate()
	g.Wait()
}

// A grace period may be shorter than the time in which the load balancer notices a stop.
func TestShortShutdownAcceptsNothingThatItCuts(t *testing.T) {
	t.Parallel()
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			s := start(t, 1)
			orders := s.addServer("s1", "orders", backend.Delay(200*time.Millisecond, backend.Respond(200, "ok")))
			llm := s.addServer("s2", "llm", backend.ForPath("/report/short", backend.Stream(10, 0, 20*time.Millisecond, nil), backend.Stream(10000, 0, 20*time.Millisecond, nil)))
			n := s.nodes[0]
			s.restartWithGrace(n, grace)
			for range 12 {
				s.awaitStatus(n, "/buy/1", "key-1", 200, testTimeout)
			}
			go s.keepConnection(n).send("/report/1", 25*time.Second) // keeps the node at work to the end
			time.Sleep(200 * time.Millisecond)
			stopped := time.Now().Add(100 * time.Millisecond)
			var g sync.WaitGroup
			for at := 50 * time.Millisecond; at < grace+100*time.Millisecond; at += 100 * time.Millisecond {
				for path, deadline := range map[string]time.Duration{"/buy/1": 4 * time.Second, "/buy/2": 500 * time.Millisecond, "/r1/1": 4 * time.Second, "/report/short": 20 * time.Second} {
					c := s.keepConnection(n)
					server := orders
					if path == "/report/short" {
						server = llm
					}
					g.Go(func() {
						time.Sleep(time.Until(stopped.Add(at)))
						c.begin(path, deadline, 0)
						c.check(t, server, fmt.Sprintf("%s sent at %v", path, at), c.response())
					})
				}
			}
			time.Sleep(time.Until(stopped))
			n.Terminate()
			select {
			case <-n.Exited():
			case <-time.After(time.Until(stopped.Add(grace))):
				n.Kill() // as the platform does
				if grace > time.Second {
					t.Error("the process did not exit within its grace period")
				}
			}
			g.Wait()
		})
	}
}

// Callers may read long responses slowly.
func TestShutdownSendsWholeResponsesToSlowReaders(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	const size = 4 << 20
	orders := s.addServer("s1", "orders", backend.ForPath("/buy/long", backend.Respond(200, strings.Repeat("r", size)), backend.ForPath("/buy/short", backend.Respond(200, strings.Repeat("r", 200<<10)), backend.Respond(200, "ok"))))
	n := s.nodes[0]
	s.awaitStatus(n, "/buy/1", "key-1", 200, testTimeout)
	stopped := time.Now().Add(200 * time.Millisecond)
	var g sync.WaitGroup
	for _, at := range []time.Duration{-50 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second} {
		for _, path := range []string{"/buy/long", "/buy/short"} {
			c := s.keepConnection(n)
			_ = c.conn.(*net.TCPConn).SetReadBuffer(16 << 10)
			c.reader = bufio.NewReaderSize(c.conn, 4<<10)
			g.Go(func() {
				time.Sleep(time.Until(stopped.Add(at)))
				c.begin(path, 2*time.Second, 0)
				c.checkID(t, orders, fmt.Sprintf("%s sent at %v", path, at), c.id(1), c.slowResponse(1700*time.Millisecond, size))
			})
		}
	}
	time.Sleep(time.Until(stopped))
	n.Terminate()
	g.Wait()
}

// An operator may change routes' timeouts, and the settings, while a node stops.
func TestChangesDuringShutdownLetItCutNothing(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	orders := s.addServer("s1", "orders", backend.ForPath("/buy/slow", backend.Delay(1500*time.Millisecond, backend.Respond(200, "ok")), backend.Respond(200, "ok")))
	s.addServer("s2", "llm", backend.Stream(10000, 0, 20*time.Millisecond, nil))
	n := s.nodes[0]
	for range 12 {
		s.awaitStatus(n, "/buy/1", "key-1", 200, testTimeout)
	}
	go s.keepConnection(n).send("/report/1", 25*time.Second)
	time.Sleep(200 * time.Millisecond)
	stopped := time.Now().Add(200 * time.Millisecond)
	var g sync.WaitGroup
	for at := 3 * time.Second; at < 8*time.Second; at += 200 * time.Millisecond {
		for _, path := range []string{"/buy/2", "/buy/slow", "/r1/1"} {
			c := s.keepConnection(n)
			g.Go(func() {
				time.Sleep(time.Until(stopped.Add(at)))
				c.begin(path, 20*time.Second, 0)
				c.check(t, orders, fmt.Sprintf("%s sent at %v", path, at), c.response())
			})
		}
	}
	time.Sleep(time.Until(stopped))
	n.Terminate()
	for i := range 6 {
		time.Sleep(time.Until(stopped.Add(time.Duration(i+1) * time.Second)))
		s.putTimeouts(2+i, time.Duration(1+4*(i%2))*time.Second)
		n.Signal(syscall.SIGHUP)
	}
	g.Wait()
}

// Callers may send a request before the response to the last one. It need not be answered, but then no server
// may get it.
func TestShutdownPassesOnNoPipelinedRequestThatItCuts(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	orders := s.addServer("s1", "orders", backend.ForPath("/buy/slow", backend.Delay(time.Second, backend.Respond(200, "ok")), backend.Respond(200, "ok")))
	s.addServer("s2", "llm", backend.Stream(10000, 0, 20*time.Millisecond, nil))
	n := s.nodes[0]
	for range 12 {
		s.awaitStatus(n, "/buy/1", "key-1", 200, testTimeout)
	}
	go s.keepConnection(n).send("/report/1", 25*time.Second)
	time.Sleep(200 * time.Millisecond)
	stopped := time.Now().Add(200 * time.Millisecond)
	var g sync.WaitGroup
	for _, at := range []time.Duration{-50 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
		for _, gap := range []time.Duration{0, 300 * time.Millisecond, 800 * time.Millisecond} {
			c := s.keepConnection(n)
			g.Go(func() {
				time.Sleep(time.Until(stopped.Add(at)))
				c.begin("/buy/slow", 4*time.Second, 0)
				time.Sleep(gap)
				c.begin("/buy/2", 4*time.Second, 0)
				for i := range 2 {
					name, got := fmt.Sprintf("request %d of two sent at %v, %v apart", i+1, at, gap), c.response()
					c.checkID(t, orders, name, c.id(i+1), got)
					if i == 0 && got.err != nil {
						t.Errorf("%s got no response: %v", name, got.err)
					}
				}
			})
		}
	}
	time.Sleep(time.Until(stopped))
	n.Terminate()
	g.Wait()
}

// A host that closes a connection on which it has not read a request resets it, and what it has sent
// may not reach the caller.
func TestPipelinedRequestCutsNoLongResponseDuringShutdown(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	const size = 2 << 20
	orders := s.addServer("s1", "orders", backend.ForPath("/buy/long", backend.Respond(200, strings.Repeat("r", size)), backend.Respond(200, "ok")))
	s.addServer("s2", "llm", backend.Stream(10000, 0, 20*time.Millisecond, nil))
	n := s.nodes[0]
	s.awaitStatus(n, "/buy/1", "key-1", 200, testTimeout)
	c := s.keepConnection(n)
	_ = c.conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	c.reader = bufio.NewReaderSize(c.conn, 4<<10)
	go s.keepConnection(n).send("/report/1", 25*time.Second)
	time.Sleep(200 * time.Millisecond)
	n.Terminate()
	time.Sleep(200 * time.Millisecond)
	c.begin("/buy/long", 4*time.Second, 0)
	time.Sleep(200 * time.Millisecond)
	c.begin("/buy/2", 4*time.Second, 0)
	c.checkID(t, orders, "the first request", c.id(1), c.slowResponse(1500*time.Millisecond, size))
	c.check(t, orders, "the second request", c.response())
}

// configureTimeouts gives the routes a timeout and waits until the node knows it.
func (s *system) configureTimeouts(n *node, timeout time.Duration) {
	s.t.Helper()
	s.putTimeouts(2, timeout)
	s.awaitStatus(n, "/r2/", "", 200, testTimeout)
}

// putTimeouts writes a configuration like that of configure with other timeouts.
func (s *system) putTimeouts(revision int, timeout time.Duration) {
	ms := timeout.Milliseconds()
	routes := []map[string]any{
		{"Name": "buy", "Host": "test.example", "Prefix": "/buy/", "Type": "unsafe", "TimeoutMs": ms, "GoalMs": 250, "Service": "orders", "MaxAttempts": 1},
		{"Name": "report", "Host": "test.example", "Prefix": "/report/", "Type": "stream", "Resumable": true, "TimeoutMs": 25000, "GoalMs": 4500, "Service": "llm", "MaxAttempts": 5},
		{"Name": "r", "Host": "test.example", "Prefix": "/r1/", "Type": "safe", "TimeoutMs": ms, "GoalMs": 250, "Service": "orders", "MaxAttempts": 2, "Public": true},
		{"Name": "r2", "Host": "test.example", "Prefix": fmt.Sprintf("/r%d/", revision), "Type": "safe", "TimeoutMs": ms, "GoalMs": 250, "Service": "orders", "MaxAttempts": 2, "Public": true},
	}
	value, err := json.Marshal(map[string]any{
		"Version": revision, "Routes": routes,
		"Services": []map[string]any{
			{"Name": "orders", "MaxConns": 400},
			{"Name": "llm", "MaxConns": 100, "Engine": map[string]any{"Slots": 12, "KvCapacity": 88000, "Backups": true, "HandleS": 4}},
		},
		"Limits": map[string]any{"MaxBodyBytes": 1 << 20}, "Tenants": []map[string]any{{"Name": "ndox", "ApiKeys": []string{"key-1", "key-2"}}},
	})
	if err != nil {
		s.t.Error(err)
		return
	}
	s.store.Put("op", "config", value)
}

// restartWithGrace starts a node again with another grace period.
func (s *system) restartWithGrace(n *node, grace time.Duration) {
	s.t.Helper()
	n.Kill()
	b, err := os.ReadFile(n.SettingsPath())
	if err != nil {
		s.t.Fatal(err)
	}
	b = bytes.Replace(b, []byte("grace = "+gracePeriod.String()), []byte("grace = "+grace.String()), 1)
	if err := os.WriteFile(n.SettingsPath(), b, 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := n.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.await(n.Name()+" is ready", testTimeout, n.Ready)
}

// begin sends a request with half of its body.
func (c *keptConnection) begin(path string, deadline time.Duration, length int) {
	c.sent++
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	_, _ = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Token-Usage: 800,90\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s",
		path, c.id(c.sent), deadline.Milliseconds(), length, strings.Repeat("a", length/2))
}

// id returns the ID of the i-th request of the connection.
func (c *keptConnection) id(i int) string { return fmt.Sprintf("%s-%d", c.conn.LocalAddr(), i) }

func (c *keptConnection) response() keptResult { return c.slowResponse(0, 0) }

// slowResponse reads a response of a size in the given time.
func (c *keptConnection) slowResponse(took time.Duration, size int) keptResult {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return keptResult{err: err}
	}
	const part = 64 << 10
	for err == nil {
		_, err = io.CopyN(io.Discard, r.Body, part)
		if size > 0 {
			time.Sleep(took * part / time.Duration(size))
		}
	}
	if err == io.EOF {
		err = nil
	}
	return keptResult{status: r.StatusCode, closes: r.Close, err: err}
}

// check checks the result of the connection's last request to a node that stops: what a server
// got has a complete response, and its caller learns how it ended, and nothing else got lost.
func (c *keptConnection) check(t *testing.T, server *backend.Server, name string, got keptResult) {
	t.Helper()
	c.checkID(t, server, name, c.id(c.sent), got)
}

func (c *keptConnection) checkID(t *testing.T, server *backend.Server, name, id string, got keptResult) {
	t.Helper()
	reached := false
	for _, r := range server.Requests() {
		reached = reached || r.Header.Get("X-Request-Id") == id
	}
	switch {
	case reached && (got.err != nil || got.status != 200 && got.status != 504):
		t.Errorf("%s: a server got it, and its caller got %+v, error %v", name, got, got.err)
	case !reached && got.err == nil && (got.status != 503 && got.status != 408 || !got.closes):
		t.Errorf("%s: no server got it, and its caller got %+v, error %v", name, got, got.err)
	}
}
