package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/core/bytebudget"
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

// Guards against heads of callers that fill the memory, or that find no room and end without a response.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	s := listen(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	b := bytebudget.New(100 << 10)
	s.Limit(b)
	go func() { _ = s.Run() }()
	send := func(fields int) int {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("X-Field: v\r\n", fields)+"\r\n")
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if r.StatusCode == http.StatusServiceUnavailable && r.Header.Get("Retry-After") == "" {
			t.Error("a refusal without Retry-After")
		}
		return r.StatusCode
	}
	for fields, want := range map[int]int{1: 200, 1000: 200, 4000: 503} {
		if got := send(fields); got != want {
			t.Errorf("%d fields: got status %d, want %d", fields, got, want)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if n := b.Held(); n != 0 {
		t.Errorf("%d bytes are held after all requests have ended", n)
	}
}
