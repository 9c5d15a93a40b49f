// Package backend is a scripted backend server for tests: the next step of a script
// handles each request and controls every byte of the response. The server records the
// requests and counts the connections.
//
// # Usage
//
//	s, err := backend.Start("127.0.0.1:0", backend.Respond(200, "hello"))
//	defer s.Close()
//	s.Requests()
package backend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Step handles one request on a connection. It reports whether the connection stays
// open for more requests.
type Step func(c *Conn, r *http.Request, body []byte) bool

// Conn is a connection from a caller.
type Conn struct {
	net.Conn
	closed chan struct{} // set by CloseNotify
}

// CloseNotify returns a channel that is closed when the caller closes the connection. It
// reads from the connection, so data from the caller closes the channel too.
func (c *Conn) CloseNotify() <-chan struct{} {
	c.closed = make(chan struct{})
	go func() {
		_, _ = c.Read(make([]byte, 1))
		close(c.closed)
	}()
	return c.closed
}

// Request is a request as the server received it.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   string
}

// Server is a scripted backend server.
type Server struct {
	listener        net.Listener
	mu              sync.Mutex
	steps           []Step
	requests        []Request
	conns           map[net.Conn]bool
	partition       Partition
	partitioned     map[string]bool // IP addresses of callers
	partitionedAt   time.Time
	connectionCount int
	early           bool
	greeting        Step // nil for none
}

// StartEarly is like Start for a server that responds to requests with a body before it has read any of it.
func StartEarly(address string, steps ...Step) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, steps: steps, conns: make(map[net.Conn]bool), early: true}
	go s.accept()
	return s, nil
}

// Start returns a server that listens at an address. Each request is handled by the next
// step; once the steps are used up, the last one handles all further requests.
func Start(address string, steps ...Step) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, steps: steps, conns: make(map[net.Conn]bool)}
	go s.accept()
	return s, nil
}

// Address returns the server's IP address and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the requests received so far.
func (s *Server) Requests() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Request(nil), s.requests...)
}

// ConnectionCount returns the number of connections accepted so far.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connectionCount
}

// Close closes the listener and the connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.CloseConnections()
}

// Reset closes the listener and resets the connections.
func (s *Server) Reset() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// CloseListener closes the listener and keeps the connections open.
func (s *Server) CloseListener() { _ = s.listener.Close() }

// CloseConnections closes the connections and keeps the listener open.
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
		if s.resetsNew(c) {
			s.mu.Unlock()
			reset(c)
			continue
		}
		s.conns[c] = true
		s.connectionCount++
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	c := &partitionableConn{Conn: conn, server: s, opened: time.Now()}
	s.mu.Lock()
	greeting := s.greeting
	s.mu.Unlock()
	if greeting != nil {
		greeting(&Conn{Conn: c}, nil, nil)
		return
	}
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body []byte
		if !s.early {
			if body, err = io.ReadAll(r.Body); err != nil {
				return
			}
		}
		step := s.recordRequest(r, body)
		if !step(&Conn{Conn: c}, r, body) {
			return
		}
	}
}

// recordRequest records a request and returns the step that handles it.
func (s *Server) recordRequest(r *http.Request, body []byte) Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: string(body)})
	return s.steps[min(len(s.requests), len(s.steps))-1]
}

// writeHead writes the head of a response with a signature and the ID of the request.
func writeHead(c io.Writer, r *http.Request, status int, fields string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Server-Signature: signed\r\nX-Request-Id: %s\r\nKeep-Alive: timeout=10\r\n%s\r\n",
		status, http.StatusText(status), r.Header.Get("X-Request-Id"), fields)
}

// Respond responds with a status and a body.
func Respond(status int, body string) Step {
	return func(c *Conn, r *http.Request, _ []byte) bool {
		writeHead(c, r, status, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		_, err := io.WriteString(c, body)
		return err == nil
	}
}

// Delay delays a step.
func Delay(d time.Duration, s Step) Step {
	return func(c *Conn, r *http.Request, body []byte) bool {
		time.Sleep(d)
		return s(c, r, body)
	}
}

// NotExecuted responds with 503 and the header that says that the request was not executed.
func NotExecuted() Step {
	return func(c *Conn, r *http.Request, _ []byte) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Request-Id"))
		return err == nil
	}
}

// WithHeader adds a header field, such as "Server-Leaving: 1", to the response of a step.
func WithHeader(field string, s Step) Step {
	return func(c *Conn, r *http.Request, body []byte) bool {
		return s(&Conn{Conn: &headerConn{Conn: c.Conn, field: field}}, r, body)
	}
}

// headerConn inserts a field after the first line that is written.
type headerConn struct {
	net.Conn
	field string
	done  bool
}

func (c *headerConn) Write(b []byte) (int, error) {
	line, rest, found := bytes.Cut(b, []byte("\r\n"))
	if c.done || !found {
		return c.Conn.Write(b)
	}
	c.done = true
	_, err := fmt.Fprintf(c.Conn, "%s\r\n%s\r\n%s", line, c.field, rest)
	return len(b), err
}

