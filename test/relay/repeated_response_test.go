package relay

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

// repeatingServer writes the response to a request once more on the same connection, when it has
// read the next one there, which it handles as if nothing had happened.
type repeatingServer struct {
	mu   sync.Mutex
	last map[net.Conn][]byte // the latest response on each connection
	runs map[string]int      // by request ID
}

func newRepeatingServer() *repeatingServer {
	return &repeatingServer{last: make(map[net.Conn][]byte), runs: make(map[string]int)}
}

// repeat handles requests by a step, after the response before.
func (s *repeatingServer) repeat(step backend.Step) backend.Step {
	return func(c *backend.Conn, r *http.Request, body []byte) bool {
		s.mu.Lock()
		earlier := s.last[c.Conn]
		s.mu.Unlock()
		if len(earlier) > 0 {
			_, _ = c.Write(earlier)
			time.Sleep(20 * time.Millisecond)
		}
		copied := &copiedConn{Conn: c.Conn}
		open := step(&backend.Conn{Conn: copied}, r, body)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.last[c.Conn] = copied.written.Bytes()
		return open
	}
}

// run counts the requests that a step runs.
func (s *repeatingServer) run(step backend.Step) backend.Step {
	return func(c *backend.Conn, r *http.Request, body []byte) bool {
		s.mu.Lock()
		s.runs[r.Header.Get("X-Request-Id")]++
		s.mu.Unlock()
		return step(c, r, body)
	}
}

func (s *repeatingServer) mostRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, n := range s.runs {
		most = max(most, n)
	}
	return most
}

type copiedConn struct {
	net.Conn
	written bytes.Buffer
}

func (c *copiedConn) Write(b []byte) (int, error) {
	c.written.Write(b)
	return c.Conn.Write(b)
}

// refuseOnce refuses the first request with each ID and handles others by a step.
func refuseOnce(step backend.Step) backend.Step {
	var mu sync.Mutex
	refused := make(map[string]bool)
	return func(c *backend.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("X-Request-Id")
		mu.Lock()
		first := !refused[id]
		refused[id] = true
		mu.Unlock()
		if first {
			return backend.NotExecuted()(c, r, body)
		}
		return step(c, r, body)
	}
}

// A stream that had begun comes to the same server again, which writes its earlier refusal once
// more and runs the request: it was sent to a second server, or broke off, while it ran.
func TestEarlierRefusalDoesNotSpeakForStreamThatIsSentAgain(t *testing.T) {
	const last = 40
	for name, end := range map[string]backend.Step{"broken off": backend.CloseConnection(), "silent": backend.NoResponse()} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			first := h.startServer("report", "a", backend.Stream(last, 5, time.Millisecond, end))
			s := newRepeatingServer()
			h.startServer("report", "b", s.repeat(refuseOnce(s.run(backend.Stream(last, 0, 5*time.Millisecond, nil)))))
			time.AfterFunc(20*time.Millisecond, func() { h.fleet.Deregister(first.Address(), time.Now()) })
			got := h.send(http.MethodPost, "/long/1", setTokenUsage)
			h.checkResponse(got, 200, eventText(1, last))
			if n := s.mostRuns(); n != 1 {
				t.Errorf("the second server ran the request %d times, want 1", n)
			}
		})
	}
}

// A caller that uses an ID again was told 503, which promises that the request has not run, by
// the refusal of the request before, although it ran.
func TestEarlierRefusalDoesNotSpeakForRequestWithTheSameID(t *testing.T) {
	for name, id := range map[string]string{"with an ID": "id-used-twice", "without an ID": ""} {
		for path, run := range map[string]backend.Step{
			"/buy/1": backend.Respond(200, "bought"), "/read/1": backend.Respond(200, "bought"), "/plain/1": backend.Stream(3, 0, 0, nil),
		} {
			t.Run(path+" "+name, func(t *testing.T) {
				h := newHarness(t)
				s := newRepeatingServer()
				service := strings.Split(path, "/")[1]
				if service == "plain" {
					service = "once"
				}
				h.startServer(service, "a", s.repeat(refuseOnce(s.run(run))))
				withID := func(r *http.Request) {
					setTokenUsage(r)
					r.Header.Set("X-Request-Id", id)
					if id == "" {
						r.Header.Del("X-Request-Id")
					}
				}
				var got result
				for range 3 {
					if got = h.send(http.MethodPost, path, withID); got.status == http.StatusOK {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				h.checkResponse(got, 200, "")
				if n := s.mostRuns(); n != 1 {
					t.Errorf("the request ran %d times, want 1: refusals said that it had not run", n)
				}
			})
		}
	}
}

// The refusal of another request is skipped, and the connection is kept.
func TestEarlierResponseToAnotherRequestIsSkipped(t *testing.T) {
	for name, step := range map[string]backend.Step{"refusals": refuseOnce(backend.Respond(200, "bought")), "responses": backend.Respond(200, "bought")} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			s := newRepeatingServer()
			server := h.startServer("buy", "a", s.repeat(s.run(step)))
			for i := range 6 {
				id := fmt.Sprint("id-", i)
				for range 2 {
					got := h.send(http.MethodPost, "/buy/1", func(r *http.Request) { r.Header.Set("X-Request-Id", id) })
					if got.status == http.StatusOK {
						break
					}
				}
			}
			if n := s.mostRuns(); n > 2 {
				t.Errorf("a request ran %d times", n)
			}
			if n := server.ConnectionCount(); n > 4 {
				t.Errorf("%d connections were opened", n)
			}
		})
	}
}

// An engine's answer to one query was taken for the answer to the next: a copy of another run's KV
// cache, or prompts that it no longer holds.
func TestEarlierResponseDoesNotAnswerQuery(t *testing.T) {
	h := newHarness(t)
	s := newRepeatingServer()
	var held []string
	var mu sync.Mutex
	step := func(c *backend.Conn, r *http.Request, body []byte) bool {
		mu.Lock()
		defer mu.Unlock()
		return backend.WithCachedPrompts(held, backend.Respond(404, ""))(c, r, body)
	}
	server := h.startServer("report", "a", s.repeat(step))
	m := h.fleet.FindUsable(server.Address(), time.Now())
	for _, prompt := range []string{"prompt-1", "prompt-2", "prompt-3"} {
		mu.Lock()
		held = []string{prompt}
		mu.Unlock()
		if err := h.handler.QueryPrompts(context.Background(), m); err != nil {
			t.Fatal(err)
		}
		if got := h.handler.PromptIndex.Server(prompt, time.Now()); got != server.Address() {
			t.Errorf("%s: the engine that holds it is %q, want %q", prompt, got, server.Address())
		}
	}
}
