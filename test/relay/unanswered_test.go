package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/io/relay"
	"cicadabeam/test/standin/backend"
)

// The deadline passes before the body has been read, as the node has just started.
func TestDeadlineBeforeBodyIsReadIsAnswered(t *testing.T) {
	for name, body := range map[string]string{"with a body": "ab", "without a body": ""} {
		for _, path := range []string{"/read/1", "/buy/1", "/report/1"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				h := newHarnessWith(t, func(d *relay.Dependencies) { d.Ready = make(chan struct{}) })
				s := h.startServer(strings.Split(path, "/")[1], "a", backend.Respond(200, "ok"))
				got := h.send(http.MethodPost, path, func(r *http.Request) {
					setTokenUsage(r)
					r.Header.Set("X-Deadline-Ms", "100")
					r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
				})
				h.checkResponse(got, 503, "")
				h.checkRequestCount(s, 0)
			})
		}
	}
}

// A caller whose body does not arrive gets an answer, and one that does not blame its request.
func TestSlowBodyDoesNotHoldBackAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		status    int
	}{
		"body not there at the deadline": {"/buy/1", testKey, 408},
		"refused before the body":        {"/buy/1", "unknown", 401},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			s := h.startServer("buy", "a", backend.Respond(200, "ok"))
			conn, err := net.Dial("tcp", h.frontend.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: id-slow\r\nX-Deadline-Ms: 200\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nab", c.path, c.key)
			_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
			r, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = r.Body.Close()
			if r.StatusCode != c.status {
				t.Errorf("got status %d, want %d", r.StatusCode, c.status)
			}
			h.checkRequestCount(s, 0)
		})
	}
}

func TestStoppingNodeAnswersRequests(t *testing.T) {
	for path, status := range map[string]int{"/read/1": 502, "/buy/1": 502, "/report/1": 502, "/once/1": 502} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.startServer(strings.Split(path, "/")[1], "a", backend.NoResponse())
			time.AfterFunc(200*time.Millisecond, h.stop)
			started := time.Now()
			h.checkResponse(h.send(http.MethodPost, path, setTokenUsage), status, "")
			if d := time.Since(started); d > time.Second {
				t.Errorf("the response took %v, want at most 1 s", d)
			}
		})
	}
}
