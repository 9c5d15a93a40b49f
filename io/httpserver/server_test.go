package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func listen(t *testing.T, h http.Handler) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return New(l, &http.Server{Handler: h})
}

func TestShutdownAnswersRequestInProgress(t *testing.T) {
	started := make(chan struct{})
	s := listen(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	}))
	ended := make(chan struct{})
	go func() { defer close(ended); _ = s.Run() }()
	answered := make(chan error, 1)
	go func() {
		r, err := http.Get("http://" + s.listener.Addr().String())
		if err == nil {
			_, err = io.ReadAll(r.Body)
			_ = r.Body.Close()
		}
		answered <- err
	}()
	<-started
	s.Shutdown(time.Now().Add(5 * time.Second))
	if err := <-answered; err != nil {
		t.Errorf("the request in progress got no response: %v", err)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the server still runs after its shutdown")
	}
}

// The first request of a connection that was accepted before comes while the server drains.
func TestDrainAnswersFirstRequestOfConnection(t *testing.T) {
	s := listen(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	go func() { _ = s.Run() }()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	time.Sleep(50 * time.Millisecond) // accepted
	drained := make(chan struct{})
	go func() { defer close(drained); s.Shutdown(time.Now().Add(5 * time.Second)) }()
	time.Sleep(100 * time.Millisecond)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("the request got no response: %v", err)
	}
	_ = r.Body.Close()
	if !r.Close {
		t.Error("the response does not close its connection")
	}
	select {
	case <-drained:
	case <-time.After(2 * time.Second):
		t.Error("the server has not ended 2 s after its last request")
	}
}
