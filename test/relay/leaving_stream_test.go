package relay

import (
	"net/http"
	"testing"
	"time"

	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/backend"
)

// sayLeaving makes the host believe that a server said that it leaves.
func (h *harness) sayLeaving(s *backend.Server) {
	h.t.Helper()
	h.fleet.RecordLeaving(h.fleet.Find(s.Address()), time.Now())
}

// The KV cache backup of a new run is kept by a server that stays.
func TestNoBackupOnServerThatSaysItLeaves(t *testing.T) {
	h := newHarness(t)
	first := h.startServer("report", "b", backend.Leaving(backend.Stream(3, 0, 0, nil)))
	h.checkResponse(h.send(http.MethodPost, "/report/1", setTokenUsage), 200, "")
	second := h.startServer("report", "a", backend.Stream(3, 0, 0, nil))
	h.checkResponse(h.send(http.MethodPost, "/report/2", setTokenUsage), 200, "")
	for _, r := range second.Requests() {
		if r.Header.Get("X-Kv-Backup") == first.Address() {
			t.Error("the backup is on the server that leaves")
		}
	}
	h.checkRequestCount(second, 1)
}

// An attempt that waits long for its first event causes no connection to the server.
func TestNoProbeOfServerThatSaysItLeavesBeforeFirstEvent(t *testing.T) {
	h := newHarness(t)
	slow := backend.Delay(2*time.Second, backend.Stream(3, 0, 0, nil))
	s := h.startServer("report", "a", slow, backend.Leaving(backend.Stream(3, 0, 0, nil)))
	short := func(r *http.Request) { r.Header.Set("X-Token-Usage", "100,10") }
	done := make(chan result)
	go func() { done <- h.send(http.MethodPost, "/long/1", short) }()
	if !cluster.Await(time.Second, func() bool { return len(s.Requests()) == 1 }) {
		t.Fatal("the server got no request")
	}
	h.checkResponse(h.send(http.MethodPost, "/long/2", short), 200, "")
	h.checkResponse(<-done, 200, eventText(1, 3))
	if n := s.ConnectionCount(); n != 2 {
		t.Errorf("the server got %d connections, want those of the 2 streams", n)
	}
	h.checkRequestCount(s, 2)
}

// A backup on a server that leaves is replaced, as it goes with the server.
func TestBackupOnServerThatSaysItLeavesIsReplaced(t *testing.T) {
	h := newHarness(t)
	r := h.startCopyableRun(t)
	h.sayLeaving(r.backup)
	h.checkResponse(<-r.done, 200, eventText(1, streamEvents))
	h.checkCopies(r.first, 1)
	h.checkRequestCount(r.backup, 0)
}

// The server of a run that leaves is asked neither for a copy of the run nor to remove one.
func TestServerThatSaysItLeavesIsNotAskedForCopies(t *testing.T) {
	h := newHarness(t)
	r := h.startCopyableRun(t)
	h.sayLeaving(r.first)
	h.loseServer(r.backup)
	h.checkResponse(<-r.done, 200, eventText(1, streamEvents))
	h.checkRequestCount(r.first, 1)
	r = h.startCopyableRun(t)
	h.loseServer(r.backup)
	if !cluster.Await(time.Second, func() bool { return len(requestsFor(r.first, "/v1/kv-move")) == 1 }) {
		t.Error("no copy was requested")
	}
	h.sayLeaving(r.first)
	h.checkResponse(<-r.done, 200, eventText(1, streamEvents))
	time.Sleep(100 * time.Millisecond)
	h.checkRequestCount(r.first, 2)
}

// copyableRun is a stream in progress on the first of three servers, with its KV cache backup on the second.
type copyableRun struct {
	first, backup, third *backend.Server
	done                 chan result
}

func (h *harness) startCopyableRun(t *testing.T) copyableRun {
	t.Helper()
	for _, id := range h.fleet.IDs() {
		h.fleet.Deregister(id, time.Now())
	}
	copyStep := backend.Respond(http.StatusOK, `{"Handle":"h-1","Created":3}`)
	r := copyableRun{done: make(chan result, 1)}
	r.first = h.startServer("report", "a", backend.ForPath("/v1/kv-move", copyStep, backend.Stream(streamEvents, 0, 10*time.Millisecond, nil)))
	r.backup = h.startServer("report", "b", backend.Stream(streamEvents, 0, 0, nil))
	go func() { r.done <- h.send(http.MethodPost, "/report/1", setTokenUsage) }()
	if !cluster.Await(time.Second, func() bool { return len(r.first.Requests()) > 0 }) {
		t.Fatal("the first server got no request")
	}
	r.third = h.startServer("report", "b", backend.Stream(streamEvents, 0, 0, nil))
	return r
}