// Leaving makes the response of a step say that the server leaves.
func Leaving(s Step) Step { return WithHeader("Server-Leaving: 1", s) }

// Refuse responds as NotExecuted does, and asks for no requests for a number of seconds.
func Refuse(retryAfter string) Step { return WithHeader("Retry-After: "+retryAfter, NotExecuted()) }

// Misdirected responds with 421, as a server does that has taken over the address of
// another.
func Misdirected() Step {
	return func(c *Conn, r *http.Request, _ []byte) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: another\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Request-Id"))
		return err == nil
	}
}

// CloseConnection closes the connection without a response.
func CloseConnection() Step { return func(*Conn, *http.Request, []byte) bool { return false } }

// Crash closes the listener and all connections while the request is running.
func (s *Server) Crash() Step {
	return func(*Conn, *http.Request, []byte) bool {
		s.Close()
		return false
	}
}

// SetSteps replaces the steps. Requests are still counted from the start of the server, so
// that the next one need not be handled by the first of the new steps.
func (s *Server) SetSteps(steps ...Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = steps
}

// SetGreeting makes a step handle each new connection before anything is read from it, without a request.
// nil ends that.
func (s *Server) SetGreeting(step Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.greeting = step
}

// NoResponse never responds. The connection stays open until the caller closes it.
func NoResponse() Step {
	return func(c *Conn, _ *http.Request, _ []byte) bool {
		<-c.CloseNotify()
		return false
	}
}

// WriteRaw writes a text as it is, then keeps the connection open or closes it.
func WriteRaw(text string, keepOpen bool) Step {
	return func(c *Conn, _ *http.Request, _ []byte) bool {
		_, err := io.WriteString(c, text)
		return err == nil && keepOpen
	}
}

// WithCachedPrompts responds to the query for the prompts in an engine's KV cache with
// the given ones. Another step handles all other requests.
func WithCachedPrompts(prompts []string, s Step) Step {
	cached := make([][]any, 0, len(prompts))
	for _, p := range prompts {
		cached = append(cached, []any{"", p, 8000, "m"})
	}
	body, _ := json.Marshal(map[string]any{"epoch": 1, "Next": 1, "held": cached, "born": 5})
	return ForPath("/v1/kv-list", Respond(http.StatusOK, string(body)), s)
}

// ForPath handles requests for a path by one step and all others by another.
func ForPath(path string, on, otherwise Step) Step {
	return func(c *Conn, r *http.Request, b []byte) bool {
		if r.URL.Path == path {
			return on(c, r, b)
		}
		return otherwise(c, r, b)
	}
}

// ForPromptPart handles requests by one step if their prompt holds a part, given as ID:TOKENS,
// before its last one, and all others by another.
func ForPromptPart(part string, on, otherwise Step) Step {
	return func(c *Conn, r *http.Request, b []byte) bool {
		prompt := strings.Split(r.Header.Get("X-Prefix-Hash"), ",")
		if slices.Contains(prompt[:len(prompt)-1], part) {
			return on(c, r, b)
		}
		return otherwise(c, r, b)
	}
}

// AppendBytes writes more bytes after a step that keeps the connection open.
func AppendBytes(s Step, text string) Step {
	return func(c *Conn, r *http.Request, body []byte) bool {
		if !s(c, r, body) {
			return false
		}
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// Stream responds with the events after the request's Last-Event-Id up to last, with a
// pause before each. If stopAfter is not 0, the step end replaces the rest of the stream
// after the event of that number.
func Stream(last, stopAfter int, pause time.Duration, end Step) Step {
	return StreamOf("piece", last, stopAfter, pause, end)
}

// StreamOf is like Stream for events whose data is a name, a hyphen and their number.
func StreamOf(name string, last, stopAfter int, pause time.Duration, end Step) Step {
	return func(c *Conn, r *http.Request, body []byte) bool {
		first := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
		writeHead(c, r, http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
		for i := first + 1; i <= last; i++ {
			time.Sleep(pause)
			if writeEvent(c, name, i) != nil {
				return false
			}
			if stopAfter != 0 && i == stopAfter {
				return end(c, r, body)
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// OneEvent begins a stream as Stream does and continues with a step after the first event
// that it writes.
func OneEvent(pause time.Duration, end Step) Step {
	return func(c *Conn, r *http.Request, body []byte) bool {
		before := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &before)
		return Stream(before+1, before+1, pause, end)(c, r, body)
	}
}

// RestOfStream writes the events from first to last and the end of a stream that Stream has
// begun.
func RestOfStream(first, last int) Step {
	return func(c *Conn, _ *http.Request, _ []byte) bool {
		for i := first; i <= last; i++ {
			if writeEvent(c, "piece", i) != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

func writeEvent(c io.Writer, name string, i int) error {
	e := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, name, i)
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
	return err
}
