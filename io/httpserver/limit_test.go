package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cicadabeam/core/bytebudget"
	"cicadabeam/core/connlimit"
)

// limited is a server that accepts two connections at a time, whose requests wait until they are released.
type limited struct {
	t       *testing.T
	server  *Server
	read    chan error // what reading the body of a request ended with
	release chan struct{}
}

func startLimited(t *testing.T) *limited {
	x := &limited{t: t, read: make(chan error, 10), release: make(chan struct{})}
	x.server = listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		x.read <- err
		if err == nil {
			<-x.release
			_, _ = io.WriteString(w, "ok")
		}
	}))
	x.server.Limit(bytebudget.New(1 << 20))
	x.server.LimitConnections(connlimit.New(2))
	go func() { _ = x.server.Run() }()
	t.Cleanup(func() { x.server.Shutdown(time.Now()) })
	return x
}

func (x *limited) send(request string) net.Conn {
	x.t.Helper()
	c, err := net.Dial("tcp", x.server.listener.Addr().String())
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, request)
	return c
}

func (x *limited) awaitRead() error {
	x.t.Helper()
	select {
	case err := <-x.read:
		return err
	case <-time.After(5 * time.Second):
		x.t.Fatal("no request arrived")
		return nil
	}
}

func (x *limited) checkStatus(c net.Conn, want int) {
	x.t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		x.t.Fatal(err)
	}
	if r.StatusCode != want {
		x.t.Errorf("got status %d, want %d", r.StatusCode, want)
	}
}

const whole = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"

// Guards against requests in progress that are closed in favour of others, and against a refusal that runs.
func TestRequestsInProgressAreNotClosed(t *testing.T) {
	for _, request := range []string{whole, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"} {
		x := startLimited(t)
		first, second := x.send(request), x.send(request)
		for range 2 {
			if err := x.awaitRead(); err != nil {
				t.Fatal(err)
			}
		}
		x.checkStatus(x.send(request), http.StatusServiceUnavailable)
		close(x.release)
		x.checkStatus(first, http.StatusOK)
		x.checkStatus(second, http.StatusOK)
		if len(x.read) > 0 {
			t.Error("the refused request ran")
		}
	}
}

// Guards against incomplete requests that take all connections, and against one that runs after it was closed.
func TestIncompleteRequestsGiveWay(t *testing.T) {
	for name, part := range map[string]string{"nothing": "", "part of the head": "POST / HTTP", "part of the body": whole[:len(whole)-1]} {
		t.Run(name, func(t *testing.T) {
			x := startLimited(t)
			close(x.release)
			first, second := x.send(part), x.send(part)
			if name == "part of the body" {
				time.Sleep(100 * time.Millisecond)
			}
			for range 3 {
				x.checkStatus(x.send(whole), http.StatusOK)
			}
			for _, c := range []net.Conn{first, second} {
				_, _ = fmt.Fprint(c, whole[len(part):])
				if b, _ := io.ReadAll(c); len(b) > 0 {
					t.Errorf("a closed connection got %q", b)
				}
			}
		})
	}
}

// Guards against idle connections that keep new ones out, and against closed ones that are still counted.
func TestIdleConnectionsGiveWay(t *testing.T) {
	x := startLimited(t)
	close(x.release)
	var all []net.Conn
	for range 5 {
		c := x.send(whole)
		x.checkStatus(c, http.StatusOK)
		all = append(all, c)
		time.Sleep(20 * time.Millisecond)
	}
	if n := x.server.listener.limit.Open(); n != 2 {
		t.Errorf("%d connections are open, want 2", n)
	}
	for _, c := range all {
		_ = c.Close()
	}
	time.Sleep(100 * time.Millisecond)
	if n := x.server.listener.limit.Open(); n != 0 {
		t.Errorf("%d connections are counted after all were closed", n)
	}
}

// Guards against callers that read nothing of their responses and keep others out as long as they like, and
// against slow callers whose responses are broken off.
func TestUnreadResponsesEnd(t *testing.T) {
	const size = 32 << 20
	s := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		if r.URL.Path == "/copied" {
			_, _ = io.Copy(w, io.LimitReader(zeros{}, size))
			return
		}
		_, _ = w.Write(make([]byte, size))
	}))
	s.LimitConnections(connlimit.New(3))
	x := &limited{t: t, server: s}
	go func() { _ = s.Run() }()
	t.Cleanup(func() { s.Shutdown(time.Now()) })
	unread := []net.Conn{x.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), x.send("GET /copied HTTP/1.1\r\nHost: x\r\n\r\n")}
	slow := x.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	_ = slow.SetDeadline(time.Now().Add(3 * stallTimeout))
	time.Sleep(100 * time.Millisecond)
	x.checkStatus(x.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), http.StatusServiceUnavailable)
	read := 0
	for until := time.Now().Add(stallTimeout + 4*time.Second); time.Now().Before(until); time.Sleep(stallTimeout / 20) {
		n, err := io.ReadFull(slow, make([]byte, 512<<10))
		if read += n; err != nil {
			t.Fatalf("a response that is read slowly broke off after %d bytes: %v", read, err)
		}
	}
	x.checkStatus(x.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), http.StatusOK)
	if n, err := io.CopyN(io.Discard, slow, int64(size-read)); err != nil {
		t.Errorf("got %d bytes of the response that is read slowly, error %v", read+int(n), err)
	}
	for _, c := range unread {
		if n, err := io.Copy(io.Discard, c); err == nil && n >= size {
			t.Error("a response that was not read did not break off")
		}
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }
