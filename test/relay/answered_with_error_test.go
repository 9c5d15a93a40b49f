package relay

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

// Guards against requests that all servers answer with an error and that are refused because servers
// happened to end under them.
func TestRequestAnsweredWithErrorIsNotBlamedForCrashes(t *testing.T) {
	t.Parallel()
	for _, service := range []string{"read", "report"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			testAnsweredWithError(t, service)
		})
	}
}

func testAnsweredWithError(t *testing.T, service string) {
	const otherCrashes = 5
	var mu sync.Mutex
	var ended []time.Time // servers, for another reason
	run := func(f *requestFleet, s *crashServer) backend.Step {
		return func(c *backend.Conn, r *http.Request, body []byte) bool {
			mu.Lock()
			ends := len(ended) < otherCrashes && (len(ended) == 0 || time.Since(ended[len(ended)-1]) > 700*time.Millisecond)
			if ends {
				ended = append(ended, time.Now())
			}
			mu.Unlock()
			if ends {
				f.crash(s, true)
				return false
			}
			return backend.Respond(http.StatusInternalServerError, "no such shelf")(c, r, body)
		}
	}
	f := &requestFleet{h: newHarness(t), service: service, run: run, restart: time.Second, servers: make(map[string]*crashServer)}
	t.Cleanup(f.close)
	for i := range firstServers {
		f.start([]string{"a", "b"}[i%2], ownAddress())
	}
	all := make(map[int]int)
	for until := time.Now().Add(9 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		got := roundTrip(f.request(true, 0))
		all[got.status]++
	}
	mu.Lock()
	defer mu.Unlock()
	if all[http.StatusUnprocessableEntity] > 0 || all[http.StatusServiceUnavailable] > 0 || len(ended) < otherCrashes {
		t.Errorf("got the responses %v while %d servers ended, want no refusals and %d", all, len(ended), otherCrashes)
	}
}
