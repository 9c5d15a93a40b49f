package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	exportBytes    = 400 << 10 // of an answer
	exportTime     = 2400 * time.Millisecond
	exportInterval = 100 * time.Millisecond
	exportTimeout  = 4 * time.Second // of the route, and the client's deadline
	grace          = 8 * time.Second // GraceS
	lossSlack      = 200 * time.Millisecond
)

// drain stops an entry host by SIGTERM. Clients send one more request each on connections that
// they have kept, 5.2 to 5.4 s later.
func drain(s *system, trouble bool) bool {
	s.put("op", "config", map[string]any{
		"Version": 7,
		"Routes": []any{
			map[string]any{"Name": "export", "Host": hostName, "Prefix": "/export/", "Type": "safe", "TimeoutMs": exportTimeout.Milliseconds(), "GoalMs": exportTimeout.Milliseconds(), "Priority": 1, "Service": "desk", "MaxAttempts": 1},
			map[string]any{"Name": "book", "Host": hostName, "Prefix": "/book/", "Type": "unsafe", "TimeoutMs": exportTimeout.Milliseconds(), "GoalMs": 250, "Priority": 1, "Service": "desk", "MaxAttempts": 1},
			map[string]any{"Name": "report", "Host": hostName, "Prefix": "/report/", "Type": "stream", "TimeoutMs": 25000, "GoalMs": 4500, "Priority": 1, "Service": "desk", "MaxAttempts": 5, "Resumable": true, "GapGoalMs": 700},
		},
		"Services": []any{map[string]any{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 300}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "kiosk", "ApiKeys": []string{"key-1"}, "Priority": 1}},
	})
	a, b := s.addHost(1, "entry-a", "zone-a"), s.addHost(2, "entry-b", "zone-b")
	for i := range 2 {
		s.addServer(10+i, fmt.Sprintf("i-%d", i), "desk", "zone-a", func(x *run) {
			s.record.log("server %s runs %s %s, sent from %s", x.server.id, x.id, x.request.URL.Path, x.from)
			if strings.HasPrefix(x.request.URL.Path, "/report/") {
				serveSlowReport(x)
				return
			}
			if !strings.HasSuffix(x.request.URL.Path, "/long") {
				x.respond(http.StatusOK, x.sign("ok"), "ok")
				return
			}
			ok := serveExport(x)
			s.record.log("server %s has sent the whole answer to %s: %v", x.server.id, x.id, ok)
		})
	}
	s.awaitReady(a, b)
	var clients []*keptConn
	for i := range 12 {
		c := s.keep(a, fmt.Sprintf("client-%d", i))
		if x := c.send(http.MethodGet, "/export/1"); x.status != http.StatusOK {
			fail("the first request of a client got %d, %v", x.status, x.err)
		}
		clients = append(clients, c)
	}
	go func() { // keeps entry host a at work to the end of its drain
		x := s.send(a, request{id: "report-1", method: http.MethodPost, path: "/report/1", body: "{}", deadline: 25 * time.Second})
		s.record.log("client got for report-1: status %d, %d bytes, complete %v, %v", x.status, len(x.body), x.whole, x.err)
	}()
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	if trouble {
		s.record.say("entry host a gets SIGTERM")
		a.signal(syscall.SIGTERM)
		go func() {
			time.Sleep(time.Until(began.Add(grace)))
			a.signal(syscall.SIGKILL)
		}()
	}
	time.Sleep(time.Until(began.Add(5200 * time.Millisecond)))
	var lost atomic.Int64
	var g sync.WaitGroup
	for i, c := range clients {
		time.Sleep(15 * time.Millisecond)
		g.Go(func() {
			defer c.close()
			method, path := http.MethodGet, "/export/long"
			if i%2 == 1 {
				method, path = http.MethodPost, "/book/long"
			}
			sent := time.Now()
			x := c.send(method, path)
			s.record.log("%s sent %s %.3f s after the SIGTERM on its kept connection and got status %d, %d of %d bytes after %.3f s, complete %v, %v", c.name, path, sent.Sub(began).Seconds(), x.status, len(x.body), signedLength(x.signature), x.took.Seconds(), x.whole, x.err)
			if x.status == http.StatusOK && !x.whole && x.took > lossSlack && time.Since(began) < grace+time.Second {
				lost.Add(1)
				s.record.say("broken: %s: %s was read and passed on %.1f s after the SIGTERM, and its connection ended after %d of %d bytes, %.1f s after the SIGTERM", c.name, path, sent.Sub(began).Seconds(), len(x.body), signedLength(x.signature), time.Since(began).Seconds())
			}
		})
	}
	g.Wait()
	return lost.Load() > 0
}

// serveExport sends a long answer with its length. It reports whether all was sent.
func serveExport(x *run) bool {
	body := strings.Repeat("0123456789abcde\n", exportBytes/16)
	first := 300 << 10
	if !x.write(x.head(http.StatusOK, x.sign(body)) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body[:first]) {
		return false
	}
	steps := int(exportTime / exportInterval)
	for i := range steps {
		time.Sleep(exportInterval)
		from, to := first+(len(body)-first)*i/steps, first+(len(body)-first)*(i+1)/steps
		if !x.write(body[from:to]) {
			return false
		}
	}
	return true
}

// serveSlowReport serves a stream that lasts for 12 s.
func serveSlowReport(x *run) {
	x.request.Close = true
	after := 0
	_, _ = fmt.Sscanf(x.request.Header.Get("Last-Event-Id"), "%d", &after)
	x.write(x.head(http.StatusOK, x.sign("")+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"))
	for i := after; i < 60; i++ {
		time.Sleep(200 * time.Millisecond)
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, x.id)
		if !x.write(fmt.Sprintf("%x\r\n%s\r\n", len(e), e)) {
			return
		}
	}
	x.write("0\r\n\r\n")
}

// keptConn is a client's connection that it keeps for several requests.
type keptConn struct {
	name   string
	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

func (s *system) keep(h *host, name string) *keptConn {
	c, err := net.DialTimeout("tcp", h.callers(), time.Second)
	if err != nil {
		fail("%s: %v", name, err)
	}
	return &keptConn{name: name, conn: c, reader: bufio.NewReader(c)}
}

func (c *keptConn) close() { _ = c.conn.Close() }

func (c *keptConn) send(method, path string) answer {
	began := time.Now()
	c.sent++
	_ = c.conn.SetDeadline(began.Add(exportTimeout + 500*time.Millisecond))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s-%d\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n", method, path, hostName, c.name, c.sent, exportTimeout.Milliseconds())
	if method == http.MethodPost {
		text += "Content-Length: 2\r\n\r\n{}"
	} else {
		text += "\r\n"
	}
	if _, err := c.conn.Write([]byte(text)); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	b, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, signature: r.Header.Get("X-Server-Signature"), body: string(b), whole: err == nil, err: err, took: time.Since(began)}
}
