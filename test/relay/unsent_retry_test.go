package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"cicadabeam/core/retrybudget"
	"cicadabeam/io/relay"
	"cicadabeam/test/standin/backend"
)

// Guards against a retry budget that is spent on servers that were not reached.
func TestAttemptThatIsNotSentSpendsNoRetry(t *testing.T) {
	for path, sound := range map[string]backend.Step{"/read/": backend.Respond(200, "ok"), "/report/": backend.Stream(5, 0, 0, nil)} {
		t.Run(path, func(t *testing.T) {
			h := newHarnessWith(t, func(d *relay.Dependencies) {
				d.Limits.RetryLimit = retrybudget.Limit{Extra: 2, Window: 10 * time.Second} // one retry, as a share is left
			})
			service := path[1 : len(path)-1]
			h.startServer(service, "a", func(c *backend.Conn, r *http.Request, body []byte) bool {
				for i := range 3 {
					h.register(fmt.Sprint("unreachable-", i), service, "a", closedAddress(t))
				}
				h.startServer(service, "b", sound)
				return backend.CloseConnection()(c, r, body)
			})
			got := h.send(map[string]string{"/read/": http.MethodGet, "/report/": http.MethodPost}[path], path+"1", func(r *http.Request) {
				if path == "/report/" {
					setTokenUsage(r)
				}
			})
			h.checkResponse(got, 200, "")
			if n := h.handler.RetryUsage(time.Now())[service].Repeats; n != 1 {
				t.Errorf("%d retries are counted, want 1", n)
			}
		})
	}
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", ownAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Guards against retries that count for good though a stream moved without them or has ended.
func TestRetryReservedForMoveIsReturned(t *testing.T) {
	h := newHarness(t)
	h.startServer("report", "a", backend.Stream(20, 5, 0, func(*backend.Conn, *http.Request, []byte) bool {
		time.Sleep(4 * time.Second)
		return false
	}))
	h.addLater("b", backend.Stream(20, 0, 0, nil))
	h.checkResponse(h.sendLong("/long/1"), 200, eventText(1, 20))
	if n := h.handler.RetryUsage(time.Now())["report"].Repeats; n != 1 {
		t.Errorf("%d retries are counted after a move, want 1", n)
	}
}
