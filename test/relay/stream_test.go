package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	for name, path := range map[string]string{"read": "/read/1", "stream": "/report/1"} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			disconnected := make(chan struct{})
			step := func(c *backend.Conn, _ *http.Request, _ []byte) bool {
				<-c.CloseNotify()
				close(disconnected)
				return false
			}
			h.startServer(strings.Split(path, "/")[1], "a", step)
			ctx, cancel := context.WithCancel(context.Background())
			go func() { time.Sleep(60 * time.Millisecond); cancel() }()
			roundTrip(h.newRequest(http.MethodPost, path, setTokenUsage).WithContext(ctx))
			select {
			case <-disconnected:
			case <-time.After(500 * time.Millisecond):
				t.Error("the request still runs on the server 500 ms after the caller disconnected")
			}
		})
	}
}

// eventText returns the events of backend.Stream with the given IDs as sent on the wire.
func eventText(from, to int) string {
	var s strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: piece-%d\n\n", i, i)
	}
	return s.String()
}

func TestStreamIsResumedFromBackup(t *testing.T) {
	const last = 20
	ends := map[string]backend.Step{
		"closed": backend.CloseConnection(), "silent": backend.NoResponse(), "connection closed within an event": backend.WriteRaw("20\r\nid: 9\nda", false),
		"garbage": backend.WriteRaw("no chunk at all\r\n", false),
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			first := h.startServer("report", "a", backend.Stream(last, 8, 5*time.Millisecond, end))
			second := h.startServer("report", "b", backend.Stream(last, 0, 5*time.Millisecond, nil))
			started := time.Now()
			got := h.send(http.MethodPost, "/report/1", setTokenUsage)
			h.checkResponse(got, 200, eventText(1, last))
			if got.header.Get("X-Server-Signature") != "signed" {
				t.Error("the response lacks the headers of the first server")
			}
			if d := time.Since(started); d > time.Second {
				t.Errorf("the stream took %v, want at most 1 s", d)
			}
			backup, resumed := first.Requests()[0].Header.Get("X-Kv-Backup"), second.Requests()[0].Header
			if backup != second.Address() {
				t.Errorf("got KV cache backup on %q, want the second server", backup)
			}
			if from := resumed.Get("Kv-From"); from != second.Address()+"/"+resumed.Get("X-Request-Id") || resumed.Get("Last-Event-Id") != "8" {
				t.Errorf("the stream was resumed from KV cache backup %q after event %q, want the second server's backup and event 8", from, resumed.Get("Last-Event-Id"))
			}
		})
	}
}

// If the KV cache backup is gone, the stream is resumed by processing the prompt again.
func TestStreamIsResumedWithoutBackup(t *testing.T) {
	h := newHarness(t)
	h.startServer("report", "a", backend.Stream(10, 4, 0, backend.CloseConnection()))
	second := h.startServer("report", "b", backend.NotExecuted(), backend.Stream(10, 0, 0, nil))
	h.checkResponse(h.send(http.MethodPost, "/report/1", setTokenUsage), 200, eventText(1, 10))
	if n := len(second.Requests()); n != 2 || second.Requests()[1].Header.Get("Kv-From") != "" {
		t.Errorf("the second server got %d requests, want 2, the last one without Kv-From", n)
	}
}

// A server that resumes a stream may start at the wrong event. Events that the caller
// already has are dropped; if events are missing, the stream ends with an error.
func TestStreamThatRepeatsOrSkipsEvents(t *testing.T) {
	h := newHarness(t)
	repeats := func(c *backend.Conn, r *http.Request, body []byte) bool {
		r.Header.Set("Last-Event-Id", "2") // the server starts at event 3, although the caller has received 5
		return backend.Stream(10, 0, 0, nil)(c, r, body)
	}
	h.startServer("report", "a", backend.Stream(10, 5, 0, backend.CloseConnection()))
	h.startServer("report", "b", repeats)
	h.checkResponse(h.send(http.MethodPost, "/report/1", setTokenUsage), 200, eventText(1, 10))

	h = newHarness(t)
	skips := func(c *backend.Conn, r *http.Request, body []byte) bool {
		r.Header.Set("Last-Event-Id", "7")
		return backend.Stream(10, 0, 0, nil)(c, r, body)
	}
	h.startServer("report", "a", backend.Stream(10, 5, 0, backend.CloseConnection()))
	h.startServer("report", "b", skips)
	if got := h.send(http.MethodPost, "/report/1", setTokenUsage); got.err == nil {
		t.Errorf("a stream with missing events ended without an error: %q", got.body)
	}
}

// A stream that must not run twice ends with a connection error, so that the caller can
// tell that it is truncated.
func TestPlainStreamIsNotRetried(t *testing.T) {
	h := newHarness(t)
	h.startServer("once", "a", backend.Stream(10, 5, 0, backend.CloseConnection()))
	second := h.startServer("once", "b", backend.Stream(10, 0, 0, nil))
	got := h.send(http.MethodPost, "/once/1", setTokenUsage)
	if got.err == nil || got.body != eventText(1, 5) {
		t.Errorf("got body %q and error %v, want the first 5 events and a connection error", got.body, got.err)
	}
	h.checkRequestCount(second, 0)
}

func TestCallerResumesStream(t *testing.T) {
	h := newHarness(t)
	h.startServer("report", "a", backend.Stream(10, 0, 0, nil))
	got := h.send(http.MethodPost, "/report/1", func(r *http.Request) { setTokenUsage(r); r.Header.Set("Last-Event-Id", "6") })
	h.checkResponse(got, 200, eventText(7, 10))
}

