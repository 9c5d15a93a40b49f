package relay

import (
	"net/http"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

// Guards against a sound server that one 421 takes out of use for good.
func TestServerThatAnswersUnderItsNameIsUsedAgain(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("read", "a", backend.Misdirected(), backend.Respond(200, "ok"))
	h.checkResponse(h.send(http.MethodGet, "/read/1", nil), 503, "")
	time.Sleep(1100 * time.Millisecond)
	for range 3 {
		h.checkResponse(h.send(http.MethodGet, "/read/2", nil), 200, "ok")
	}
	h.checkRequestCount(s, 4)
}
