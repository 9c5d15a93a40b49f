package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
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

// Callers send one request after the other on kept connections until these are closed.
func TestShutdownLosesNoRequestThatIsHandled(t *testing.T) {
	for range 20 {
		var handled sync.Map
		s := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handled.Store(r.URL.Path, true)
			_, _ = io.WriteString(w, "ok")
		}))
		go func() { _ = s.Run() }()
		var g sync.WaitGroup
		for n := range 32 {
			g.Go(func() {
				if path := sendUntilClosed(s.listener.Addr().String(), n); path != "" {
					if _, found := handled.Load(path); found {
						t.Errorf("%s was handled and got no response", path)
					}
				}
			})
		}
		time.Sleep(30 * time.Millisecond)
		s.Shutdown(time.Now().Add(5 * time.Second))
		g.Wait()
	}
}

// sendUntilClosed sends requests on one connection until it is closed. It returns the path of
// the request that got no response, "" if all got one.
func sendUntilClosed(address string, caller int) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(c)
	for i := 0; ; i++ {
		path := fmt.Sprintf("/%d/%d", caller, i)
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			return path
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return path
		}
		if r.Close {
			return ""
		}
	}
}
