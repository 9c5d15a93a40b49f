package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A caller that sends the begin of a request and no more does not hold a server that stops.
func TestDrainDoesNotWaitForIncompleteHead(t *testing.T) {
	s := listen(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	go func() { _ = s.Run() }()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHo")
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	s.Shutdown(began.Add(10 * time.Second))
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the shutdown took %v", took)
	}
}
