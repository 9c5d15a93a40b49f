package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serve answers the requests on each connection to a listener with a response, and returns its address.
func serve(t *testing.T, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for r := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// A connection whose first request is slow reads responses that are larger than its buffer.
func TestLongResponsesAfterSlowRequest(t *testing.T) {
	t.Parallel()
	name, event := strings.Repeat("n", 3*readBufferSize), strings.Repeat("x", 0x10000)
	address := serve(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Name: "+name+"\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n"+event+"\r\n0\r\nX-Sum: "+strings.Repeat("s", slowReadBufferSize/2)+"\r\n\r\n")
	p := NewPool()
	var first *Conn
	for i, slow := range []bool{true, false, true} {
		c, err := p.Get(context.Background(), address, string(rune('a'+i)))
		if err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = c
		}
		if c != first {
			t.Error("the connection was not kept")
		}
		until := time.Now().Add(5 * time.Second)
		if err := c.Send(&Request{ID: string(rune('a' + i)), Method: http.MethodGet, Target: "/", Host: "test", Slow: slow}, until); err != nil {
			t.Fatal(err)
		}
		r, err := c.ReadResponse(http.MethodGet, "1", func(h http.Header) string { return h.Get("X-Id") }, until)
		if err != nil {
			t.Fatal(err)
		}
		if got := r.Header.Get("X-Name"); got != name {
			t.Errorf("request %d: a header field of %d bytes has %d", i, len(name), len(got))
		}
		if b, err := io.ReadAll(r.Body); string(b) != event || err != nil {
			t.Errorf("request %d: got %d of %d bytes, error %v", i, len(b), len(event), err)
		}
		p.Put(c)
	}
	first.Close()
}

// A connection that carried nothing is kept as others are.
func TestUnusedConnIsKept(t *testing.T) {
	t.Parallel()
	address := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	p := NewPool()
	c, err := p.Get(context.Background(), address, "a")
	if err != nil {
		t.Fatal(err)
	}
	p.Put(c)
	x, err := p.Get(context.Background(), address, "b")
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	if x != c {
		t.Error("an unused connection was not kept")
	}
}
