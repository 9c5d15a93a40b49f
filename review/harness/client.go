package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	status    int
	signature string
	body      string
	whole     bool  // the response ended as its head says
	err       error // of the connection or the response
	took      time.Duration
}

// request is a client's request.
type request struct {
	id, method, path, body string
	deadline               time.Duration
	headers                string // further ones, each with its line end
}

const hostName = "ficu95.example"

// send sends a request to a host on a new connection and reads the answer.
func (s *system) send(h *host, q request) answer {
	began := time.Now()
	a := s.exchange(h, q)
	a.took = time.Since(began)
	return a
}

func (s *system) exchange(h *host, q request) (a answer) {
	c, err := net.DialTimeout("tcp", h.callers(), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(q.deadline + 500*time.Millisecond))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n%s", q.method, q.path, hostName, q.id, q.deadline.Milliseconds(), q.headers)
	if q.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err := c.Write([]byte(text + "\r\n" + q.body)); err != nil {
		return answer{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	b, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, signature: r.Header.Get("X-Server-Signature"), body: string(b), whole: err == nil, err: err}
}

// signedLength returns the length of the body that a signature is of, -1 if there is none.
func signedLength(signature string) int {
	n := -1
	if i := strings.LastIndexByte(signature, '.'); i >= 0 {
		_, _ = fmt.Sscanf(signature[i+1:], "%d", &n)
	}
	return n
}
