package relay

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/backend"
)

// copying answers requests for a copy of a run's KV cache, and other requests by a step.
func copying(handle string, s backend.Step) backend.Step {
	return backend.ForPath("/v1/kv-move", backend.Respond(http.StatusOK, `{"Handle":"`+handle+`","Created":3}`), s)
}

func (h *harness) loseServer(s *backend.Server) {
	h.t.Helper()
	now := time.Now()
	h.fleet.RecordLoss(h.fleet.FindUsable(s.Address(), now), now)
}

// requestsFor returns the requests for a path that a server got.
func requestsFor(s *backend.Server, path string) []backend.Request {
	var found []backend.Request
	for _, r := range s.Requests() {
		if strings.HasPrefix(r.Target, path) {
			found = append(found, r)
		}
	}
	return found
}

// Two servers are lost one after the other, first the one with the KV cache backup. The
// stream is resumed from a copy that was made in between, without its prompt being processed
// again.
func TestLostBackupIsReplaced(t *testing.T) {
	const last, cut = 60, 40
	h := newHarness(t)
	first := h.startServer("report", "a", copying("h-1", backend.Stream(last, cut, 10*time.Millisecond, backend.CloseConnection())))
	backup := h.startServer("report", "b", backend.Stream(last, 0, 0, nil))
	done := make(chan result, 1)
	go func() { done <- h.send(http.MethodPost, "/report/1", setTokenUsage) }()
	if !cluster.Await(time.Second, func() bool { return len(first.Requests()) > 0 }) {
		t.Fatal("the first server got no request")
	}
	third := h.startServer("report", "b", backend.Stream(last, 0, 0, nil))
	time.Sleep(50 * time.Millisecond)
	if n := len(requestsFor(first, "/v1/kv-move")); n != 0 {
		t.Errorf("%d copies were requested although the backup is there", n)
	}
	h.loseServer(backup)
	h.checkResponse(<-done, 200, eventText(1, last))
	h.checkRequestCount(backup, 0)
	h.checkRequestCount(third, 1)
	copies := requestsFor(first, "/v1/kv-move")
	if len(copies) != 1 || !strings.Contains(copies[0].Body, third.Address()) {
		t.Fatalf("got %d requests for a copy, want one to the third server", len(copies))
	}
	resumed := third.Requests()[0].Header
	if from := resumed.Get("Kv-From"); from != first.Address()+"/h-1" || resumed.Get("Last-Event-Id") != "40" {
		t.Errorf("the stream was resumed from %q after event %q, want the copy and event 40", from, resumed.Get("Last-Event-Id"))
	}
}

// A server that was lost, came back and took a copy is not lost: one copy is enough.
func TestCopyOnServerThatCameBackIsKept(t *testing.T) {
	h := newHarness(t)
	first := h.startServer("report", "a", copying("h-3", backend.Stream(60, 0, 10*time.Millisecond, nil)))
	backup := h.startServer("report", "b", backend.Stream(60, 0, 0, nil))
	done := make(chan result, 1)
	go func() { done <- h.send(http.MethodPost, "/report/1", setTokenUsage) }()
	if !cluster.Await(time.Second, func() bool { return len(first.Requests()) > 0 }) {
		t.Fatal("the first server got no request")
	}
	h.loseServer(h.startServer("report", "b", backend.Stream(60, 0, 0, nil)))
	h.loseServer(backup)
	h.checkResponse(<-done, 200, eventText(1, 60))
	if n := len(requestsFor(first, "/v1/kv-move")); n != 1 {
		t.Errorf("%d copies were requested, want 1", n)
	}
}

// Where memory is short, copies would preempt runs, whose prompts are processed again.
func TestNoCopyWhereMemoryIsShort(t *testing.T) {
	h := newHarness(t)
	first := h.startServer("report", "a", copying("h-4", backend.Stream(40, 0, 10*time.Millisecond, nil)))
	backup := h.startServer("report", "b", backend.Stream(40, 0, 0, nil))
	h.startServer("report", "b", backend.Stream(40, 0, 0, nil))
	h.fleet.RecordPeerWork("others", map[string]fleet.Work{backup.Address(): {Running: 1, Memory: 9000}}, time.Now())
	done := make(chan result, 1)
	go func() { done <- h.send(http.MethodPost, "/report/1", setTokenUsage) }()
	if !cluster.Await(time.Second, func() bool { return len(first.Requests()) > 0 }) {
		t.Fatal("the first server got no request")
	}
	h.fleet.RecordPeerWork("more", map[string]fleet.Work{first.Address(): {Running: 6, Memory: 53000}}, time.Now())
	h.loseServer(backup)
	h.checkResponse(<-done, 200, eventText(1, 40))
	if n := len(requestsFor(first, "/v1/kv-move")); n != 0 {
		t.Errorf("%d copies were requested, want none", n)
	}
}

// A copy that is not needed any more is removed, as it takes memory of its server.
func TestUnusedCopyIsReleased(t *testing.T) {
	h := newHarness(t)
	first := h.startServer("report", "a", copying("h-2", backend.Stream(40, 0, 10*time.Millisecond, nil)))
	backup := h.startServer("report", "b", backend.Stream(40, 0, 0, nil))
	done := make(chan result, 1)
	go func() { done <- h.send(http.MethodPost, "/report/1", setTokenUsage) }()
	if !cluster.Await(time.Second, func() bool { return len(first.Requests()) > 0 }) {
		t.Fatal("the first server got no request")
	}
	h.startServer("report", "b", backend.Stream(40, 0, 0, nil))
	h.loseServer(backup)
	h.checkResponse(<-done, 200, eventText(1, 40))
	if !cluster.Await(time.Second, func() bool { return len(requestsFor(first, "/v1/kv-handle/h-2")) == 1 }) {
		t.Error("the copy was not released")
	}
}
