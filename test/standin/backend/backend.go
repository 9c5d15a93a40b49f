// Package backend is a scripted backend server: each request is answered by the next
// step of a script, byte by byte as the script says. It counts what reached it.
//
// # Usage
//
//	s, err := backend.Start("127.0.0.1:0", backend.Answer(200, "hello"))
//	defer s.Close()
//	s.Requests()
package backend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Step answers one request on a connection. It returns whether the connection goes on.
type Step func(c *Conn, r *http.Request, body []byte) bool

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	// Closed is closed when the caller has closed the connection. It works only after
	// AwaitClose was called.
	closed chan struct{}
}

// AwaitClose returns a channel that is closed when the caller closes the connection.
func (c *Conn) AwaitClose() <-chan struct{} {
	c.closed = make(chan struct{})
	go func() {
		_, _ = c.Read(make([]byte, 1))
		close(c.closed)
	}()
	return c.closed
}

// Seen is a request as it arrived.
type Seen struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   string
}

// Server is a backend server.
type Server struct {
	listener net.Listener
	mu       sync.Mutex
	steps    []Step
	seen     []Seen
	conns    map[net.Conn]bool
	opened   int
}

// Start listens and answers by the steps, the last one again and again.
func Start(address string, steps ...Step) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, steps: steps, conns: make(map[net.Conn]bool)}
	go s.accept()
	return s, nil
}

// Address returns the server's IP number and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns what arrived.
func (s *Server) Requests() []Seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Seen(nil), s.seen...)
}

// Opened returns the number of connections made.
func (s *Server) Opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// Close ends the listener and the connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.CloseConnections()
}

// CloseConnections ends the connections.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.opened++
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		step := s.note(r, body)
		if !step(&Conn{Conn: c}, r, body) {
			return
		}
	}
}

func (s *Server) note(r *http.Request, body []byte) Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, Seen{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: string(body)})
	return s.steps[min(len(s.seen), len(s.steps))-1]
}

// head writes the head of an answer that is signed and belongs to the request.
func head(c io.Writer, r *http.Request, status int, more string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Server-Signature: signed\r\nX-Request-Id: %s\r\nKeep-Alive: timeout=10\r\n%s\r\n",
		status, http.StatusText(status), r.Header.Get("X-Request-Id"), more)
}

// Answer answers with a status and a body.
func Answer(status int, body string) Step {
	return func(c *Conn, r *http.Request, _ []byte) bool {
		head(c, r, status, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		_, err := io.WriteString(c, body)
		return err == nil
	}
}

// After answers by a step after a time.
func After(d time.Duration, s Step) Step {
	return func(c *Conn, r *http.Request, body []byte) bool {
		time.Sleep(d)
		return s(c, r, body)
	}
}

// Refuse says that the request did not run.
func Refuse() Step {
	return func(c *Conn, r *http.Request, _ []byte) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Request-Id"))
		return err == nil
	}
}

// Moved says that another server has the address.
func Moved() Step {
	return func(c *Conn, _ *http.Request, _ []byte) bool {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: another\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
}

// Drop closes the connection without an answer.
func Drop() Step { return func(*Conn, *http.Request, []byte) bool { return false } }

// Die ends the whole server while it runs the request.
func (s *Server) Die() Step {
	return func(*Conn, *http.Request, []byte) bool {
		s.Close()
		return false
	}
}

// Script replaces the steps.
func (s *Server) Script(steps ...Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = steps
}

// Silent never answers. The connection stays open until the caller closes it.
func Silent() Step {
	return func(c *Conn, _ *http.Request, _ []byte) bool {
		<-c.AwaitClose()
		return false
	}
}

// Raw writes bytes and goes on or closes.
func Raw(text string, goOn bool) Step {
	return func(c *Conn, _ *http.Request, _ []byte) bool {
		_, err := io.WriteString(c, text)
		return err == nil && goOn
	}
}

// Keeping answers the question which prompts an engine keeps, and all else by a step.
func Keeping(prompts []string, s Step) Step {
	held := make([][]any, 0, len(prompts))
	for _, p := range prompts {
		held = append(held, []any{"", p, 8000, "m"})
	}
	body, _ := json.Marshal(map[string]any{"epoch": 1, "Next": 1, "held": held, "born": 5})
	return OnPath("/v1/kv-list", Answer(http.StatusOK, string(body)), s)
}

// OnPath answers requests for a path by one step and all others by another one.
func OnPath(path string, on, otherwise Step) Step {
	return func(c *Conn, r *http.Request, b []byte) bool {
		if r.URL.Path == path {
			return on(c, r, b)
		}
		return otherwise(c, r, b)
	}
}

// Then writes more bytes after a step.
func Then(s Step, text string) Step {
	return func(c *Conn, r *http.Request, body []byte) bool {
		if !s(c, r, body) {
			return false
		}
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// Stream answers with events from the one after the request's Last-Event-Id to last,
// each after a pause. It stops after event till as end says; 0 for a whole stream.
func Stream(last, till int, pause time.Duration, end Step) Step {
	return func(c *Conn, r *http.Request, body []byte) bool {
		first := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
		head(c, r, http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
		for i := first + 1; i <= last; i++ {
			time.Sleep(pause)
			e := fmt.Sprintf("id: %d\ndata: piece-%d\n\n", i, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
				return false
			}
			if till != 0 && i == till {
				return end(c, r, body)
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}
