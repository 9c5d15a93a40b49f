package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"cicadabeam/core/config"
	"cicadabeam/core/generation"
)

const (
	busyResponse   = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	streamResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n"
)

// respond refuses the first request on a connection if refuse is set, and runs others.
func respond(c net.Conn, refuse bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	earlier := ""
	if refuse {
		earlier = busyResponse
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, busyResponse)
	}
	if _, err := http.ReadRequest(reader); err == nil {
		_, _ = io.WriteString(c, earlier+streamResponse)
	}
}

// An engine that refuses the first request and writes the refusal once more before its response to
// the next one on the same connection: the next attempt was taken for refused while it ran.
func TestEarlierRefusalDoesNotRefuseNextAttempt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for first := true; ; first = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			respond(c, first)
		}
	}()
	c, err := config.Parse("t", []byte("[region r]\n[data-centre d]\nregion = r\n[service s]\nmodel = m\n[server a]\ndata-centre = d\naddress = http://"+l.Addr().String()+"\nservices = s\n"))
	if err != nil {
		t.Fatal(err)
	}
	server, client := c.Servers("s")[0], New(nil)
	if _, err := client.OpenStream(context.Background(), server, generation.Attempt{Request: "r", Path: "/v1/completions", Number: 1}); err == nil {
		t.Fatal("the first attempt was not refused")
	}
	s, err := client.OpenStream(context.Background(), server, generation.Attempt{Request: "r", Path: "/v1/completions", Number: 2})
	if err != nil {
		t.Fatalf("the second attempt got %v, but the engine runs it", err)
	}
	s.Close()
}
