package relay

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

// slowPause is the time between two events of the slow servers of these tests.
const slowPause = 700 * time.Millisecond

// slowStream sends its first event at once and each further one after slowPause.
func slowStream(last int) backend.Step {
	return func(c *backend.Conn, r *http.Request, body []byte) bool {
		first := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
		return backend.OneEvent(0, func(c *backend.Conn, r *http.Request, body []byte) bool {
			for i := first + 2; i < last; i++ {
				time.Sleep(slowPause)
				e := eventText(i, i)
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
					return false
				}
			}
			time.Sleep(slowPause)
			return backend.RestOfStream(last, last)(c, r, body)
		})(c, r, body)
	}
}

// startAtPace starts two servers and streams at each that don't move and show its pace, and returns
// once that is known.
func (h *harness) startAtPace(step backend.Step) []*backend.Server {
	h.t.Helper()
	servers := []*backend.Server{h.startServer("report", "a", step), h.startServer("report", "a", step)}
	var shown sync.WaitGroup
	for len(servers[0].Requests()) == 0 || len(servers[1].Requests()) == 0 {
		shown.Go(func() { _ = h.sendLong("/single/1") })
		time.Sleep(50 * time.Millisecond)
	}
	h.t.Cleanup(shown.Wait)
	time.Sleep(2500 * time.Millisecond)
	return servers
}

func TestStreamStaysWhereTheOtherServerIsAsSlow(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	servers := h.startAtPace(backend.ForPath("/long/1", slowStream(5), slowStream(9)))
	h.checkMoved(5, 4*slowPause+200*time.Millisecond)
	if n := len(requestsFor(servers[0], "/long/1")) + len(requestsFor(servers[1], "/long/1")); n != 1 {
		t.Errorf("the servers got the stream's request %d times, want once", n)
	}
}

func TestStreamLeavesMuteServerSoonWhereTheOtherIsFast(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	mute := backend.Stream(10, 5, 0, func(c *backend.Conn, _ *http.Request, _ []byte) bool {
		<-c.CloseNotify()
		return false
	})
	servers := h.startAtPace(backend.ForPath("/long/1", mute, backend.Stream(100, 0, 40*time.Millisecond, nil)))
	h.checkMoved(10, 700*time.Millisecond)
	if n := len(requestsFor(servers[0], "/long/1")) + len(requestsFor(servers[1], "/long/1")); n != 2 {
		t.Errorf("the servers got the stream's request %d times, want twice", n)
	}
}