// registerUnresponsive registers a server that accepts one connection, sends nothing, and
// accepts no others.
func (h *harness) registerUnresponsive(id string) {
	h.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err == nil {
			_ = l.Close()
			time.Sleep(10 * time.Second)
			_ = c.Close()
		}
	}()
	h.register(id, "report", "a", l.Addr().String())
}

// Another node reports the loss of the server that a stream waits for. The stream must be
// retried at once, and not only when the time for processing the prompt has passed.
func TestServerLostByPeerIsSuspected(t *testing.T) {
	h := newHarness(t)
	h.registerUnresponsive("gone")
	h.startServer("report", "b", backend.Stream(5, 0, 0, nil))
	started := time.Now()
	time.AfterFunc(200*time.Millisecond, func() { h.handler.MergeLosses(map[string]time.Duration{"gone": 0}, time.Now()) })
	got := h.send(http.MethodPost, "/report/1", setTokenUsage)
	h.checkResponse(got, 200, eventText(1, 5))
	if d := time.Since(started); d > time.Second {
		t.Errorf("the stream took %v, want at most 1 s", d)
	}
}

// An engine runs a stream, but the response is lost in the network, while the engine still
// accepts connections. The relay asks it for its runs. Runs of other requests do not show
// that the response is lost.
func TestLostResponseIsDetected(t *testing.T) {
	for name, c := range map[string]struct {
		report      string
		fromBackup  bool
		maxDuration time.Duration // 0 if the response is not detected as lost
	}{
		"it has generated tokens":      {`{"Queued":0,"Active":1,"Runs":[["id-lost",900,40,5]]}`, true, 3 * time.Second},
		"it has no such run":           {`{"Queued":0,"Active":0,"Runs":[]}`, true, 3 * time.Second},
		"it processes the prompt":      {`{"Queued":0,"Active":1,"Runs":[["id-lost",300,0,5],["other",900,40,5]]}`, false, 0},
		"it runs only another request": {`{"Queued":0,"Active":1,"Runs":[["other",900,40,5]]}`, false, 0},
		"its report is malformed":      {`{"Queued":0}`, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.startServer("report", "a", backend.ForPath("/v1/report", backend.Respond(200, c.report), backend.NoResponse()))
			second := h.startServer("report", "b", backend.Stream(5, 0, 0, nil))
			started := time.Now()
			got := h.send(http.MethodPost, "/long/1", func(r *http.Request) {
				r.Header.Set("X-Request-Id", "id-lost")
				r.Header.Set("X-Token-Usage", "800,90")
				r.Header.Set("X-Deadline-Ms", "4000")
			})
			if c.maxDuration == 0 {
				h.checkResponse(got, 504, "")
				h.checkRequestCount(second, 0)
				return
			}
			h.checkResponse(got, 200, eventText(1, 5))
			if d := time.Since(started); d > c.maxDuration {
				t.Errorf("the stream took %v, want at most %v", d, c.maxDuration)
			}
			requests := second.Requests()
			if len(requests) != 1 {
				t.Fatalf("the second server got %d requests, want 1", len(requests))
			}
			if from := requests[0].Header.Get("Kv-From"); (from != "") != c.fromBackup {
				t.Errorf("resumed from KV cache backup %q", from)
			}
		})
	}
}

// A server that is lost without closing its connections is detected while the relay waits
// for the first event.
func TestSilentEngineBeforeFirstEvent(t *testing.T) {
	h := newHarness(t)
	h.registerUnresponsive("gone")
	h.startServer("report", "b", backend.Delay(0, backend.Stream(5, 0, 0, nil)))
	started := time.Now()
	got := h.send(http.MethodPost, "/report/1", func(r *http.Request) { r.Header.Set("X-Token-Usage", "800,90") })
	h.checkResponse(got, 200, eventText(1, 5))
	if d := time.Since(started); d > 1500*time.Millisecond {
		t.Errorf("the stream took %v, want at most 1.5 s", d)
	}
}

// The deadline passes while a stream waits before its next attempt. The caller must get a
// connection error, so that it can't take the events so far for the whole stream.
func TestDeadlineBetweenAttemptsEndsWithError(t *testing.T) {
	h := newHarness(t)
	h.startServer("report", "a", backend.Stream(10, 3, 0, backend.CloseConnection()), backend.NotExecuted())
	got := h.send(http.MethodPost, "/report/1", func(r *http.Request) { setTokenUsage(r); r.Header.Set("X-Deadline-Ms", "320") })
	if got.err == nil || got.body != eventText(1, 3) {
		t.Errorf("got body %q and error %v, want the first 3 events and a connection error", got.body, got.err)
	}
}

// Engines admit requests by the priority of the organisation, or by that of the route if
// the organisation has none.
func TestPriorityIsForwarded(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("report", "a", backend.Stream(2, 0, 0, nil))
	h.checkResponse(h.send(http.MethodPost, "/long/1", setTokenUsage), 200, "")
	h.checkResponse(h.send(http.MethodPost, "/long/2", func(r *http.Request) {
		setTokenUsage(r)
		r.Header.Set("Authorization", "Bearer "+priorityKey)
		r.Header.Set("X-Priority-Class", "0")
	}), 200, "")
	for i, want := range []string{"3", "1"} {
		if got := s.Requests()[i].Header.Get("X-Priority-Class"); got != want {
			t.Errorf("request %d: got priority %q, want %s", i+1, got, want)
		}
	}
}
