package relay

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/backend"
)

func (h *harness) countEvents(event string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.events {
		if strings.HasPrefix(e, event+" map[") {
			n++
		}
	}
	return n
}

// Guards against requests that are refused for good because servers turned others away before they fell over.
func TestFallOfBrittleServerIsNoEvidenceAgainstRequests(t *testing.T) {
	h := newHarness(t)
	for range 4 {
		first := backend.WithHeader("Server-Brittle: 3", backend.NotExecuted())
		s := h.startServer("read", "a", first)
		s.SetSteps(first, s.Crash())
	}
	for range 12 {
		h.send(http.MethodGet, "/read/same", nil)
	}
	if !cluster.Await(2*time.Second, func() bool { return h.countEvents("brittle server ended") > 0 }) {
		t.Fatal("no server fell over")
	}
	h.startServer("read", "a", backend.Respond(http.StatusOK, "ok"))
	time.Sleep(600 * time.Millisecond)
	h.checkResponse(h.send(http.MethodGet, "/read/same", nil), 200, "ok")
	if n := h.countEvents("server died"); n > 0 {
		t.Errorf("%d falls count as evidence", n)
	}
}
