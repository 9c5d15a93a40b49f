package entry

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
	"cicadabeam/test/standin/store"
)

// exchangeTime is longer than hosts take to tell each other which servers leave.
const exchangeTime = 500 * time.Millisecond

// One host hears from a server that it leaves, while the store is unavailable and the
// registry says that the server is ready. No host sends it anything from then on.
func TestHostsTellEachOtherWhichServersLeave(t *testing.T) {
	t.Parallel()
	s := start(t, 3)
	b := s.addServer("s1", "orders", backend.Leaving(backend.Respond(200, "ok")))
	s.awaitStatus(s.nodes[0], "/r1/", "", 200, testTimeout)
	s.store.SetMode(store.Unavailable)
	time.Sleep(exchangeTime)
	for _, n := range s.nodes {
		if status, header := n.send("/r1/", ""); status != 503 || header.Get("Retry-After") == "" {
			t.Errorf("%s: got status %d, want 503 with Retry-After", n.Name(), status)
		}
	}
	s.store.SetMode(store.Healthy)
	s.register("s1", "orders", b.Address(), "ready")
	time.Sleep(exchangeTime)
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r1/", "", 503, testTimeout)
	}
	if got := len(b.Requests()); got != 1 {
		t.Errorf("the leaving server got %d requests, want 1", got)
	}
	b.SetSteps(backend.Respond(200, "ok"))
	s.store.Put("servers", "s2", fmt.Appendf(nil, `{"Service":"orders","Address":%q,"Zone":"a","Version":"v1","Slots":6,"State":"ready","born":6,"Seq":1}`, b.Address()))
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r1/", "", 200, testTimeout)
	}
}
