package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadabeam/core/crashcause"
	"cicadabeam/test/standin/backend"
)

// addLater starts a server after the first request was sent, so that it is neither chosen
// first nor for the KV cache backup.
func (h *harness) addLater(dataCentre string, steps ...backend.Step) {
	h.t.Helper()
	time.AfterFunc(50*time.Millisecond, func() { h.startServer("report", dataCentre, steps...) })
}

// checkMoved checks that a stream of last events is complete within a time.
func (h *harness) checkMoved(last int, limit time.Duration) {
	h.t.Helper()
	started := time.Now()
	h.checkResponse(h.sendLong("/long/1"), 200, eventText(1, last))
	if d := time.Since(started); d > limit {
		h.t.Errorf("the stream took %v, want at most %v", d, limit)
	}
}

func TestStreamMovesAlthoughBackupHasNoCopy(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.startServer("report", "a", backend.Stream(10, 5, 0, backend.NoResponse()))
	h.startServer("report", "b", func(c *backend.Conn, r *http.Request, b []byte) bool {
		if r.Header.Get("Kv-From") != "" {
			return backend.NotExecuted()(c, r, b)
		}
		return backend.Stream(10, 0, 0, nil)(c, r, b)
	})
	h.checkMoved(10, 2500*time.Millisecond)
}

func TestStreamMovesToServerThatRefusedOnce(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.startServer("report", "a", backend.Stream(10, 5, 0, backend.NoResponse()))
	h.addLater("b", backend.NotExecuted(), backend.Stream(10, 0, 0, nil))
	h.checkMoved(10, 3500*time.Millisecond)
}

func TestStreamMovesOnIfFirstChoiceRefuses(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.registerUnresponsive("gone")
	h.addLater("a", backend.NotExecuted())
	h.addLater("b", backend.Stream(5, 0, 0, nil))
	h.checkMoved(5, 4200*time.Millisecond)
}

func TestEventsAreNotHeldBackByMove(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.startServer("report", "a", backend.Stream(10, 5, 0, backend.Delay(2300*time.Millisecond, backend.RestOfStream(6, 10))))
	h.addLater("b", backend.NoResponse())
	h.checkMoved(10, 2800*time.Millisecond)
}

func TestEventsAreNotHeldBackByFailedMove(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.startServer("report", "a", backend.Stream(30, 5, 0, backend.Delay(silence, backend.RestOfStream(6, 30))))
	h.startServer("report", "b", backend.WriteRaw("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 100\r\n\r\nabc", true))
	h.checkMoved(30, silence+500*time.Millisecond)
}

// The head arrives while a move is tried; nothing follows it.
func TestSilenceAfterHeadDuringMoveIsNoticed(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.registerSingleConnection("busy", "report", func(c *backend.Conn, r *http.Request, b []byte) bool {
		time.Sleep(400 * time.Millisecond)
		return backend.Stream(10, 1, 0, backend.NoResponse())(c, r, b)
	})
	h.addLater("a", backend.NoResponse())
	time.AfterFunc(200*time.Millisecond, func() { h.handler.MergeLosses(map[string]time.Duration{"busy": 0}, time.Now()) })
	time.AfterFunc(300*time.Millisecond, func() { h.startServer("report", "b", backend.Stream(10, 0, 0, nil)) })
	h.checkMoved(10, 4*time.Second)
}

func TestQuarantinedRequestIsNotMoved(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.startServer("report", "a", backend.Stream(10, 5, 0, backend.Delay(silence, backend.RestOfStream(6, 10))))
	started := make(chan *backend.Server, 1)
	time.AfterFunc(50*time.Millisecond, func() {
		started <- h.startServer("report", "b", backend.Stream(10, 0, 0, nil))
		d := xxhash.New()
		_, _ = d.WriteString("ndox\x00POST\x00test.example\x00/long/1\x00")
		whole := []crashcause.Feature{crashcause.WholeRequest(d.Sum64())}
		known := crashcause.CauseReport{Features: whole, Remaining: whole, Left: time.Minute}
		h.handler.MergeCrashes(crashcause.Report{Causes: []crashcause.CauseReport{known}}, "peer", time.Now())
		h.checkResponse(h.send(http.MethodPost, "/long/1", setTokenUsage), 422, "")
	})
	h.checkResponse(h.sendLong("/long/1"), 200, eventText(1, 10))
	h.checkRequestCount(<-started, 0)
}

