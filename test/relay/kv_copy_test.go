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

const streamEvents = 60

// run is a stream on the first of three servers, with its KV cache backup on the second.
type run struct {
	first, backup, third *backend.Server
	response             result
}

// loseBackup runs a stream that ends after an event by a step, or whole if cut is 0, and
// loses the server with the backup while it goes on. The first server gives copies of the
// run's KV cache the handle h-1. beforeLoss may be nil.
func (h *harness) loseBackup(cut int, end backend.Step, beforeLoss func(r run)) run {
	h.t.Helper()
	copyStep := backend.Respond(http.StatusOK, `{"Handle":"h-1","Created":3}`)
	var r run
	r.first = h.startServer("report", "a", backend.ForPath("/v1/kv-move", copyStep, backend.Stream(streamEvents, cut, 10*time.Millisecond, end)))
	r.backup = h.startServer("report", "b", backend.Stream(streamEvents, 0, 0, nil))
	done := make(chan result, 1)
	go func() { done <- h.send(http.MethodPost, "/report/1", setTokenUsage) }()
	if !cluster.Await(time.Second, func() bool { return len(r.first.Requests()) > 0 }) {
		h.t.Fatal("the first server got no request")
	}
	r.third = h.startServer("report", "b", backend.Stream(streamEvents, 0, 0, nil))
	if beforeLoss != nil {
		beforeLoss(r)
	}
	h.loseServer(r.backup)
	r.response = <-done
	h.checkResponse(r.response, 200, eventText(1, streamEvents))
	h.checkRequestCount(r.backup, 0)
	return r
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

func (h *harness) checkCopies(s *backend.Server, n int) {
	h.t.Helper()
	if got := len(requestsFor(s, "/v1/kv-move")); got != n {
		h.t.Errorf("%d copies were requested, want %d", got, n)
	}
}

// Two servers are lost one after the other, first the one with the KV cache backup. The
// stream is resumed from a copy that was made in between, without its prompt being processed
// again.
func TestLostBackupIsReplaced(t *testing.T) {
	h := newHarness(t)
	r := h.loseBackup(40, backend.CloseConnection(), func(r run) {
		time.Sleep(50 * time.Millisecond)
		h.checkCopies(r.first, 0)
	})
	h.checkCopies(r.first, 1)
	h.checkRequestCount(r.third, 1)
	if c := requestsFor(r.first, "/v1/kv-move"); len(c) > 0 && !strings.Contains(c[0].Body, r.third.Address()) {
		t.Errorf("got a request for a copy %q, want one to the third server", c[0].Body)
	}
	resumed := r.third.Requests()[0].Header
	if from := resumed.Get("Kv-From"); from != r.first.Address()+"/h-1" || resumed.Get("Last-Event-Id") != "40" {
		t.Errorf("the stream was resumed from %q after event %q, want the copy and event 40", from, resumed.Get("Last-Event-Id"))
	}
}

// A server that was lost, came back and took a copy is not lost: one copy is enough.
func TestCopyOnServerThatCameBackIsKept(t *testing.T) {
	h := newHarness(t)
	r := h.loseBackup(0, nil, func(r run) { h.loseServer(r.third) })
	h.checkCopies(r.first, 1)
}

// Where memory is short, copies would preempt runs, whose prompts are processed again.
func TestNoCopyWhereMemoryIsShort(t *testing.T) {
	h := newHarness(t)
	r := h.loseBackup(0, nil, func(r run) {
		h.fleet.RecordPeerWork("others", map[string]fleet.Work{r.first.Address(): {Running: 6, Memory: 53000}}, time.Now())
	})
	h.checkCopies(r.first, 0)
}

// A copy that is not needed any more is removed, as it takes memory of its server.
func TestUnusedCopyIsReleased(t *testing.T) {
	h := newHarness(t)
	r := h.loseBackup(0, nil, nil)
	if !cluster.Await(time.Second, func() bool { return len(requestsFor(r.first, "/v1/kv-handle/h-1")) == 1 }) {
		t.Error("the copy was not released")
	}
}
