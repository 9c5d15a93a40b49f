package service

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cicadabeam/core/claim"
	"cicadabeam/core/config"
)

// startRepeating starts a server that responds with the path of each request, after it has
// written the response to the request before on the same connection once more. It returns the
// server's address.
func startRepeating(t *testing.T) string {
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
				earlier, reader := "", bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
					_, _ = c.Write([]byte(earlier + response))
					earlier = response
				}
			}()
		}
	}()
	return l.Addr().String()
}

// The response to an earlier call was taken for the response to the next one on a kept connection.
func TestEarlierResponseDoesNotAnswerNextCall(t *testing.T) {
	c, err := config.Parse("t", []byte("[region r]\n[data-centre d]\nregion = r\n[service s]\n[server a]\ndata-centre = d\naddress = http://"+startRepeating(t)+"\nservices = s\n"))
	if err != nil {
		t.Fatal(err)
	}
	server := c.Servers("s")[0]
	client := New(nil)
	for _, path := range []string{"/stock/1", "/stock/2", "/stock/3"} {
		r, _, err := client.call(context.Background(), server, claim.Call{Method: http.MethodGet, Path: path, Deadline: time.Now().Add(time.Second)}, 0)
		if err != nil || string(r.Body) != path {
			t.Errorf("the call of %s got %q, error %v", path, r.Body, err)
		}
	}
}

// Guards against complete responses of servers that read the request's body afterwards, which would be taken
// for parts.
func TestResponseThatEndsBeforeTheUploadIsComplete(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\nwhole"))
		_ = c.(*net.TCPConn).CloseWrite()
		time.Sleep(100 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
	}()
	c, err := config.Parse("t", []byte("[region r]\n[data-centre d]\nregion = r\n[service s]\n[server a]\ndata-centre = d\naddress = http://"+l.Addr().String()+"\nservices = s\n"))
	if err != nil {
		t.Fatal(err)
	}
	call := claim.Call{Method: http.MethodPost, Path: "/x", Body: make([]byte, 8<<20), Deadline: time.Now().Add(5 * time.Second)}
	r, _, err := New(nil).call(context.Background(), c.Servers("s")[0], call, 0)
	if err != nil || string(r.Body) != "whole" {
		t.Errorf("got %q, error %v", r.Body, err)
	}
}