func TestSuspicionBeforeFirstEventDoesNotMoveStreamLater(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.registerSingleConnection("busy", "report", backend.Delay(1900*time.Millisecond, backend.Stream(10, 0, 50*time.Millisecond, nil)))
	h.addLater("a", backend.NoResponse())
	for _, d := range []time.Duration{200, 1400} {
		time.AfterFunc(d*time.Millisecond, func() { h.handler.MergeLosses(map[string]time.Duration{"busy": 0}, time.Now()) })
	}
	started := make(chan *backend.Server, 1)
	time.AfterFunc(1950*time.Millisecond, func() { started <- h.startServer("report", "b", backend.Stream(10, 0, 0, nil)) })
	h.checkResponse(h.sendLong("/long/1"), 200, eventText(1, 10))
	h.checkRequestCount(<-started, 0)
}

// largeStream responds with events whose data has size bytes.
func largeStream(events, size int) backend.Step {
	data := bytes.Repeat([]byte("x"), size)
	return func(c *backend.Conn, r *http.Request, _ []byte) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(backend.Head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"), "$ID", r.Header.Get("X-Request-Id")))
		for i := 1; i <= events; i++ {
			begin, end := fmt.Sprintf("id: %d\ndata: ", i), "\n\n"
			_, _ = fmt.Fprintf(c, "%x\r\n%s", len(begin)+size+len(end), begin)
			_, _ = c.Write(data)
			if _, err := io.WriteString(c, end+"\r\n"); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// dialStream sends a request for a stream on a connection of its own.
func (h *harness) dialStream(path, id string) net.Conn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.frontend.Listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = c.Close() })
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: %s\r\nX-Token-Usage: 800,90\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", path, id, testKey)
	return c
}

func TestSlowCallerIsNotTakenForSilentServer(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.startServer("report", "a", largeStream(100, 200<<10))
	second := h.startServer("report", "b", backend.Stream(100, 0, 0, nil))
	c := h.dialStream("/long/1", "id-slow")
	for range 5 {
		time.Sleep(800 * time.Millisecond)
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = io.CopyN(io.Discard, c, 3<<20)
	}
	h.checkRequestCount(second, 0)
}

func TestLargeEventsAreNotReadAheadOfSlowCallers(t *testing.T) {
	const streams, size = 20, 900 << 10
	h := newHarness(t)
	h.startServer("once", "a", largeStream(100, size))
	before := liveHeap()
	for i := range streams {
		h.dialStream("/plain/1", fmt.Sprint("id-", i))
	}
	time.Sleep(1500 * time.Millisecond)
	// The reader of a stream doubles its buffer until an event fits.
	if got, limit := liveHeap()-before, int64(streams*3*size); got > limit {
		t.Errorf("got %d bytes of live heap for %d streams, want at most %d", got, streams, limit)
	}
}

func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a server that works on beside the one that takes its stream over, although what it
// sends can't be read any more.
func TestUnreadableRunEndsDuringMove(t *testing.T) {
	const most = 400 * time.Millisecond
	t.Parallel()
	h := newHarness(t)
	ended, began := make(chan time.Time, 1), make(chan time.Time, 1)
	h.startServer("report", "a", backend.Stream(10, 5, 0, func(c *backend.Conn, _ *http.Request, _ []byte) bool {
		time.Sleep(1600 * time.Millisecond)
		_, _ = io.WriteString(c, "no chunk\r\n")
		<-c.CloseNotify()
		ended <- time.Now()
		return false
	}))
	h.addLater("b", func(c *backend.Conn, r *http.Request, b []byte) bool {
		began <- time.Now()
		return backend.Delay(1200*time.Millisecond, backend.Stream(10, 0, 0, nil))(c, r, b)
	})
	h.checkResponse(h.sendLong("/long/1"), 200, eventText(1, 10))
	if d := (<-ended).Sub(<-began); d > most {
		t.Errorf("the first server worked on for %v beside the second one, want at most %v", d, most)
	}
}
