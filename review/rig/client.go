package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool // by the protocol: the length, or the last chunk, has arrived
	err      error
	took     time.Duration
}

var requestCount atomic.Int64

func newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixMilli()&0xffffffff, requestCount.Add(1))
}

// request is what a client sends.
type request struct {
	id, method, host, path, key string
	deadline                    time.Duration
	headers                     string // further ones
	body                        string
}

func (r *request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	b.WriteString(r.headers)
	if r.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.WriteString(r.body)
	return b.String()
}

// do sends a request on a new connection and reads the answer.
func do(address string, r *request) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	return doOn(c, bufio.NewReader(c), r)
}

// doOn sends a request on a connection.
func doOn(c net.Conn, reader *bufio.Reader, r *request) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	_ = c.SetDeadline(began.Add(r.deadline + 2*time.Second))
	if _, err := io.WriteString(c, r.text()); err != nil {
		return answer{err: err}
	}
	x, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	a.status, a.header = x.StatusCode, x.Header
	a.body, a.err = io.ReadAll(x.Body)
	a.complete = a.err == nil
	return a
}