// Guards against targets that count as unable to hold a copy because the run's server wanted
// no requests.
func TestCopyIsMadeAfterRestOfTheRunsServer(t *testing.T) {
	h := newHarness(t)
	r := h.startCopyableRun(t)
	h.fleet.Defer(h.fleet.Find(r.first.Address()), 200*time.Millisecond, time.Now())
	h.loseServer(r.backup)
	time.Sleep(150 * time.Millisecond)
	h.checkCopies(r.first, 0)
	h.checkResponse(<-r.done, 200, eventText(1, streamEvents))
	h.checkCopies(r.first, 1)
}

// A slow read is not sent to the server as well, and a broken stream is resumed elsewhere,
// though its backup is at the server.
func TestNoHedgeOrResumeAtServerThatSaysItLeaves(t *testing.T) {
	h := newHarness(t)
	leaving := h.startServer("read", "a", backend.Leaving(backend.Respond(200, "ok")))
	h.checkResponse(h.send(http.MethodGet, "/read/1", nil), 200, "ok")
	slow := h.startServer("read", "b", backend.Delay(400*time.Millisecond, backend.Respond(200, "ok")))
	h.checkResponse(h.send(http.MethodGet, "/read/2", nil), 200, "ok")
	h.checkRequestCount(leaving, 1)
	h.checkRequestCount(slow, 1)

	first := h.startServer("report", "a", backend.Stream(20, 8, 20*time.Millisecond, backend.CloseConnection()))
	backup := h.startServer("report", "b", backend.Stream(20, 0, 0, nil))
	done := make(chan result, 1)
	go func() { done <- h.send(http.MethodPost, "/report/1", setTokenUsage) }()
	if !cluster.Await(time.Second, func() bool { return len(first.Requests()) == 1 }) {
		t.Fatal("the first server got no request")
	}
	h.sayLeaving(backup)
	third := h.startServer("report", "b", backend.Stream(20, 0, 0, nil))
	h.checkResponse(<-done, 200, eventText(1, 20))
	h.checkRequestCount(backup, 0)
	for _, r := range third.Requests() {
		if r.Header.Get("Kv-From") != "" {
			t.Error("the stream was resumed from the backup on the server that leaves")
		}
	}
}

// What a server says of itself counts in its responses to queries about runs too: for a
// report, for a copy, and for the removal of a copy.
func TestServerSpeaksOfItselfInResponsesToQueries(t *testing.T) {
	const handle = `{"Handle":"h-1","Created":3}`
	ok := backend.Respond(http.StatusOK, handle)
	leaving, refused := backend.Leaving(ok), backend.Refuse("30")
	for name, x := range map[string]struct {
		path  string
		step  backend.Step
		event string
	}{
		"report, leaving":          {"/v1/report", leaving, "server leaving"},
		"report, rest":             {"/v1/report", refused, "server deferred"},
		"copy, leaving":            {"/v1/kv-move", leaving, "server leaving"},
		"copy, rest":               {"/v1/kv-move", refused, "server deferred"},
		"removal of copy, leaving": {"/v1/kv-handle/h-1", leaving, "server leaving"},
		"removal of copy, rest":    {"/v1/kv-handle/h-1", refused, "server deferred"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			pause := 20 * time.Millisecond
			stream := backend.ForPath("/v1/kv-move", ok, backend.Stream(streamEvents, 0, pause, nil))
			if x.path == "/v1/report" {
				stream = backend.Delay(3500*time.Millisecond, backend.Stream(streamEvents, 0, 0, nil))
			}
			s := h.startServer("report", "a", backend.ForPath(x.path, x.step, stream))
			backup := h.startServer("report", "b", backend.Stream(streamEvents, 0, 0, nil))
			done := make(chan result, 1)
			go func() {
				done <- h.send(http.MethodPost, "/long/1", func(r *http.Request) {
					r.Header.Set("X-Token-Usage", "100,10")
					r.Header.Set("X-Deadline-Ms", "6000")
				})
			}()
			if !cluster.Await(time.Second, func() bool { return len(s.Requests()) == 1 }) {
				t.Fatal("the server got no request")
			}
			if x.path != "/v1/report" {
				h.startServer("report", "b", backend.Stream(streamEvents, 0, 0, nil))
				h.loseServer(backup)
			}
			h.checkResponse(<-done, 200, eventText(1, streamEvents))
			if !cluster.Await(time.Second, func() bool { return h.recorded(x.event, "server:"+s.Address()) }) {
				t.Errorf("no event %q of the server; it got %d requests for %s", x.event, len(requestsFor(s, x.path)), x.path)
			}
			if h.fleet.FindUsable(s.Address(), time.Now()) != nil {
				t.Error("the server still gets requests")
			}
		})
	}
}
